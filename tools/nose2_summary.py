"""A nose2 plugin that counts tests and leaves out known failures.

Tests named in ``KNOWN-RED.txt`` (lines ``test: ID``) are not run; their
entries are printed, and so are those of the users' bench (``bench: ...``).
"""

import pathlib
from typing import Any

from nose2 import events

__all__ = ['Summary']

KNOWN_RED = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
PREFIX = 'test: '
BENCH_PREFIX = 'bench: '
PASSED = 'passed'
SUBTEST = 'subtest'


class Summary(events.Plugin):  # type: ignore[misc]
    """Prints ``N passed, N failed`` from the outcomes of the runner."""

    configSection = 'summary'  # noqa: N815
    commandLineSwitch = (None, 'summary', 'Print a closing count')  # noqa: N815

    def __init__(self) -> None:
        """Read the known failures."""
        self.known = _known()
        self.passed = 0
        self.failed = 0

    def getTestCaseNames(self, event: Any) -> None:  # noqa: N802
        """Exclude known failures from the collected tests."""
        case = event.testCase
        prefix = f'{case.__module__}.{case.__qualname__}.'
        found = {test for test in self.known if test.startswith(prefix)}
        event.excludedNames.extend(test[len(prefix) :] for test in found)

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Count one outcome."""
        if event.outcome == SUBTEST and event.exc_info is None:
            return
        if event.outcome == PASSED or event.expected:
            self.passed += 1
        else:
            self.failed += 1

    def afterSummaryReport(self, event: Any) -> None:  # noqa: N802
        """Print the known failures and the counts."""
        for test in sorted(self.known):
            event.stream.writeln(f'known red, not run: {test}')
        for entry in _lines(BENCH_PREFIX):
            event.stream.writeln(f'known red on the bench: {entry}')
        event.stream.writeln(f'{self.passed} passed, {self.failed} failed')


def _known() -> frozenset[str]:
    return frozenset(_lines(PREFIX))


def _lines(prefix: str) -> list[str]:
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return [
        line.removeprefix(prefix) for line in lines if line.startswith(prefix)
    ]
