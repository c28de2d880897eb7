"""Injects failures into real processes and prints the callers' outcomes.

Usage: python -m benchmarks.failures [NAME ...] [--kills N]
"""

import argparse
import asyncio
import pathlib
import signal
import statistics
import sys
import time
from collections.abc import Awaitable, Callable

import aiohttp

from benchmarks.load import Load, percentile
from savoryhold.standins.fleet import Fleet, Host, HostPlan

__all__ = ['main']

RATE = 200.0
SHARDS = 60
KILLS = 5
UNSOUND = 'sound=no'
MS_PER_SECOND = 1000
STATUS_OK = 200
REGIONS = (('sofia', 'a'), ('sofia', 'b'), ('plovdiv', 'a'), ('plovdiv', 'b'))

Scenario = Callable[['Bench'], Awaitable[list[str]]]


class Bench:
    """A fleet under test, with helpers for scenarios."""

    def __init__(
        self, fleet: Fleet, session: aiohttp.ClientSession, kills: int
    ) -> None:
        self.fleet = fleet
        self.session = session
        self.kills = kills

    def load(self, rate: float = RATE) -> Load:
        """Return a load generator for the fleet."""
        return Load(self.fleet, self.session, rate)

    async def ready(self) -> None:
        """Wait until all shards are served."""
        await self.fleet.wait_ready(self.session, {'booking': SHARDS})

    async def owner_of(self, host: Host, patient: str) -> str:
        """Return the name of a patient's owner, as known to `host`."""
        url = f'{host.admin_url}/admin/owner?service=booking&key={patient}'
        async with self.session.get(url) as answer:
            fields = await answer.json()
        return str(fields['owner']).partition('.')[0]

    async def key_on(self, owner: Host, asked: Host) -> str:
        """Return a patient that `owner` owns, as known to `asked`."""
        for num in range(5000):
            patient = f'p{num % 500}'
            if await self.owner_of(asked, patient) == owner.plan.name:
                return patient
        raise LookupError(owner.plan.name)

    async def gap_ms(self, host: Host, patient: str) -> float:
        """Return the time until a key is served again, in ms."""
        url = f'{host.caller_url}/booking/patients/{patient}/slots'
        headers = {'X-Savoryhold-Timeout-Ms': '60'}
        started = time.monotonic()
        while time.monotonic() - started < 20:
            async with self.session.get(url, headers=headers) as answer:
                await answer.read()
                if answer.status == STATUS_OK:
                    break
        return (time.monotonic() - started) * MS_PER_SECOND


async def kill_hosts(bench: Bench) -> list[str]:
    """SIGKILL one host at a time; measure until its keys are served again."""
    gaps = []
    load = bench.load()
    background = asyncio.create_task(load.run(bench.kills * 5.0))
    for num in range(bench.kills):
        hosts = bench.fleet.hosts
        lost = hosts[num % len(hosts)]
        asked = hosts[(num + 1) % len(hosts)]
        patient = await bench.key_on(lost, asked)
        lost.kill()
        gaps.append(await bench.gap_ms(asked, patient))
        await asyncio.sleep(0.5)
        lost.start_daemon()
        lost.start_target()
        await bench.ready()
    await background
    return [
        f'kills={bench.kills} gap_median_ms={statistics.median(gaps):.0f} '
        f'gap_worst_ms={max(gaps):.0f}',
        load.verdicts().line(),
    ]


async def freeze_host(bench: Bench) -> list[str]:
    """SIGSTOP daemon and target for longer than the lease, then SIGCONT."""
    load = bench.load()
    background = asyncio.create_task(load.run(12))
    await asyncio.sleep(2)
    frozen = bench.fleet.hosts[1]
    patient = await bench.key_on(frozen, bench.fleet.hosts[0])
    load.avoid.add(frozen.plan.name)
    frozen.signal(signal.SIGSTOP)
    gap = await bench.gap_ms(bench.fleet.hosts[0], patient)
    await asyncio.sleep(3)
    frozen.signal(signal.SIGCONT)
    await background
    return [f'gap_ms={gap:.0f}', load.verdicts().line()]


async def freeze_daemon(bench: Bench) -> list[str]:
    """SIGSTOP a daemon alone, six times, under load."""
    load = bench.load()
    background = asyncio.create_task(load.run(20))
    for num in range(6):
        await asyncio.sleep(1)
        frozen = bench.fleet.hosts[num % len(bench.fleet.hosts)]
        assert frozen.daemon is not None
        load.avoid = {frozen.plan.name}
        frozen.daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.7)
        frozen.daemon.send_signal(signal.SIGCONT)
    load.avoid = set()
    await background
    return [load.verdicts().line()]


