"""Memory of a daemon for each caller connection and each peer link.

Usage: python -m benchmarks.connections
"""

import asyncio
import sys

import aiohttp

from benchmarks.failures import apply_config
from benchmarks.idle import resident_mb
from savoryhold.peer import PeerPool
from savoryhold.standins.fleet import SECRET, Fleet, HostPlan

__all__ = ['main']

COUNT = 1000
KB_PER_MB = 1024
SETTLE_S = 1.0


async def caller_kb(fleet: Fleet) -> float:
    """Return the daemon's memory for an idle caller connection, in KB."""
    host = fleet.hosts[0]
    assert host.daemon is not None
    before = resident_mb(host.daemon.pid)
    pairs = [
        await asyncio.open_connection('127.0.0.1', host.callers)
        for _ in range(COUNT)
    ]
    await asyncio.sleep(SETTLE_S)
    after = resident_mb(host.daemon.pid)
    for _, writer in pairs:
        writer.close()
    return (after - before) * KB_PER_MB / COUNT


async def link_kb(fleet: Fleet) -> float:
    """Return the daemon's memory for an idle accepted peer link, in KB."""
    host = fleet.hosts[1]
    assert host.daemon is not None
    before = resident_mb(host.daemon.pid)
    pools = [
        PeerPool(f'peer-{num}', SECRET.encode(), _ignore)
        for num in range(COUNT)
    ]
    for pool in pools:
        await pool.open(f'127.0.0.1:{host.peers}')
    await asyncio.sleep(SETTLE_S)
    after = resident_mb(host.daemon.pid)
    for opened in pools:
        opened.close()
    return (after - before) * KB_PER_MB / COUNT


async def _ignore(call: object, message: object) -> None:
    """Ignore the call."""


async def run() -> None:
    """Measure both on a fleet of two daemons."""
    plans = [
        HostPlan(f'host-{num}', 'sofia', f'sofia-{num}', '') for num in (0, 1)
    ]
    fleet = Fleet(plans)
    with fleet.running():
        async with aiohttp.ClientSession() as session:
            await fleet.wait_store(session)
            await asyncio.to_thread(apply_config, fleet)
            await asyncio.sleep(2 * SETTLE_S)
        callers = await caller_kb(fleet)
        links = await link_kb(fleet)
    sys.stdout.write(
        f'kb_per_caller_connection={callers:.1f} kb_per_peer_link={links:.1f}\n'
    )


def main() -> None:
    """Run the measurement."""
    asyncio.run(run())


if __name__ == '__main__':
    main()
