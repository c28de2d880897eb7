"""Cost of idle fleets of real daemons, by number of daemons.

Usage: python -m benchmarks.idle [--sizes 4 16 48] [--seconds N]
"""

import argparse
import asyncio
import pathlib
import re
import statistics
import sys
import time

import aiohttp

from benchmarks.failures import apply_config
from benchmarks.throughput import cpu_seconds
from savoryhold.standins.fleet import Fleet, HostPlan

__all__ = ['main']

SIZES = [4, 16, 48]
SECONDS = 8.0
SETTLE_S = 4.0
PROPAGATION_LIMIT_S = 6.0
SENT = re.compile(r'savoryhold_peer_bytes_sent\{[^}]*\} ([0-9.e+]+)')
CALLS = re.compile(r'savoryhold_store_calls\{kind="(\w+)"\} ([0-9.e+]+)')


async def read_metrics(
    session: aiohttp.ClientSession, url: str
) -> tuple[float, dict[str, float]]:
    """Return bytes sent to peers, and store calls by kind."""
    async with session.get(f'{url}/metrics') as answer:
        text = await answer.text()
    sent = sum(float(found) for found in SENT.findall(text))
    return sent, {kind: float(count) for kind, count in CALLS.findall(text)}


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    found = re.search(r'VmRSS:\s+(\d+) kB', text)
    return int(found.group(1)) / 1024 if found else 0


async def propagation_s(fleet: Fleet, session: aiohttp.ClientSession) -> float:
    """Apply a configuration; return the seconds until all daemons have it."""
    await asyncio.to_thread(apply_config, fleet)
    started = time.monotonic()
    while time.monotonic() - started < 3 * PROPAGATION_LIMIT_S:
        found = [await fleet.status(session, host) for host in fleet.hosts]
        if all(one and len(one['revisions']) == 2 for one in found):
            break
    return time.monotonic() - started


async def measure(size: int, seconds: float) -> str:
    """Return the row of a fleet of `size` daemons."""
    zones = ('a', 'b')
    plans = [
        HostPlan(
            f'host-{num}',
            f'region-{num % 2}',
            f'zone-{num % 2}-{zones[num // 2 % 2]}',
            '',
        )
        for num in range(size)
    ]
    fleet = Fleet(plans)
    with fleet.running():
        async with aiohttp.ClientSession() as session:
            await fleet.wait_store(session)
            await asyncio.sleep(SETTLE_S + size / 8)
            everywhere_s = await propagation_s(fleet, session)
            await asyncio.sleep(SETTLE_S)
            pids = [host.daemon.pid for host in fleet.hosts if host.daemon]
            before = [cpu_seconds(pid) for pid in pids]
            first = [
                await read_metrics(session, host.admin_url)
                for host in fleet.hosts
            ]
            await asyncio.sleep(seconds)
            spent = [
                cpu_seconds(pid) - start
                for pid, start in zip(pids, before, strict=True)
            ]
            last = [
                await read_metrics(session, host.admin_url)
                for host in fleet.hosts
            ]
            memory = max(resident_mb(pid) for pid in pids)
    sent = [
        (after[0] - start[0]) / seconds
        for start, after in zip(first, last, strict=True)
    ]
    writes = sum(
        after[1].get('write', 0) - start[1].get('write', 0)
        for start, after in zip(first, last, strict=True)
    )
    return (
        f'daemons={size:3} core_share={statistics.mean(spent) / seconds:.2%} '
        f'worst={max(spent) / seconds:.2%} '
        f'sent_bytes_s={statistics.mean(sent):.0f} worst={max(sent):.0f} '
        f'resident_mb={memory:.0f} store_writes_s={writes / seconds:.2f} '
        f'news_everywhere_s={everywhere_s:.2f}'
    )


def main() -> None:
    """Print one row for each fleet size."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks.idle')
    parser.add_argument('--sizes', type=int, nargs='+', default=SIZES)
    parser.add_argument('--seconds', type=float, default=SECONDS)
    options = parser.parse_args()
    for size in options.sizes:
        row = asyncio.run(measure(size, options.seconds))
        sys.stdout.write(f'{row}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
