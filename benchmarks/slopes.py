"""Growth of control work with the number of nodes, in one process.

Usage: python -m benchmarks.slopes
"""

import gc
import sys
import time
import tracemalloc
from collections.abc import Callable

from savoryhold.core import events
from savoryhold.core.claims import claimed_record, assign_shards
from savoryhold.core.gossip import ObjectUpdate, GossipTable
from savoryhold.core.ids import (
    Epoch,
    NodeId,
    Region,
    RequestId,
    ServiceName,
    ShardId,
    ShardKey,
    Version,
    Zone,
    node_object,
)
from savoryhold.core.ledger import BackupLedger, StoredAnswer, Ledger
from savoryhold.core.ownership import OwnershipMachine
from savoryhold.core.records import (
    NodeRecord,
    Profile,
    decode_record,
    encode_record,
)
from savoryhold.core.rendezvous import choose_standby, is_watcher
from savoryhold.peer import messages

__all__ = ['main']

SERVICE = ServiceName('booking')
SHARDS_PER_NODE = 32
SIZES = (8, 32, 128, 510)
US_PER_SECOND = 1_000_000
TICKS_PER_SECOND = 20
HEARTBEATS_PER_SECOND = 4
WATCHER_CHECKS_PER_SECOND = 2
LEDGER_ENTRIES = 20_000


def profile(number: int) -> Profile:
    """Return a node's profile; two regions of two zones each."""
    region = Region(f'region-{number % 2}')
    return Profile(
        NodeId(f'host-{number:04}.a1b2c3d4'),
        f'10.0.{number // 250}.{number % 250}:7000',
        region,
        Zone(f'{region}-{number // 2 % 2}'),
        frozenset({SERVICE}),
    )


def records(count: int) -> list[NodeRecord]:
    """Return the records of a fleet in which all shards are assigned."""
    bare = [NodeRecord(profile(number)) for number in range(count)]
    return [
        NodeRecord(
            record.profile,
            standby=choose_standby(record.profile, bare, frozenset()),
            owned={
                ShardKey(
                    SERVICE, ShardId(number * SHARDS_PER_NODE + offset)
                ): Epoch(3)
                for offset in range(SHARDS_PER_NODE)
            },
            serial=9,
        )
        for number, record in enumerate(bare)
    ]


def make_machine(fleet: list[NodeRecord]) -> OwnershipMachine:
    """Return the first node's machine, which knows the whole fleet."""
    machine = OwnershipMachine(fleet[0].profile, 0)
    for number, record in enumerate(fleet[1:], start=10):
        seen = events.RecordSeen(
            node_object(record.node), Version(number), record
        )
        machine.handle(seen, 0)
    for action in machine.handle(events.Tick(), 0):
        ended = events.WriteEnded(
            action.number,  # type: ignore[union-attr]
            action.name,  # type: ignore[union-attr]
            events.WriteOutcome.DONE,
            Version(9),
        )
        machine.handle(ended, 0)
    return machine


def mean_us(work: Callable[[], object], rounds: int) -> float:
    """Return the mean CPU time of one call, in microseconds."""
    started = time.process_time()
    for _ in range(rounds):
        work()
    return (time.process_time() - started) * US_PER_SECOND / rounds


def control_row(count: int) -> str:
    """Return the cost of a node's control work in a fleet of `count`."""
    fleet = records(count)
    machine = make_machine(fleet)
    tick_us = mean_us(lambda: machine.handle(events.Tick(), 100), 400)
    beat_us = mean_us(
        lambda: machine.heartbeat(fleet[1].node, Version(10), 100), 2000
    )
    text = encode_record(fleet[1])
    decode_us = mean_us(lambda: decode_record(text), 300)
    table = make_gossip_table(fleet)
    digest_us = mean_us(lambda: table.digest().root, 300)
    watcher_us = mean_us(
        lambda: is_watcher(fleet[0].profile, machine.directory.active()), 50
    )
    change_us = mean_us(lambda: apply_change(machine, fleet), 30)
    core_share = (
        tick_us * TICKS_PER_SECOND
        + beat_us * HEARTBEATS_PER_SECOND
        + digest_us * 2
        + watcher_us * WATCHER_CHECKS_PER_SECOND
    ) / US_PER_SECOND
    return (
        f'nodes={count:4} tick_us={tick_us:7.1f} heartbeat_us={beat_us:5.1f} '
        f'digest_us={digest_us:6.1f} decode_us={decode_us:6.1f} '
        f'watcher_us={watcher_us:6.1f} change_us={change_us:7.1f} '
        f'record_bytes={len(text):5} quiet_core_share={core_share:.4%}'
    )


