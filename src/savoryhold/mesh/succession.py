"""Which incarnation of the local target a report may speak for.

Reports may arrive late, after their sender has ended and another incarnation
has started at its address.
"""

import dataclasses
import enum
from collections import deque

from savoryhold.core.clock import Clock
from savoryhold.mesh.departures import Departures
from savoryhold.mesh.interface import TargetReport
from savoryhold.mesh.local_target import LocalTarget
from savoryhold.ranges import TargetLife

__all__ = ['Standing', 'Succession']

# The current incarnation counts as running for this long after its report, so
# that neither a delayed report of an earlier one nor a report of another writer
# replaces it.
RECENT_REPORT_MS = 1500
# The same, against an incarnation that it is known to have replaced.
SUPERSEDED_SILENCE_MS = 5000
# A target that has left is silent.  An incarnation that seems to precede it is
# accepted only if its reports go on for longer than any report is delayed.
DELAYED_REPORTS_MS = 10_000
MAX_PAUSE_REPORTS = 3  # intervals after which reports do not go on
MAX_SUPERSEDED = 16


class Standing(enum.Enum):
    """Whether a report is of the current incarnation, or of the next one."""

    ACCEPTED = 'accepted'
    OLD = 'old'
    EARLY = 'early'
    DOUBTFUL = 'doubtful'


@dataclasses.dataclass(slots=True)
class _Trial:
    """Reports of an incarnation that is not accepted yet."""

    life: TargetLife
    sequence: int
    started_at: int
    heard_at: int


class Succession:
    """Decides which reports are of the current or of the next incarnation.

    Parameters
    ----------
    target : LocalTarget
        The target as far as it is known.
    departures : Departures
        Incarnations that have announced their leave.
    clock : Clock
        Source of time.
    report_ms : int
        Interval of the target's reports.
    """

    def __init__(
        self,
        target: LocalTarget,
        departures: Departures,
        clock: Clock,
        report_ms: int,
    ) -> None:
        self._target = target
        self._departures = departures
        self._clock = clock
        self._report_ms = report_ms
        self._superseded: deque[TargetLife] = deque(maxlen=MAX_SUPERSEDED)
        # Replaced by one that seems older, which may not go on reporting.
        self._replaced: TargetLife | None = None
        self._trial: _Trial | None = None

    def standing(self, report: TargetReport) -> Standing:
        """Return what a report shows about the incarnation that it is of."""
        known, life = self._target.report, report.keys.life
        if known is not None and known.keys.life == life:
            is_old = report.sequence < known.sequence
            return Standing.OLD if is_old else Standing.ACCEPTED
        if known is not None and self._is_old(life, known.keys.life):
            return Standing.OLD
        if self._is_doubtful(life):
            lasted = self._reported_ms(report) >= DELAYED_REPORTS_MS
            return Standing.ACCEPTED if lasted else Standing.DOUBTFUL
        return Standing.EARLY if self._is_early() else Standing.ACCEPTED

    def goes_on(self, report: TargetReport) -> bool:
        """Return whether a target has reported before, and goes on reporting.

        Notes
        -----
        A target that has left sends no further reports, but a delayed one may
        arrive.
        """
        return self._reported_ms(report) >= self._report_ms // 2

    def record(self, report: TargetReport) -> None:
        """Remember the incarnation that an accepted report replaces."""
        known, life = self._target.life(), report.keys.life
        if known is None:
            return
        if known == life:
            if self._replaced is not None:
                self._superseded.append(self._replaced)
            self._replaced = None
        elif known.born < life.born:
            self._superseded.append(known)
            self._replaced = None
        else:
            self._replaced = known

    def _is_old(self, life: TargetLife, current: TargetLife) -> bool:
        """Return whether a delayed report arrives after newer ones."""
        if self._departures.has(life):
            return True
        silent = self._clock.now() - self._target.reported_at
        if life in self._superseded:
            is_expected = self._departures.has(current)
            return silent < SUPERSEDED_SILENCE_MS and not is_expected
        return silent < RECENT_REPORT_MS and life.born < current.born

    def _is_doubtful(self, life: TargetLife) -> bool:
        """Return whether an incarnation seems to precede one that has left.

        Notes
        -----
        A clock that was set back makes a new incarnation look older, too.
        """
        if self._departures.has(life):
            return False
        current = self._target.life()
        has_left = current is not None and self._departures.has(current)
        if has_left and life in self._superseded:
            return True
        return self._departures.has_later(life) and not self._target.dead

    def _is_early(self) -> bool:
        """Return whether the current incarnation seems to be still running.

        Notes
        -----
        Otherwise one report of another writer would take its place.
        """
        if self._target.report is None or self._target.has_ended():
            return False
        if self._target.leaving_since is not None:
            return False
        silent = self._clock.now() - self._target.reported_at
        return silent < RECENT_REPORT_MS

    def _reported_ms(self, report: TargetReport) -> int:
        """Return for how long an incarnation's reports have been going on."""
        now, trial = self._clock.now(), self._trial
        max_pause = MAX_PAUSE_REPORTS * self._report_ms
        if (
            trial is None
            or trial.life != report.keys.life
            or now - trial.heard_at > max_pause
        ):
            life = report.keys.life
            self._trial = _Trial(life, report.sequence, now, now)
            return 0
        if report.sequence <= trial.sequence:
            return 0
        trial.sequence, trial.heard_at = report.sequence, now
        return now - trial.started_at
