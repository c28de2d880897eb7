"""Usage: python -m soak [--seed N] [--seeds N] [--seconds S] [--keep FOLDER].

Injects seeded faults into real processes on loopback, and checks the
guarantees against what callers and targets saw.  Exits 1 on a violation.
"""

import argparse
import asyncio
import pathlib
import random
import shutil
import sys
import tempfile
from collections import Counter
from collections.abc import Iterable

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'src'))
sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'platform'))

from soak.deployment import Deployment  # noqa: E402
from soak.faults import FaultInjector  # noqa: E402

SEEDS = pathlib.Path(__file__).parent / 'seeds.txt'
START_S = 30.0
# Enough for leases to expire, keys to be claimed, and the last configuration
# to spread.
RECOVERY_S = 25.0
CHECK_EVERY_S = 2.0
MAX_SHOWN_VIOLATIONS = 10
DEFAULT_SECONDS = 12.0


class SeedRun:
    """The run of one seed.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    args : argparse.Namespace
        Parsed command line.
    folder : pathlib.Path
        Folder for logs.
    """

    def __init__(
        self, seed: int, args: argparse.Namespace, folder: pathlib.Path
    ) -> None:
        self.seed = seed
        self.deployment = Deployment(seed, args.keyed, args.unkeyed, folder)
        self._seconds = args.seconds
        self._faults: list[str] = []
        self._folder = folder

    async def play(self) -> list[str]:
        """Play the seed; return a line for each violation."""
        deployment = self.deployment
        injector = FaultInjector(
            deployment, random.Random(self.seed), self._faults.append
        )
        try:
            await self._play(injector)
        except TimeoutError:
            deployment.violations.append(
                f'start: not all was served within {START_S} s'
            )
        finally:
            await deployment.stop()
        violations = [*deployment.violations, *deployment.oracle.check()]
        self._write_timeline(violations)
        return violations

    async def _play(self, injector: FaultInjector) -> None:
        await self.deployment.start(START_S)
        checking = asyncio.create_task(self._check_repeatedly())
        await injector.play(self._seconds)
        await self._wait_for_recovery()
        checking.cancel()

    def summary(self) -> str:
        """Return the number of faults and answers, in one line."""
        statuses = Counter(
            sent.status for sent in self.deployment.oracle.sent.values()
        )
        shown = ' '.join(f'{key}={num}' for key, num in statuses.most_common())
        return f'{len(self._faults) // 2} faults, answers by status: {shown}'

    async def _wait_for_recovery(self) -> None:
        try:
            await self.deployment.wait_until_served(RECOVERY_S)
        except TimeoutError:
            self.deployment.violations.append(
                f'recover: not all is served {RECOVERY_S} s after the faults'
            )

    async def _check_repeatedly(self) -> None:
        """Add the first violation to the timeline of faults."""
        while True:
            await asyncio.sleep(CHECK_EVERY_S)
            # Some of the newest events have not arrived yet, so only the
            # check at the end decides.
            violations = self.deployment.oracle.check()
            if violations:
                self._faults.append(
                    f'{self.deployment.clock.now()} {violations[0]}'
                )
                return

    def _write_timeline(self, violations: list[str]) -> None:
        timeline = '\n'.join([*self._faults, '', *violations, ''])
        (self._folder / 'story.txt').write_text(timeline, encoding='utf-8')


def _play(seed: int, args: argparse.Namespace) -> bool:
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    run = SeedRun(seed, args, folder)
    violations = asyncio.run(run.play())
    verdict = 'broken' if violations else 'passed'
    sys.stdout.write(f'seed {seed}: {verdict}; {run.summary()}\n')
    for line in violations[:MAX_SHOWN_VIOLATIONS]:
        sys.stdout.write(f'  {line}\n')
    sys.stdout.flush()
    if violations and args.keep:
        shutil.copytree(folder, pathlib.Path(args.keep) / str(seed))
    shutil.rmtree(folder)
    return not violations


def _regression_seeds() -> list[int]:
    lines = SEEDS.read_text(encoding='utf-8').splitlines()
    return [
        int(line.split()[0])
        for line in lines
        if line and not line.startswith('#')
    ]


def main() -> int:
    """Play the seeds that the command line names."""
    parser = argparse.ArgumentParser(
        prog='soak', description=__doc__, allow_abbrev=False
    )
    parser.add_argument('--seed', type=int, default=1, help='the first seed')
    parser.add_argument('--seeds', type=int, default=1, help='how many seeds')
    parser.add_argument(
        '--seconds',
        type=float,
        default=DEFAULT_SECONDS,
        help='how long faults are injected',
    )
    parser.add_argument('--keyed', type=int, default=3, help='keyed targets')
    parser.add_argument('--unkeyed', type=int, default=2, help='other targets')
    parser.add_argument('--keep', help='folder for the logs of failed seeds')
    parser.add_argument(
        '--regression',
        action='store_true',
        help='play the seeds of seeds.txt, which failed once',
    )
    args = parser.parse_args()
    seeds: Iterable[int] = range(args.seed, args.seed + args.seeds)
    if args.regression:
        seeds = _regression_seeds()
    passed = [_play(seed, args) for seed in seeds]
    sys.stdout.write(f'{sum(passed)} of {len(passed)} seeds passed\n')
    return 0 if all(passed) else 1


if __name__ == '__main__':
    sys.exit(main())
