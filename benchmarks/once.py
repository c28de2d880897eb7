"""Sends each order again, with its key, across faults; counts its runs.

Usage: python -m benchmarks.once [--tries N]
"""

import argparse
import asyncio
import collections
import random
import signal
import sys

import aiohttp

from benchmarks.failures import SHARDS, Bench, apply_config, plans
from benchmarks.load import Load
from savoryhold.standins.fleet import Fleet

__all__ = ['main']

TRIES = 1000
BATCH = 20
RESENDS = 2
POISON_SENDS = 20


async def resend(load: Load, fleet: Fleet, number: int) -> None:
    """Send one order, and send it again through other daemons."""
    source = random.Random(number)
    patient = f'p{source.randrange(400)}'
    hosts = source.sample(fleet.hosts, RESENDS + 1)
    first = asyncio.create_task(
        load.request(hosts[0], patient, f'once-{number}', is_order=True)
    )
    for host in hosts[1:]:
        await asyncio.sleep(source.choice((0, 0.002, 0.05, 1.0)))
        await load.request(host, patient, f'once-{number}', is_order=True)
    await first


async def trouble(bench: Bench, kind: int) -> None:
    """Bring one fault about while orders are on their way."""
    host = bench.fleet.hosts[kind % len(bench.fleet.hosts)]
    if kind % 3 == 0:
        host.kill()
        await asyncio.sleep(1.5)
        host.start_daemon()
        host.start_target()
    elif kind % 3 == 1:
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(2)
        host.signal(signal.SIGCONT)
    else:
        await move_some(bench, kind)


async def move_some(bench: Bench, kind: int) -> None:
    """Move shards from wherever they are to one host."""
    asked = bench.fleet.live_hosts()[0]
    target = bench.fleet.hosts[(kind + 1) % len(bench.fleet.hosts)]
    for shard in range(0, SHARDS, 4):
        fields = {
            'service': 'booking',
            'shard': shard,
            'target': target.plan.name,
        }
        url = f'{asked.admin_url}/admin/move'
        try:
            async with bench.session.post(url, json=fields) as answer:
                await answer.read()
        except aiohttp.ClientError:
            return


async def orders(bench: Bench, tries: int) -> str:
    """Send all orders in batches, each with a fault."""
    load = Load(bench.fleet, bench.session, 1)
    for batch in range(tries // BATCH):
        fault = asyncio.create_task(trouble(bench, batch))
        numbers = range(batch * BATCH, (batch + 1) * BATCH)
        await asyncio.gather(
            *(resend(load, bench.fleet, number) for number in numbers)
        )
        await fault
    runs = collections.Counter(
        line.request_id
        for line in bench.fleet.journal()
        if line.request_id.startswith('once-')
    )
    worst = max(runs.values(), default=0)
    return f'orders={tries} ran={len(runs)} worst_runs={worst}'


async def poison(bench: Bench) -> str:
    """Send a request that crashes its target, again and again."""
    statuses: collections.Counter[int] = collections.Counter()
    for number in range(POISON_SENDS):
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
    return f'poison_sends={POISON_SENDS} targets_crashed={crashed} ' + ' '.join(
        f'status_{status}={count}' for status, count in statuses.items()
    )


async def run(options: argparse.Namespace) -> None:
    """Run both measures on one fleet."""
    fleet = Fleet(plans())
    connector = aiohttp.TCPConnector(limit=0)
    with fleet.running():
        async with aiohttp.ClientSession(connector=connector) as session:
            bench = Bench(fleet, session, 0)
            await fleet.wait_store(session)
            await asyncio.to_thread(apply_config, fleet)
            await bench.ready()
            sys.stdout.write(f'{await poison(bench)}\n')
            for host in fleet.hosts:
                if host.target is not None and host.target.poll() is not None:
                    host.start_target()
            await bench.ready()
            sys.stdout.write(f'{await orders(bench, options.tries)}\n')


def main() -> None:
    """Run the measures."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks.once')
    parser.add_argument('--tries', type=int, default=TRIES)
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
