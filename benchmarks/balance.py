"""Load imbalance after a change of the hot keys, churn, and joiners.

Usage: python -m benchmarks.balance [--seconds N]
"""

import argparse
import asyncio
import collections
import random
import sys
import time

import aiohttp

from benchmarks.failures import SHARDS, Bench, apply_config, plans
from savoryhold.standins.fleet import Fleet

__all__ = ['main']

RATE = 300.0
SECONDS = 10.0
WINDOW_S = 4.0
HOT_KEYS = 11
HOT_SHARE = 0.4


async def drive(
    bench: Bench, hot: list[str], seconds: float, seed: int
) -> None:
    """Send lookups of which a share goes to some hot keys."""
    source = random.Random(seed)
    started = time.monotonic()
    due = 0.0
    tasks: list[asyncio.Task[None]] = []
    while due < seconds:
        due += source.expovariate(RATE)
        key = f'p{source.randrange(5000)}'
        if source.random() < HOT_SHARE:
            key = source.choice(hot)
        host = source.choice(bench.fleet.live_hosts())
        await asyncio.sleep(max(0, started + due - time.monotonic()))
        url = f'{host.caller_url}/booking/patients/{key}/slots'
        tasks.append(asyncio.create_task(look_up(bench, url)))
    await asyncio.gather(*tasks)


async def look_up(bench: Bench, url: str) -> None:
    """Send one lookup."""
    async with bench.session.get(url) as answer:
        await answer.read()


def imbalance(fleet: Fleet, since_ms: float) -> float:
    """Return the busiest host's runs over the mean, from the journals."""
    runs = collections.Counter(
        line.host for line in fleet.journal() if line.start_ms >= since_ms
    )
    counts = [runs[host.plan.name] for host in fleet.live_hosts()]
    return max(counts) * len(counts) / max(sum(counts), 1)


async def epochs(bench: Bench) -> int:
    """Return the sum of all shards' epochs: each move adds one."""
    host = bench.fleet.live_hosts()[0]
    url = f'{host.admin_url}/admin/routes'
    async with bench.session.get(url) as answer:
        fields = await answer.json()
    return sum(route['epoch'] for route in fields['routes'])


async def hot_change(bench: Bench, seconds: float) -> None:
    """Print imbalance and churn for a first and a second hot set."""
    for num in range(3):
        hot = [f'hot-{num}-{key}' for key in range(HOT_KEYS)]
        before = await epochs(bench)
        await drive(bench, hot, seconds, num)
        moved = await epochs(bench) - before
        since = time.monotonic() * 1000
        await drive(bench, hot, WINDOW_S, num + 10)
        say(
            f'hot_set={num} after_s={seconds:.0f} '
            f'imbalance={imbalance(bench.fleet, since):.2f} '
            f'shards_moved={moved} of={SHARDS}'
        )


async def join(bench: Bench) -> None:
    """Kill a host, bring it back, and count what moves for the joiner."""
    host = bench.fleet.hosts[-1]
    host.kill()
    await bench.ready()
    before = await epochs(bench)
    host.start_daemon()
    host.start_target()
    await bench.ready()
    await asyncio.sleep(5)
    moved = await epochs(bench) - before
    bound = 1.2 * SHARDS / len(bench.fleet.hosts)
    say(f'joiner shards_moved={moved} bound={bound:.0f}')


def say(text: str) -> None:
    """Print one line at once."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


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
            await hot_change(bench, options.seconds)
            await join(bench)


def main() -> None:
    """Run the measures."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks.balance')
    parser.add_argument('--seconds', type=float, default=SECONDS)
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
