"""Head-of-line blocking and service at the peak, against plain FIFO.

Usage: python -m benchmarks.queueing [hol] [peak] [--seconds N]
"""

import argparse
import asyncio
import dataclasses
import random
import sys
import time

import aiohttp
from hdrh.histogram import HdrHistogram

from savoryhold import declare
from savoryhold.cli.apply import apply_service, read_current
from savoryhold.store import PlatformClient
from savoryhold.standins.fleet import Fleet, HostPlan

__all__ = ['main']

MS_PER_SECOND = 1000
SLOTS = 6
WORK_MS = 60
EXPORT_MS = 1500
SHORT_RATE = 40.0
EXPORT_RATE = 6.0
PATIENCE_MS = 1000
SWING = 4.0
CAPACITY = SLOTS * MS_PER_SECOND / WORK_MS
MAX_MS = 120_000
SECONDS = 8.0
RECOVERY_S = 4.0
SHARDS = 12


@dataclasses.dataclass(slots=True)
class Sample:
    """Latencies of whole answers, and when each request was due."""

    histogram: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(1, MAX_MS, 3)
    )
    in_time: list[float] = dataclasses.field(default_factory=list)
    late: list[float] = dataclasses.field(default_factory=list)
    refused: int = 0


class Rig:
    """One host with its daemon, under one admission policy."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self.fleet = fleet
        self.session = session

    async def set_policy(self, policy: str) -> None:
        """Apply the service with an admission policy."""
        service = declare.keyed_service(
            'booking',
            key=declare.key_in_path('/patients/{key}/**'),
            shards=SHARDS,
            slots=SLOTS,
            queue=20_000,
            timeout_ms=60_000,
            policy=policy,
        )
        for page, runs in (('slots', 'short'), ('archive', 'long')):
            service = service.route(
                'GET', f'/patients/{{key}}/{page}', idempotent=True, runs=runs
            )
        platform = PlatformClient(self.fleet.platform_url, self.session)
        base = await read_current(platform, 'booking')
        await apply_service(platform, service.config, policy, base)
        await self.fleet.wait_ready(self.session, {'booking': SHARDS})
        await asyncio.sleep(1)

    async def drive(
        self, page: str, rate: float, seconds: float, seed: int
    ) -> Sample:
        """Send at seeded Poisson arrivals, whatever becomes of answers."""
        source = random.Random(seed)
        sample = Sample()
        tasks = []
        started = time.monotonic()
        due = 0.0
        while due < seconds:
            due += source.expovariate(rate)
            patient = f'p{source.randrange(500)}'
            await asyncio.sleep(max(0, started + due - time.monotonic()))
            tasks.append(
                asyncio.create_task(
                    self.call(page, patient, started + due, sample)
                )
            )
        await asyncio.gather(*tasks)
        return sample

    async def call(
        self, page: str, patient: str, due: float, sample: Sample
    ) -> None:
        """Send one request; its time counts from when it was due."""
        work_ms = EXPORT_MS if page == 'archive' else WORK_MS
        host = self.fleet.hosts[0]
        url = f'{host.caller_url}/booking/patients/{patient}/{page}'
        patience = {} if page == 'archive' else {'timeout': PATIENCE_MS}
        headers = {
            'X-Savoryhold-Timeout-Ms': str(limit) for limit in patience.values()
        }
        async with self.session.get(
            f'{url}?ms={work_ms}', headers=headers
        ) as answer:
            await answer.read()
            took_ms = (time.monotonic() - due) * MS_PER_SECOND
            if answer.status != 200:
                sample.refused += 1
                return
        sample.histogram.record_value(max(1, round(took_ms)))
        bucket = sample.in_time if took_ms <= PATIENCE_MS else sample.late
        bucket.append(due)


async def head_of_line(rig: Rig, seconds: float) -> None:
    """Print the p99 of short lookups with and without exports."""
    say('policy     alone_p99_ms  with_exports_p99_ms  ratio  exports_done')
    for policy in ('fifo', 'adaptive'):
        await rig.set_policy(policy)
        await rig.drive('slots', SHORT_RATE, 2, 1)
        alone = await rig.drive('slots', SHORT_RATE, seconds, 2)
        exports = asyncio.create_task(
            rig.drive('archive', EXPORT_RATE, seconds + 2, 3)
        )
        await asyncio.sleep(2)
        mixed = await rig.drive('slots', SHORT_RATE, seconds, 2)
        done = await exports
        before = alone.histogram.get_value_at_percentile(99)
        after = mixed.histogram.get_value_at_percentile(99)
        served = done.histogram.get_total_count()
        say(
            f'{policy:10} {before:12} {after:20} {after / before:6.2f} '
            f'{served:13}'
        )


async def peak(rig: Rig, seconds: float) -> None:
    """Print answers in time at four times capacity, and the recovery."""
    say('policy     in_time  late  refused  share_of_capacity  p99_2s_after_ms')
    for policy in ('fifo', 'adaptive'):
        await rig.set_policy(policy)
        await rig.drive('slots', CAPACITY / 2, 2, 1)
        swing = asyncio.create_task(
            rig.drive('slots', CAPACITY * SWING, seconds, 2)
        )
        await asyncio.sleep(seconds + 2)
        after = await rig.drive('slots', CAPACITY / 2, RECOVERY_S, 3)
        sample = await swing
        share = len(sample.in_time) / (CAPACITY * seconds)
        p99 = after.histogram.get_value_at_percentile(99)
        say(
            f'{policy:10} {len(sample.in_time):7} {len(sample.late):5} '
            f'{sample.refused:8} {share:18.2f} {p99:16}'
        )


def say(text: str) -> None:
    """Print one line at once."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


async def run(options: argparse.Namespace) -> None:
    """Run what was asked for on one host."""
    fleet = Fleet(
        [HostPlan('one', 'sofia', 'sofia-a', 'booking', SLOTS, WORK_MS)]
    )
    connector = aiohttp.TCPConnector(limit=0)
    with fleet.running():
        async with aiohttp.ClientSession(connector=connector) as session:
            await fleet.wait_store(session)
            rig = Rig(fleet, session)
            if 'hol' in options.names:
                await head_of_line(rig, options.seconds)
            if 'peak' in options.names:
                await peak(rig, options.seconds)


def main() -> None:
    """Run the measures."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks.queueing')
    parser.add_argument('names', nargs='*', default=['hol', 'peak'])
    parser.add_argument('--seconds', type=float, default=SECONDS)
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
