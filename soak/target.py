"""A target process that prints its events."""

import argparse
import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'platform'))

from standins import Target, TargetEvents  # noqa: E402

from savoryhold.core.clock import BootClock  # noqa: E402
from savoryhold.core.errors import LinkError  # noqa: E402
from soak.events import (  # noqa: E402
    Begun,
    Ended,
    Event,
    Granted,
    Leaving,
    format_line,
)

__all__ = ['main']

BACKLOG = 64
MS_PER_SECOND = 1000
DRAINING = 'draining'


class EventPrinter(TargetEvents):
    """Prints each event as a line."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._clock = BootClock()
        self._is_leave_printed = False

    def granted(self, rows: list[list[int]], until: int) -> None:
        """Print the rows that the target holds."""
        held = tuple((row[0], row[1], row[2]) for row in rows)
        self._print(Granted(self._clock.now(), self._name, held, until))

    def acknowledged(self, state: str) -> None:
        """Print once that the node has acknowledged the leave."""
        if state == DRAINING and not self._is_leave_printed:
            self._is_leave_printed = True
            self._print(Leaving(self._clock.now(), self._name))

    def begun(self, request: str, key: int | None) -> None:
        """Print the start of a run."""
        self._print(Begun(self._clock.now(), self._name, request, key))

    def ended(self, request: str) -> None:
        """Print the end of a run."""
        self._print(Ended(self._clock.now(), self._name, request))

    def _print(self, event: Event) -> None:
        sys.stdout.write(f'{format_line(event)}\n')
        sys.stdout.flush()


async def _serve(args: argparse.Namespace) -> None:
    rng = random.Random(args.seed)
    target = Target(
        args.name,
        args.service,
        args.address,
        args.reports,
        EventPrinter(args.name),
    )
    target.reported_address = args.stated
    target.work_ms = args.work_ms
    target.report_ms = args.report_ms
    target.clock_factor = args.clock_factor
    target.born = round((time.time() + args.born_s) * MS_PER_SECOND)
    target.lose = lambda: rng.random() < args.lose
    target.make_body = lambda request: request.encode()
    stop_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, stop_requested.set
    )
    await target.server.start(args.address, BACKLOG)
    reporting = asyncio.create_task(target.run())
    await stop_requested.wait()
    target.state = DRAINING
    await asyncio.sleep(args.drain_ms / MS_PER_SECOND)
    reporting.cancel()
    try:
        await target.leave()
    except (LinkError, TimeoutError):
        # The target ends even if its node does not answer.
        sys.stderr.write('leave was not acknowledged\n')


def main() -> None:
    """Run a target until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ('name', 'service', 'address', 'stated', 'reports'):
        parser.add_argument(f'--{name}', required=True)
    for name in ('seed', 'work-ms', 'report-ms', 'drain-ms'):
        parser.add_argument(f'--{name}', type=int, required=True)
    for name in ('lose', 'born-s', 'clock-factor'):
        parser.add_argument(f'--{name}', type=float, required=True)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == '__main__':
    main()
