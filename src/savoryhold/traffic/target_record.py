"""What a node has seen of a target: pace, refusals, and work sent to it."""

__all__ = ['PaceEstimate', 'TargetRecord']

PACE_SAMPLES = 24.0  # over which a pace averages; run times vary much
PACE_PRIOR = 3.0  # samples of usual pace that an estimate starts with
MAX_PACE_RATIO = 8.0  # of one run time to its forecast
PACE_HALF_LIFE_MS = 8000  # without runs, so that a slow target is tried again
MIN_PACE = 0.2
OUTCOME_WEIGHT = 0.3  # of the last outcome; there are few of one target
OUTCOME_HALF_LIFE_MS = 2000  # statuses carry the owner's figure by then
MAX_PENDING = 256  # relays counted one by one


class PaceEstimate:
    """Ratio of run times at a target to their forecast, 1 if usual.

    Parameters
    ----------
    samples : float
        Number of runs over which it averages.
    """

    __slots__ = ('_keep', '_weight', '_total', '_at')

    def __init__(self, samples: float = PACE_SAMPLES) -> None:
        self._keep = 1 - 1 / samples
        self._weight = 0.0
        self._total = 0.0
        self._at = 0

    def record(self, run_ms: float, expected_ms: float, now: int) -> None:
        """Add a run time and its forecast at usual pace."""
        if expected_ms <= 0:
            return
        ratio = min(MAX_PACE_RATIO, run_ms / expected_ms)
        self._weight = self._weight * self._keep + 1
        self._total = self._total * self._keep + ratio
        self._at = now

    def current(self, now: int) -> float:
        """Return the pace, which tends to 1 while nothing is recorded."""
        if not self._weight:
            return 1.0
        pace = (self._total + PACE_PRIOR) / (self._weight + PACE_PRIOR)
        age = max(0, now - self._at) / PACE_HALF_LIFE_MS
        return float(max(MIN_PACE, 1 + (pace - 1) * 0.5**age))


class TargetRecord:
    """Outcomes of the requests that this node has sent to one target."""

    __slots__ = ('pace', '_acceptance', '_at', '_pending', '_pending_ms')

    def __init__(self) -> None:
        self.pace = PaceEstimate()
        self._acceptance = 1.0
        self._at = 0
        # Relays that no status includes yet: time and expected work.
        self._pending: dict[int, tuple[int, float]] = {}
        self._pending_ms = 0.0

    @property
    def pending_ms(self) -> float:
        """Return the expected work sent since the last status."""
        return self._pending_ms

    def begin(self, number: int, work_ms: float, now: int) -> None:
        """Record that a request was sent."""
        if len(self._pending) >= MAX_PENDING:
            self.end(next(iter(self._pending)))
        self._pending[number] = (now, work_ms)
        self._pending_ms += work_ms

    def end(self, number: int) -> None:
        """Record that a request has ended."""
        _, work_ms = self._pending.pop(number, (0, 0.0))
        self._pending_ms = max(0.0, self._pending_ms - work_ms)

    def on_status(self, heard_at: int) -> None:
        """Drop what was sent before a status, which includes it."""
        while self._pending:
            number, (sent_at, _) = next(iter(self._pending.items()))
            if sent_at >= heard_at:
                return
            self.end(number)
        self._pending_ms = 0.0

    def record_outcome(self, *, accepted: bool, now: int) -> None:
        """Record whether the target, by itself, has run a request."""
        known = self.acceptance(now)
        self._acceptance = known + OUTCOME_WEIGHT * (accepted - known)
        self._at = now

    def acceptance(self, now: int) -> float:
        """Return the share of requests that it runs, 1 once outcomes age."""
        if self._acceptance >= 1:
            return 1.0
        age = max(0, now - self._at) / OUTCOME_HALF_LIFE_MS
        return float(1 - (1 - self._acceptance) * 0.5**age)
