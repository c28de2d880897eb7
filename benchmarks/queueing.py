"""Head-of-line blocking and overload: adaptive admission against FIFO.

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
CALLER_TIMEOUT_MS = 1000
OVERLOAD_FACTOR = 4.0
CAPACITY = SLOTS * MS_PER_SECOND / WORK_MS
MAX_MS = 120_000
SECONDS = 8.0
RECOVERY_S = 4.0
SHARDS = 12


@dataclasses.dataclass(slots=True)
class Sample:
    """Latencies of complete answers, and the due times of their requests.

    ``in_time`` and ``late`` hold due times of requests that were answered
    within `CALLER_TIMEOUT_MS` and after it.
    """

    histogram: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(1, MAX_MS, 3)
    )
    in_time: list[float] = dataclasses.field(default_factory=list)
    late: list[float] = dataclasses.field(default_factory=list)
    refused: int = 0


class QueueBench:
    """One host, on which the admission policies are compared."""

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

    async def send_requests(
        self, page: str, rate: float, seconds: float, seed: int
    ) -> Sample:
        """Send requests at seeded Poisson arrivals, without waiting."""
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
        """Send one request; its latency counts from its due time."""
        work_ms = EXPORT_MS if page == 'archive' else WORK_MS
        host = self.fleet.hosts[0]
        url = f'{host.caller_url}/booking/patients/{patient}/{page}'
        timeouts = {} if page == 'archive' else {'timeout': CALLER_TIMEOUT_MS}
        headers = {
            'X-Savoryhold-Timeout-Ms': str(limit) for limit in timeouts.values()
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
        bucket = sample.in_time if took_ms <= CALLER_TIMEOUT_MS else sample.late
        bucket.append(due)


async def head_of_line(bench: QueueBench, seconds: float) -> None:
    """Print the p99 of short lookups with and without long exports."""
    print_line(
        'policy     alone_p99_ms  with_exports_p99_ms  ratio  exports_done'
    )
    for policy in ('fifo', 'adaptive'):
        await bench.set_policy(policy)
        await bench.send_requests('slots', SHORT_RATE, 2, 1)
        alone = await bench.send_requests('slots', SHORT_RATE, seconds, 2)
        exports = asyncio.create_task(
            bench.send_requests('archive', EXPORT_RATE, seconds + 2, 3)
        )
        await asyncio.sleep(2)
        mixed = await bench.send_requests('slots', SHORT_RATE, seconds, 2)
        done = await exports
        before = alone.histogram.get_value_at_percentile(99)
        after = mixed.histogram.get_value_at_percentile(99)
        served = done.histogram.get_total_count()
        print_line(
            f'{policy:10} {before:12} {after:20} {after / before:6.2f} '
            f'{served:13}'
        )


async def peak(bench: QueueBench, seconds: float) -> None:
    """Print answers in time at four times the capacity, and p99 after it."""
    print_line(
        'policy     in_time  late  refused  share_of_capacity  p99_2s_after_ms'
    )
    for policy in ('fifo', 'adaptive'):
        await bench.set_policy(policy)
        await bench.send_requests('slots', CAPACITY / 2, 2, 1)
        overload = asyncio.create_task(
            bench.send_requests('slots', CAPACITY * OVERLOAD_FACTOR, seconds, 2)
        )
        await asyncio.sleep(seconds + 2)
        after = await bench.send_requests('slots', CAPACITY / 2, RECOVERY_S, 3)
        sample = await overload
        share = len(sample.in_time) / (CAPACITY * seconds)
        p99 = after.histogram.get_value_at_percentile(99)
        print_line(
            f'{policy:10} {len(sample.in_time):7} {len(sample.late):5} '
            f'{sample.refused:8} {share:18.2f} {p99:16}'
        )


def print_line(text: str) -> None:
    """Print and flush one line."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


async def run(options: argparse.Namespace) -> None:
    """Run the named measurements on one host."""
    fleet = Fleet(
        [HostPlan('one', 'sofia', 'sofia-a', 'booking', SLOTS, WORK_MS)]
    )
    connector = aiohttp.TCPConnector(limit=0)
    with fleet.running():
        async with aiohttp.ClientSession(connector=connector) as session:
            await fleet.wait_store(session)
            bench = QueueBench(fleet, session)
            if 'hol' in options.names:
                await head_of_line(bench, options.seconds)
            if 'peak' in options.names:
                await peak(bench, options.seconds)


def main() -> None:
    """Run the measurements."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks.queueing')
    parser.add_argument('names', nargs='*', default=['hol', 'peak'])
    parser.add_argument('--seconds', type=float, default=SECONDS)
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
