"""Balance of load after hot keys change, and moves that balancing costs.

Usage: python -m benchmarks.balance [--seconds N]
"""

import argparse
import asyncio
import collections
import random
import re
import sys
import time

import aiohttp

from benchmarks.failures import (
    SHARDS,
    Bench,
    apply_config,
    one_region,
    two_regions,
)
from savoryhold.standins.fleet import Fleet, Host

__all__ = ['main']

RATE = 300.0
SECONDS = 10.0
WINDOW_S = 4.0
QUIET_S = 10.0
HOT_KEYS = 11
HOT_SHARE = 0.4
SENT = re.compile(r'savoryhold_peer_bytes_sent\{region="([^"]*)"\} ([0-9.e+]+)')


async def send_lookups(
    bench: Bench,
    hot: list[str],
    seconds: float,
    seed: int,
    hosts: list[Host] | None = None,
) -> None:
    """Send lookups; a share of `HOT_SHARE` goes to the hot keys."""
    source = random.Random(seed)
    started = time.monotonic()
    due = 0.0
    tasks: list[asyncio.Task[None]] = []
    while due < seconds:
        due += source.expovariate(RATE)
        key = f'p{source.randrange(5000)}'
        if source.random() < HOT_SHARE:
            key = source.choice(hot)
        host = source.choice(hosts or bench.fleet.live_hosts())
        await asyncio.sleep(max(0, started + due - time.monotonic()))
        url = f'{host.caller_url}/booking/patients/{key}/slots'
        tasks.append(asyncio.create_task(look_up(bench, url)))
    await asyncio.gather(*tasks)


async def look_up(bench: Bench, url: str) -> None:
    """Send one lookup."""
    async with bench.session.get(url) as answer:
        await answer.read()


def imbalance(fleet: Fleet, since_ms: float) -> float:
    """Return the most runs of a host over the mean, from the journals."""
    runs = collections.Counter(
        line.host for line in fleet.journal() if line.start_ms >= since_ms
    )
    counts = [runs[host.plan.name] for host in fleet.live_hosts()]
    return max(counts) * len(counts) / max(sum(counts), 1)


async def epoch_sum(bench: Bench) -> int:
    """Return the sum of all shards' epochs, which each move increases by 1."""
    host = bench.fleet.live_hosts()[0]
    url = f'{host.admin_url}/admin/routes'
    async with bench.session.get(url) as answer:
        fields = await answer.json()
    return sum(route['epoch'] for route in fields['routes'])


async def hot_change(bench: Bench, seconds: float) -> None:
    """Print imbalance and moved shards for three sets of hot keys."""
    for num in range(3):
        hot = [f'hot-{num}-{key}' for key in range(HOT_KEYS)]
        before = await epoch_sum(bench)
        await send_lookups(bench, hot, seconds, num)
        moved = await epoch_sum(bench) - before
        since = time.monotonic() * 1000
        await send_lookups(bench, hot, WINDOW_S, num + 10)
        print_line(
            f'hot_set={num} after_s={seconds:.0f} '
            f'imbalance={imbalance(bench.fleet, since):.2f} '
            f'shards_moved={moved} of={SHARDS}'
        )


async def region_follow(bench: Bench, seconds: float) -> None:
    """Send all requests through one region; count the shards owned there."""
    region = 'plovdiv'
    hosts = [host for host in bench.fleet.hosts if host.plan.region == region]
    for _ in range(2):
        before = await link_bytes(bench)
        await send_lookups(bench, ['p1'], seconds, 3, hosts)
        sent = await link_bytes(bench) - before
        url = f'{hosts[0].admin_url}/admin/routes'
        async with bench.session.get(url) as answer:
            fields = await answer.json()
        names = {host.plan.name for host in hosts}
        there = sum(
            route['owner'].partition('.')[0] in names
            for route in fields['routes']
        )
        print_line(
            f'callers_in={region} shards_there={there} of={SHARDS} '
            f'link_bytes_per_s={sent / seconds:.0f}'
        )


async def link_bytes(bench: Bench) -> float:
    """Return the bytes sent between regions so far."""
    total = 0.0
    for host in bench.fleet.live_hosts():
        async with bench.session.get(f'{host.admin_url}/metrics') as answer:
            text = await answer.text()
        for region, count in SENT.findall(text):
            if region != host.plan.region:
                total += float(count)
    return total


async def join(bench: Bench) -> None:
    """Kill and restart a host; print how many shards move for it."""
    host = bench.fleet.hosts[-1]
    # Measured loads decay meanwhile, so only the joining host's share moves.
    await asyncio.sleep(QUIET_S)
    host.kill()
    await bench.ready()
    before = await epoch_sum(bench)
    host.start_daemon()
    host.start_target()
    await bench.ready()
    await asyncio.sleep(5)
    moved = await epoch_sum(bench) - before
    bound = 1.2 * SHARDS / len(bench.fleet.hosts)
    print_line(f'joiner shards_moved={moved} bound={bound:.0f}')


def print_line(text: str) -> None:
    """Print and flush one line."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


async def run(options: argparse.Namespace, *, follow: bool) -> None:
    """Run the measurements on one fleet."""
    fleet = Fleet(two_regions() if follow else one_region())
    connector = aiohttp.TCPConnector(limit=0)
    with fleet.running():
        async with aiohttp.ClientSession(connector=connector) as session:
            bench = Bench(fleet, session, 0)
            await fleet.wait_store(session)
            await asyncio.to_thread(apply_config, fleet)
            await bench.ready()
            if follow:
                await region_follow(bench, options.seconds)
                return
            await hot_change(bench, options.seconds)
            await join(bench)


def main() -> None:
    """Run the measurements."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks.balance')
    parser.add_argument('--seconds', type=float, default=SECONDS)
    parser.add_argument('--only', choices=['', 'hot', 'follow'], default='')
    options = parser.parse_args()
    for follow in (False, True):
        name = 'follow' if follow else 'hot'
        if options.only in {'', name}:
            asyncio.run(run(options, follow=follow))


if __name__ == '__main__':
    main()
