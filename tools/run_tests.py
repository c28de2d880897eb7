"""Run the test suite with one process a test module, spread over the cores.

Usage: python -m tools.run_tests

Modules named ``test_hostile_*`` measure memory, so they run last and one at a
time.  The last line counts the tests as ``N passed, N failed``.
"""

import os
import pathlib
import re
import subprocess
import sys
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

__all__ = ['main']

ROOT = pathlib.Path(__file__).parents[1]
SOURCES = ROOT / 'src'
DOCTESTS = 'tools.run_doctests'
RUNNER = 'nose2'
ALONE = 'test_hostile_'
LIMIT_S = 1800  # of one module; a test that hangs counts as failed
SPARE_CORES = 1
COUNTS = re.compile(r'^(\d+) passed, (\d+) failed$', re.MULTILINE)
KNOWN_RED = 'known red'


def _modules() -> list[str]:
    """Return the names of the test modules, the largest files first."""
    paths = sorted(
        SOURCES.rglob('test_*.py'),
        key=lambda path: path.stat().st_size,
        reverse=True,
    )
    return [
        '.'.join(path.relative_to(SOURCES).with_suffix('').parts)
        for path in paths
    ]


def _run(arguments: Iterable[str]) -> tuple[int, int]:
    """Run a module of Python; return how many tests have passed and failed."""
    command = (sys.executable, '-m', *arguments)
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=LIMIT_S,
            check=False,
        )
    except subprocess.TimeoutExpired as exc:
        _print(arguments, f'{exc}\n{exc.output!r}')
        return 0, 1
    found = COUNTS.findall(done.stdout)
    if not found:
        _print(arguments, done.stdout)
        return 0, 1
    passed, failed = map(int, found[-1])
    # A module that cannot be imported may count no test at all.
    if done.returncode and not failed:
        failed = 1
    if failed:
        _print(arguments, done.stdout)
    return passed, failed


def _print(arguments: Iterable[str], text: str) -> None:
    sys.stdout.write(f'--- {" ".join(arguments)}\n{text}\n')
    sys.stdout.flush()


def _known_red() -> list[str]:
    """Return the lines of the known failures, which are not run."""
    path = ROOT / 'KNOWN-RED.txt'
    lines = path.read_text(encoding='utf-8').splitlines()
    return [line for line in lines if line.startswith(('test: ', 'bench: '))]


def main() -> int:
    """Run all tests; return the exit status."""
    modules = _modules()
    alone = [name for name in modules if ALONE in name]
    together = [name for name in modules if ALONE not in name]
    workers = max(1, (os.cpu_count() or 1) - SPARE_CORES)
    with ThreadPoolExecutor(workers) as pool:
        outcomes = list(
            pool.map(
                _run, [*((RUNNER, name) for name in together), (DOCTESTS,)]
            )
        )
    outcomes.extend(_run((RUNNER, name)) for name in alone)
    for entry in _known_red():
        sys.stdout.write(f'{KNOWN_RED}, not run: {entry}\n')
    passed = sum(outcome[0] for outcome in outcomes)
    failed = sum(outcome[1] for outcome in outcomes)
    sys.stdout.write(f'{passed} passed, {failed} failed\n')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
