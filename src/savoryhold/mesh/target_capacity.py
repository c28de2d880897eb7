"""What the local target bears at present, by its reports and its answers."""

from collections.abc import Callable

from savoryhold.core.clock import Clock
from savoryhold.daemon.logs import Log
from savoryhold.mesh.interface import TargetReport
from savoryhold.mesh.local_target import LocalTarget
from savoryhold.traffic import (
    UNLIMITED,
    Capacity,
    ColdStartLimiter,
    Feature,
    FullnessBound,
    ReportDelay,
    ReportedLoad,
    RouteTable,
    WarmupLimits,
)
from savoryhold.wire import ClientPool

__all__ = ['TargetCapacity']

INITIAL_RUN_MS = 60.0  # assumed until a run is measured
RUN_SMOOTHING = 0.06
MEAN_RUN_LEFT = 0.5  # average part of its run time that a run has left
FIGURE_DIGITS = 2  # of figures in statuses
# A handshake holds a slot of a target that resets for 1 ms.
SETTLE_MS = 2
LOAD_LOG_MS = 10_000  # between two lines on invalid headers


class TargetCapacity:
    """Combines what limits the requests that the local target gets.

    Parameters
    ----------
    target : LocalTarget
        State and connections of the target.
    clock : Clock
        Source of time.
    log : Log
        Logger of this node.
    report_ms : int
        Interval of the target's reports.
    """

    def __init__(
        self, target: LocalTarget, clock: Clock, log: Log, report_ms: int
    ) -> None:
        self.routes: Callable[[], RouteTable | None] = lambda: None
        self.warmup_over = 1.0
        self.warmup_slack = 0.0
        self.limiter = ColdStartLimiter()
        self.cold_starts = 0
        self._target = target
        self._clock = clock
        self._log = log
        self.load = ReportedLoad()
        self.fullness = FullnessBound()
        self._load_logged_at: int | None = None
        self._delay = ReportDelay(report_ms)
        self._run_ms = INITIAL_RUN_MS
        # What was last seen of the connections.
        self._pool: ClientPool | None = None
        self._emptied_at: int | None = None
        self._refused = 0

    def current(self) -> Capacity:
        """Return the limits at present."""
        self._read_configuration()
        if not self._is_limited():
            return UNLIMITED
        self._watch_connections()
        now = self._clock.now()
        occupied = self.load.surplus(now)
        return Capacity(
            slots=self.fullness.usable(self._slots(), now),
            occupied=occupied,
            occupied_ms=occupied * self._run_ms * MEAN_RUN_LEFT,
            start_ms=self.limiter.next_start_ms(now),
            gap_ms=self.limiter.gap_ms(now),
            pace=self.load.pace(now),
            slow_ms=self.load.slow_ms(now),
        )

    def advertised_slots(self, slots: int) -> int:
        """Return the slots that a cold target keeps busy, else all.

        Notes
        -----
        A mere suspicion changes nothing here: it usually ends with the next
        report, sooner than keys can be moved.
        """
        gap_ms = self.limiter.gap_ms(self._clock.now())
        if not gap_ms or self.limiter.suspected_at is not None:
            return slots
        return max(1, min(slots, round(self._run_ms / gap_ms)))

    def on_report(self, report: TargetReport, *, replaced: bool) -> None:
        """Process a report.

        Parameters
        ----------
        report : TargetReport
            The report.
        replaced : bool
            Whether it is the first of an incarnation that replaced another.
        """
        self._read_configuration()
        now = self._clock.now()
        if replaced:
            self._delay.clear()
            self.load.clear()
            self.fullness.clear()
            self.suspect_cold('new incarnation')
        self._watch_connections()
        before = self.limiter.is_cold(now)
        sent_at = self._delay.sent_at(report.sequence, now)
        self.limiter.on_report(report.warmup_left_ms, sent_at, now)
        after = self.limiter.is_cold(now)
        if after and not before:
            self._log.info('target_cold', left_ms=report.warmup_left_ms)
        elif before and not after:
            self._log.info('target_warm', report=report.sequence)

    def suspect_cold(self, reason: str, *, ago_ms: int = 0) -> None:
        """Treat the target as cold until its next report."""
        now = self._clock.now()
        if self.limiter.suspect_cold(now - ago_ms, now):
            self._log.info('target_maybe_cold', reason=reason)

    def record_start(self) -> None:
        """Count a request that starts."""
        now = self._clock.now()
        self.cold_starts += self.limiter.is_cold(now)
        self.limiter.start(now)

    def record_run_time(self, took_ms: float) -> None:
        """Count the run time of a request."""
        self._run_ms += RUN_SMOOTHING * (took_ms - self._run_ms)

    def record_load(self, text: bytes, known: int) -> None:
        """Read the load that an answer reports.

        Parameters
        ----------
        text : bytes
            The header, empty if there is none.
        known : int
            Requests of this node at the target, with the one just answered.
        """
        now = self._clock.now()
        if self.load.record(text, known, now):
            return
        last = self._load_logged_at
        if last is None or now - last >= LOAD_LOG_MS:
            self._load_logged_at = now
            self._log.warning(
                'load_unreadable',
                text=text.decode('latin-1'),
                invalid=self.load.invalid,
            )

    def record_reset(self, ran_ms: int, running: int) -> bool:
        """Record a connection that the target broke without an answer.

        Parameters
        ----------
        ran_ms : int
            Time since its request was handed to it.
        running : int
            Requests of this node at the target, with that one.

        Returns
        -------
        bool
            Whether the target may have been full.
        """
        if not self._by_cost():
            return False
        slots, now = self._slots(), self._clock.now()
        before = self.fullness.usable(slots, now)
        if not self.fullness.record_reset(ran_ms, running, slots, now):
            return False
        if self._target.pool is not None:
            self._target.pool.settle_ms = SETTLE_MS
        usable = self.fullness.usable(slots, now)
        if usable < before:
            self._log.info(
                'target_full',
                running=running,
                slots=slots,
                usable=usable,
                resets=self.fullness.resets,
            )
        return True

    def advertised_cost(self, acceptance: float) -> dict[str, float]:
        """Return figures on the costs of requests, for the status.

        Parameters
        ----------
        acceptance : float
            Share of the requests that the target does not refuse.
        """
        if not self._by_cost():
            return {}
        pace = self.load.mean_pace(self._clock.now())
        return {
            'pace': round(pace, FIGURE_DIGITS),
            'acceptance': round(acceptance, FIGURE_DIGITS),
        }

    def _by_cost(self) -> bool:
        """Return whether the configuration asks for routing by cost."""
        routes = self.routes()
        return (
            routes is not None and Feature.COST_ROUTING in routes.cfg.features
        )

    def gauges(self) -> dict[str, float]:
        """Return figures for the metrics."""
        now = self._clock.now()
        return {
            'target_cold': float(self.limiter.is_cold(now)),
            'target_cold_suspicions': float(self.limiter.suspicions),
            'target_cold_starts': float(self.cold_starts),
            'target_resets': float(self.fullness.resets),
            'target_slots_usable': float(
                self.fullness.usable(self._slots(), now)
            ),
            'target_pace': self.load.mean_pace(now),
            'target_surplus_runs': self.load.surplus(now),
            'target_loads_unreadable': float(self.load.invalid),
        }

    def _is_limited(self) -> bool:
        if self.limiter.applies or self.load.sample is not None:
            return True
        if not self.fullness.resets:
            return False
        return not self.fullness.is_open(self._slots(), self._clock.now())

    def _slots(self) -> int:
        report = self._target.report
        return 1 if report is None else max(1, report.slots)

    def _read_configuration(self) -> None:
        routes, report = self.routes(), self._target.report
        if routes is None or report is None:
            return
        service = routes.services.get(report.service)
        per_s = service.warmup_per_s if service else 0.0
        if per_s != self.limiter.limits.per_s:
            self.limiter.limits = WarmupLimits(
                per_s, self.warmup_over, self.warmup_slack
            )

    def _watch_connections(self) -> None:
        """Suspect the target if its connections show that it may have ended."""
        pool = self._target.pool
        if pool is None or not self.limiter.applies:
            return
        if pool is not self._pool:
            self._pool, self._emptied_at, self._refused = pool, None, 0
        emptied_at = pool.emptied_at
        if emptied_at is not None and emptied_at != self._emptied_at:
            self._emptied_at = emptied_at
            ago_ms = self._clock.now() - emptied_at
            self.suspect_cold('all connections closed', ago_ms=ago_ms)
        if pool.refused > self._refused:
            self.suspect_cold('connection refused')
        self._refused = pool.refused
