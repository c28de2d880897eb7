"""Requests per second and CPU time per request, compared with the bare target.

Usage: python -m benchmarks.throughput [--seconds N] [--callers N]
"""

import argparse
import asyncio
import os
import pathlib
import sys
import time

import aiohttp

from benchmarks.failures import apply_config
from benchmarks.load import percentile
from savoryhold.standins.fleet import Fleet, HostPlan

__all__ = ['main']

MS_PER_SECOND = 1000
US_PER_SECOND = 1_000_000
SECONDS = 4.0
CALLERS = 32
SHARDS = 60
TICKS = os.sysconf('SC_CLK_TCK')
HEAD_END = b'\r\n\r\n'


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def call_forever(
    port: int, head: bytes, until: float, times: list[float]
) -> None:
    """Send requests one after another on one connection until a time."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    while time.monotonic() < until:
        started = time.monotonic()
        writer.write(head)
        answer = await reader.readuntil(HEAD_END)
        if b' 200 ' not in answer[:16]:
            raise RuntimeError(answer[:200].decode())
        await reader.readexactly(_length(answer))
        times.append((time.monotonic() - started) * MS_PER_SECOND)
    writer.close()


async def measure(
    name: str,
    port: int,
    paths: list[str],
    options: argparse.Namespace,
    pids: dict[str, int],
) -> None:
    """Print one row: rate, latency and CPU time of each process."""
    times: list[float] = []
    before = {role: cpu_seconds(pid) for role, pid in pids.items()}
    until = time.monotonic() + options.seconds
    heads = [
        f'GET {path}?ms=0 HTTP/1.1\r\nHost: x\r\n\r\n'.encode()
        for path in paths
    ]
    await asyncio.gather(
        *(
            call_forever(port, heads[num % len(heads)], until, times)
            for num in range(options.callers)
        )
    )
    spent = ' '.join(
        f'{role}_us={_us(cpu_seconds(pid) - before[role], len(times))}'
        for role, pid in pids.items()
    )
    sys.stdout.write(
        f'{name:22} req_s={len(times) / options.seconds:7.0f} '
        f'p50_ms={percentile(times, 0.5):6.2f} '
        f'p99_ms={percentile(times, 0.99):6.2f} {spent}\n'
    )
    sys.stdout.flush()


async def run(options: argparse.Namespace) -> None:
    """Measure the bare target, its owner's daemon, and another ingress."""
    fleet = Fleet(
        [
            HostPlan('one', 'sofia', 'sofia-a', 'booking', work_ms=0),
            HostPlan('two', 'sofia', 'sofia-b', '', work_ms=0),
        ]
    )
    with fleet.running():
        async with aiohttp.ClientSession() as session:
            await fleet.wait_store(session)
            await asyncio.to_thread(apply_config, fleet)
            await fleet.wait_ready(session, {'booking': SHARDS})
        one, two = fleet.hosts
        assert one.daemon and two.daemon and one.target
        paths = [f'/patients/p{num}/slots' for num in range(40)]
        routed = [f'/booking{path}' for path in paths]
        target = {'target': one.target.pid}
        owner = {'owner': one.daemon.pid, **target}
        both = {'ingress': two.daemon.pid, **owner}
        await measure('target alone', one.target_port, paths, options, target)
        await measure('through the owner', one.callers, routed, options, owner)
        await measure('through an ingress', two.callers, routed, options, both)


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks.throughput')
    parser.add_argument('--seconds', type=float, default=SECONDS)
    parser.add_argument('--callers', type=int, default=CALLERS)
    asyncio.run(run(parser.parse_args()))


def _length(answer: bytes) -> int:
    for line in answer.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.partition(b':')[2])
    raise RuntimeError('answer without content-length')


def _us(seconds: float, requests: int) -> int:
    return round(seconds * US_PER_SECOND / max(requests, 1))


if __name__ == '__main__':
    main()