async def store_down(bench: Bench) -> list[str]:
    """Make the store unavailable under load, with no other fault."""
    load = bench.load()
    background = asyncio.create_task(load.run(64))
    await asyncio.sleep(2)
    await bench.fleet.set_fault(bench.session, mode='down')
    await asyncio.sleep(60)
    await bench.fleet.set_fault(bench.session, mode='none')
    await background
    return [load.verdicts().line(), _p99(load)]


async def store_slow(bench: Bench) -> list[str]:
    """Slow the store to 900 ms a call and kill a host."""
    load = bench.load()
    background = asyncio.create_task(load.run(12))
    await bench.fleet.set_fault(bench.session, mode='slow', delay_ms=900)
    await asyncio.sleep(2)
    lost = bench.fleet.hosts[2]
    patient = await bench.key_on(lost, bench.fleet.hosts[0])
    lost.kill()
    gap = await bench.gap_ms(bench.fleet.hosts[0], patient)
    await background
    return [f'gap_ms={gap:.0f}', load.verdicts().line()]


async def store_loses_replies(bench: Bench) -> list[str]:
    """Lose half of the store's replies while hosts die and move shards."""
    load = bench.load()
    background = asyncio.create_task(load.run(20))
    await bench.fleet.set_fault(bench.session, mode='lose-replies', share=0.5)
    for num in range(3):
        lost = bench.fleet.hosts[num]
        lost.kill()
        await asyncio.sleep(3)
        lost.start_daemon()
        lost.start_target()
        await asyncio.sleep(2)
    await bench.fleet.set_fault(bench.session, mode='none')
    await background
    await bench.ready()
    return [load.verdicts().line()]


async def zone_lost(bench: Bench) -> list[str]:
    """Kill all hosts of one zone at once."""
    load = bench.load()
    background = asyncio.create_task(load.run(8))
    await asyncio.sleep(2)
    zone = bench.fleet.hosts[0].plan.zone
    lost = [host for host in bench.fleet.hosts if host.plan.zone == zone]
    left = [host for host in bench.fleet.hosts if host.plan.zone != zone]
    patients = [await bench.key_on(host, left[0]) for host in lost]
    for host in lost:
        host.kill()
    gaps = await asyncio.gather(
        *(bench.gap_ms(left[0], patient) for patient in patients)
    )
    await background
    return [
        f'hosts_lost={len(lost)} gap_worst_ms={max(gaps):.0f}',
        load.verdicts().line(),
    ]


async def regions_cut(bench: Bench) -> list[str]:
    """Cut all links between the regions for ten seconds."""
    load = bench.load()
    background = asyncio.create_task(load.run(14))
    await asyncio.sleep(1)
    names = {host.plan.region for host in bench.fleet.hosts}
    for host in bench.fleet.hosts:
        await _set_cut(bench, host, sorted(names - {host.plan.region}))
    await asyncio.sleep(10)
    for host in bench.fleet.hosts:
        await _set_cut(bench, host, [])
    await background
    return [load.verdicts().line()]


async def target_crash(bench: Bench) -> list[str]:
    """Kill a target while its daemon runs, and restart it."""
    load = bench.load()
    background = asyncio.create_task(load.run(10))
    await asyncio.sleep(2)
    host = bench.fleet.hosts[1]
    patient = await bench.key_on(host, bench.fleet.hosts[0])
    assert host.target is not None
    host.target.kill()
    gap = await bench.gap_ms(bench.fleet.hosts[0], patient)
    await asyncio.sleep(3)
    host.start_target()
    await background
    return [f'gap_ms={gap:.0f}', load.verdicts().line()]


async def target_frozen(bench: Bench) -> list[str]:
    """SIGSTOP a target while its daemon runs, then SIGCONT."""
    load = bench.load()
    background = asyncio.create_task(load.run(14))
    await asyncio.sleep(2)
    host = bench.fleet.hosts[1]
    patient = await bench.key_on(host, bench.fleet.hosts[0])
    assert host.target is not None
    host.target.send_signal(signal.SIGSTOP)
    gap = await bench.gap_ms(bench.fleet.hosts[0], patient)
    await asyncio.sleep(4)
    host.target.send_signal(signal.SIGCONT)
    await background
    return [f'gap_ms={gap:.0f}', load.verdicts().line()]