def apply_change(machine: OwnershipMachine, fleet: list[NodeRecord]) -> None:
    """Handle a changed record and a tick."""
    entry = machine.directory.entry(node_object(fleet[1].node))
    assert entry is not None
    seen = events.RecordSeen(entry.name, Version(entry.version + 1), fleet[1])
    machine.handle(seen, 100)
    machine.handle(events.Tick(), 100)


def make_gossip_table(fleet: list[NodeRecord]) -> GossipTable:
    """Return a gossip table with the records of a fleet."""
    table = GossipTable()
    for number, record in enumerate(fleet, start=10):
        name = node_object(record.node)
        table.learn(ObjectUpdate(name, Version(number), encode_record(record)))
    return table


def memory_rows() -> list[str]:
    """Return the memory of a node's tables and ledgers, in bytes per entry."""
    fleet = records(SIZES[-1])
    kept: list[object] = []
    count = len(fleet)
    directory = allocated_bytes(lambda: kept.append(make_machine(fleet)))
    news = allocated_bytes(lambda: kept.append(make_gossip_table(fleet)))
    key = ShardKey(SERVICE, ShardId(1))
    ledger = Ledger()
    backup = BackupLedger()
    entries = allocated_bytes(lambda: fill_ledger(ledger, key))
    ids = allocated_bytes(lambda: fill_backup(backup, key))
    shards = count * SHARDS_PER_NODE
    return [
        f'directory_bytes_per_shard={directory / shards:.0f} '
        f'news_bytes_per_record={news / count:.0f} '
        f'total_mb_at_{count}={(directory + news) / US_PER_SECOND:.1f}',
        f'ledger_bytes_per_entry={entries / LEDGER_ENTRIES:.0f} '
        f'backup_bytes_per_id={ids / LEDGER_ENTRIES:.0f}',
    ]


def fill_ledger(ledger: Ledger, key: ShardKey) -> None:
    """Store `LEDGER_ENTRIES` answered requests."""
    for number in range(LEDGER_ENTRIES):
        request = RequestId(f'{number:024}')
        ledger.begin(key, request, 0)
        body = f'{{"booked": {number}}}'.encode()
        ledger.finish(key, request, StoredAnswer(200, (), body), 0)


def fill_backup(backup: BackupLedger, key: ShardKey) -> None:
    """Store `LEDGER_ENTRIES` request ids of one holder."""
    holder = NodeId('host-0001.a1b2c3d4')
    for number in range(LEDGER_ENTRIES):
        backup.append(holder, key, RequestId(f'{number:024}'), 0)


def allocated_bytes(work: Callable[[], object]) -> int:
    """Return the memory that `work` allocates and keeps, in bytes."""
    gc.collect()
    tracemalloc.start()
    work()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def message_row() -> str:
    """Return the sizes of control messages with frame header, in bytes."""
    head = 17
    table = make_gossip_table(records(8))
    buckets = list(table.digest().buckets)
    loads = [
        messages.NodeLoad(
            node='host-0001.a1b2c3d4', load=1.5, waiting=0, stamp=9
        )
        for _ in range(8)
    ]
    sizes = {
        'heartbeat': messages.Heartbeat(
            holder='host-0001.a1b2c3d4', version=123456
        ),
        'promise': messages.Promise(promised=True, newer=[]),
        'digest_equal': messages.DigestSwap(root=1, buckets=[], loads=loads),
        'digest_differs': messages.DigestSwap(
            root=1, buckets=buckets, loads=loads
        ),
    }
    return ' '.join(
        f'{name}_bytes={len(messages.encode(message)) + head}'
        for name, message in sizes.items()
    )


def claim_row(count: int) -> str:
    """Return the cost of claiming the records of many lost hosts."""
    fleet = records(SIZES[-1])
    machine = make_machine(fleet)
    lost = fleet[1 : count + 1]
    avoid = frozenset(record.node for record in lost)
    started = time.process_time()
    size = 0
    for record in lost:
        owners = assign_shards(record.owned, machine.directory, avoid)
        size += len(
            encode_record(claimed_record(record, fleet[0].node, owners))
        )
    spent_ms = (time.process_time() - started) * 1000
    return (
        f'claims={count:4} store_writes={count:4} bytes={size:8} '
        f'cpu_ms_all_on_one_node={spent_ms:.1f}'
    )


def main() -> None:
    """Print all rows."""
    rows = [
        *(control_row(count) for count in SIZES),
        message_row(),
        *memory_rows(),
        *(claim_row(count) for count in (1, 32, 128)),
    ]
    sys.stdout.write('\n'.join(rows) + '\n')


if __name__ == '__main__':
    main()
