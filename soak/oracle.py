"""Checks the guarantees of the system against the observed events.

The checks know nothing of how the system works, only which requests targets
ran, which keys they held, and what callers were answered.
"""

import bisect
import dataclasses
from collections import defaultdict
from collections.abc import Iterable

from soak.events import Begun, Event, Granted, Leaving, Sent

__all__ = ['Oracle', 'Span']

STATUS_OK = 200
NOT_RUN = frozenset({503, 429, 408, 421})
AFTER_FAULT_MS = 3000  # a fault may affect requests for this long after it
LEAVE_SLACK_MS = 300  # a request may be in flight when the drain time ends

Row = tuple[int, int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """Time from `start` to `end`, in ms."""

    start: int
    end: int


class Oracle:
    """Collects events, and reports which guarantees they violate.

    Parameters
    ----------
    drain_ms : int
        How long a leaving target may still get requests.
    """

    def __init__(self, drain_ms: int) -> None:
        self.events: list[Event] = []
        self.sent: dict[str, Sent] = {}
        self.fault_spans: list[Span] = []
        self.ended_at: dict[str, list[int]] = defaultdict(list)
        self._drain_ms = drain_ms

    def check(self) -> list[str]:
        """Return a line for each violation."""
        self.events.sort(key=lambda event: event.at)
        starts = [event for event in self.events if isinstance(event, Begun)]
        runs: dict[str, list[Begun]] = defaultdict(list)
        for event in starts:
            runs[event.request].append(event)
        return [
            *self._check_runs(runs),
            *self._check_answers(runs),
            *self._check_owners(starts),
            *self._check_fences(),
            *self._check_draining(starts),
        ]

    def _check_runs(self, runs: dict[str, list[Begun]]) -> Iterable[str]:
        for request, found in runs.items():
            sent = self.sent.get(request)
            if sent is None:
                yield f'unasked: {request} ran, but no caller sent it'
            elif sent.once and len(found) > 1:
                where = [(run.target, run.at) for run in found]
                yield f'twice: {request} key {sent.key} ran at {where}'

    def _check_answers(self, runs: dict[str, list[Begun]]) -> Iterable[str]:
        for request, sent in self.sent.items():
            ran = runs.get(request)
            if sent.status in NOT_RUN and ran:
                yield (
                    f'refused: {request} answered {sent.status} at '
                    f'{sent.ended_at} and ran at {ran[0].target} {ran[0].at}'
                )
            if sent.status == STATUS_OK and not (sent.whole and ran):
                yield f'mixed: {request} got the answer of another request'
            cut = sent.ended_at and not sent.status and ran
            if cut and not self._overlaps_fault(sent):
                yield f'lost: {request}, sent {sent.at}, ran and got no answer'

    def _overlaps_fault(self, sent: Sent) -> bool:
        return any(
            span.start <= sent.ended_at and sent.at <= span.end + AFTER_FAULT_MS
            for span in self.fault_spans
        )

    def _check_owners(self, starts: list[Begun]) -> Iterable[str]:
        holds: dict[str, list[Granted]] = defaultdict(list)
        for event in self.events:
            if isinstance(event, Granted):
                holds[event.target].append(event)
        for run in starts:
            for other in self._other_holders(run, holds):
                yield (
                    f'owner: {run.target} ran key {run.key} at {run.at} '
                    f'while {other} held it'
                )

    def _other_holders(
        self, run: Begun, holds: dict[str, list[Granted]]
    ) -> Iterable[str]:
        for other, found in holds.items():
            place = bisect.bisect_right(found, run.at, key=_event_time) - 1
            if other == run.target or place < 0 or run.key is None:
                continue
            if self._holds(found[place], run.key, run.at):
                yield other

    def _holds(self, grant: Granted, key: int, at: int) -> bool:
        died = any(
            grant.at <= ended <= at for ended in self.ended_at[grant.target]
        )
        if died or at >= grant.until:
            return False
        return any(first <= key <= last for first, last, _ in grant.rows)

    def _check_fences(self) -> Iterable[str]:
        known_rows: dict[str, set[Row]] = defaultdict(set)
        for event in self.events:
            if not isinstance(event, Granted):
                continue
            for row in set(event.rows) - known_rows[event.target]:
                yield from _fence_violations(event, row, known_rows)
            known_rows[event.target].update(event.rows)

    def _check_draining(self, starts: list[Begun]) -> Iterable[str]:
        leaving_since = {
            event.target: event.at
            for event in self.events
            if isinstance(event, Leaving)
        }
        limit = self._drain_ms + LEAVE_SLACK_MS
        for run in starts:
            since = run.at - leaving_since.get(run.target, run.at)
            if since > limit:
                yield f'drain: {run.target} got {run.request} {since} ms late'


def _event_time(event: Event) -> int:
    return event.at


def _fence_violations(
    event: Granted, row: Row, known_rows: dict[str, set[Row]]
) -> Iterable[str]:
    """Yield a line if another target held a key at this fence or above."""
    first, last, fence = row
    for other, rows in known_rows.items():
        for known in rows:
            shares = known[0] <= last and first <= known[1]
            if other != event.target and shares and known[2] >= fence:
                yield (
                    f'fence: {event.target} got {row} at {event.at}, '
                    f'{other} had {known}'
                )
                return