async def leave_with_export(bench: Bench) -> list[str]:
    """SIGTERM a daemon while its target runs a long export."""
    host = bench.fleet.hosts[1]
    asked = bench.fleet.hosts[0]
    patient = await bench.key_on(host, asked)
    url = f'{asked.caller_url}/booking/patients/{patient}/archive?ms=4000'
    export = asyncio.create_task(bench.session.get(url))
    load = bench.load()
    background = asyncio.create_task(load.run(8))
    await asyncio.sleep(1)
    load.avoid.add(host.plan.name)
    assert host.daemon is not None
    host.daemon.send_signal(signal.SIGTERM)
    status = await asyncio.to_thread(host.daemon.wait, 60)
    answer = await export
    await answer.read()
    await background
    return [
        f'exit={status} export_status={answer.status}',
        load.verdicts().line(),
    ]


async def leave(bench: Bench) -> list[str]:
    """SIGTERM a daemon under load: no request is cut, exit status is 0."""
    load = bench.load()
    background = asyncio.create_task(load.run(8))
    await asyncio.sleep(2)
    host = bench.fleet.hosts[1]
    assert host.daemon is not None
    load.avoid.add(host.plan.name)
    started = time.monotonic()
    host.daemon.send_signal(signal.SIGTERM)
    status = await asyncio.to_thread(host.daemon.wait, 60)
    took_ms = (time.monotonic() - started) * MS_PER_SECOND
    await background
    late = _runs_after(load, host, started)
    return [
        f'exit={status} leave_ms={took_ms:.0f} last_new_run_ms={late:.0f}',
        load.verdicts().line(),
    ]


SCENARIOS: dict[str, Scenario] = {
    scenario.__name__.replace('_', '-'): scenario
    for scenario in (
        kill_hosts,
        freeze_host,
        freeze_daemon,
        store_down,
        store_slow,
        store_loses_replies,
        zone_lost,
        regions_cut,
        target_crash,
        target_frozen,
        leave_with_export,
        leave,
    )
}


def one_region() -> list[HostPlan]:
    """Return six booking hosts in two zones of one region."""
    return [
        HostPlan(f'booking-{num}', 'sofia', f'sofia-{"ab"[num % 2]}', 'booking')
        for num in range(6)
    ]


def two_regions() -> list[HostPlan]:
    """Return eight booking hosts in two regions of two zones each."""
    return [
        HostPlan(
            f'booking-{num}',
            REGIONS[num % len(REGIONS)][0],
            '-'.join(REGIONS[num % len(REGIONS)]),
            'booking',
        )
        for num in range(8)
    ]


def apply_config(fleet: Fleet) -> None:
    """Apply the services of ``examples/bulgaria.py``."""
    folder = pathlib.Path(__file__).parents[1]
    fleet.apply_script(folder / 'examples' / 'bulgaria.py', 'benchmark')


async def run_one(name: str, kills: int) -> list[str]:
    """Run one scenario on a fleet of its own."""
    layout = two_regions() if name == 'regions-cut' else one_region()
    fleet = Fleet(layout)
    connector = aiohttp.TCPConnector(limit=0)
    with fleet.running():
        async with aiohttp.ClientSession(connector=connector) as session:
            bench = Bench(fleet, session, kills)
            await fleet.wait_store(session)
            await asyncio.to_thread(apply_config, fleet)
            await bench.ready()
            return await SCENARIOS[name](bench)


def main() -> None:
    """Run the named scenarios, or all of them."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks.failures')
    parser.add_argument('names', nargs='*', choices=[[], *SCENARIOS])
    parser.add_argument('--kills', type=int, default=KILLS)
    options = parser.parse_args()
    lines = []
    for name in options.names or SCENARIOS:
        for line in asyncio.run(run_one(name, options.kills)):
            lines.append(line)
            sys.stdout.write(f'{name:20} {line}\n')
            sys.stdout.flush()
    if any(line.endswith(UNSOUND) for line in lines):
        sys.exit(
            'a guarantee to callers was violated: see the lines with sound=no'
        )


async def _set_cut(bench: Bench, host: Host, regions: list[str]) -> None:
    url = f'{host.admin_url}/admin/cut'
    async with bench.session.post(url, json={'regions': regions}) as answer:
        answer.raise_for_status()


def _p99(load: Load) -> str:
    latencies = load.latencies()
    return (
        f'p50_ms={percentile(latencies, 0.5):.1f} '
        f'p99_ms={percentile(latencies, 0.99):.1f}'
    )


def _runs_after(load: Load, host: Host, moment: float) -> float:
    """Return how long after `moment` the host's target last started a run."""
    started_ms = moment * MS_PER_SECOND
    late = [line.start_ms - started_ms for line in host.read_journal()]
    return max(late, default=0)


if __name__ == '__main__':
    main()
