"""Repeats each order under its idempotency key during faults; counts runs.

Usage: python -m benchmarks.once [--tries N]
"""

import argparse
import asyncio
import collections
import random
import signal
import sys

import aiohttp

from benchmarks.failures import SHARDS, Bench, apply_config, one_region
from benchmarks.load import Load
from savoryhold.standins.fleet import Fleet

__all__ = ['main']

ORDERS = 1000
BATCH = 20
REPEATS = 2
POISON_REQUESTS = 20


async def send_repeats(load: Load, fleet: Fleet, number: int) -> None:
    """Send one order, and repeat it through other daemons."""
    source = random.Random(number)
    patient = f'p{source.randrange(400)}'
    hosts = source.sample(fleet.hosts, REPEATS + 1)
    first = asyncio.create_task(
        load.request(hosts[0], patient, f'once-{number}', is_order=True)
    )
    for host in hosts[1:]:
        await asyncio.sleep(source.choice((0, 0.002, 0.05, 1.0)))
        await load.request(host, patient, f'once-{number}', is_order=True)
    await first


async def inject_fault(bench: Bench, number: int) -> None:
    """Inject one fault while orders are in flight.

    In turn: kill and restart a host, stop and continue it, move shards.
    """
    host = bench.fleet.hosts[number % len(bench.fleet.hosts)]
    if number % 3 == 0:
        host.kill()
        await asyncio.sleep(1.5)
        host.start_daemon()
        host.start_target()
    elif number % 3 == 1:
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(2)
        host.signal(signal.SIGCONT)
    else:
        await move_shards(bench, number)


async def move_shards(bench: Bench, number: int) -> None:
    """Move every fourth shard to one host."""
    via = bench.fleet.live_hosts()[0]
    target = bench.fleet.hosts[(number + 1) % len(bench.fleet.hosts)]
    for shard in range(0, SHARDS, 4):
        fields = {
            'service': 'booking',
            'shard': shard,
            'target': target.plan.name,
        }
        url = f'{via.admin_url}/admin/move'
        try:
            async with bench.session.post(url, json=fields) as answer:
                await answer.read()
        except aiohttp.ClientError:
            return


async def measure_orders(bench: Bench, tries: int) -> str:
    """Send all orders in batches, with a fault during each batch."""
    load = Load(bench.fleet, bench.session, 1)
    for batch in range(tries // BATCH):
        fault = asyncio.create_task(inject_fault(bench, batch))
        numbers = range(batch * BATCH, (batch + 1) * BATCH)
        await asyncio.gather(
            *(send_repeats(load, bench.fleet, number) for number in numbers)
        )
        await fault
    runs = collections.Counter(
        line.request_id
        for line in bench.fleet.journal()
        if line.request_id.startswith('once-')
    )
    worst = max(runs.values(), default=0)
    return f'orders={tries} ran={len(runs)} worst_runs={worst}'


async def measure_poison(bench: Bench) -> str:
    """Send a request that crashes its target many times."""
    statuses: collections.Counter[int] = collections.Counter()
    for number in range(POISON_REQUESTS):
        host = bench.fleet.hosts[number % len(bench.fleet.hosts)]
        url = f'{host.caller_url}/booking/patients/p1/slots?poison=1'
        async with bench.session.get(url) as answer:
            await answer.read()
            statuses[answer.status] += 1
    crashed = sum(
        1
        for host in bench.fleet.hosts
        if host.target is not None and host.target.poll() is not None
    )
    return (
        f'poison_sends={POISON_REQUESTS} targets_crashed={crashed} '
        + ' '.join(
            f'status_{status}={count}' for status, count in statuses.items()
        )
    )


async def run(options: argparse.Namespace) -> None:
    """Run both measurements on one fleet."""
    fleet = Fleet(one_region())
    connector = aiohttp.TCPConnector(limit=0)
    with fleet.running():
        async with aiohttp.ClientSession(connector=connector) as session:
            bench = Bench(fleet, session, 0)
            await fleet.wait_store(session)
            await asyncio.to_thread(apply_config, fleet)
            await bench.ready()
            sys.stdout.write(f'{await measure_poison(bench)}\n')
            for host in fleet.hosts:
                if host.target is not None and host.target.poll() is not None:
                    host.start_target()
            await bench.ready()
            sys.stdout.write(f'{await measure_orders(bench, options.tries)}\n')


def main() -> None:
    """Run the measurements."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks.once')
    parser.add_argument('--tries', type=int, default=ORDERS)
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
