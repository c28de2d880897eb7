"""What a target says of its load in the headers of its answers.

The header has ``running,waiting,slots[,pace]``: requests that it runs and that
wait inside it, its slots, and its run times in percent of nominal ones.
"""

import dataclasses
import math

__all__ = ['LoadSample', 'ReportedLoad', 'parse_load']

MAX_TEXT = 64  # of a header; four numbers need less
MAX_COUNT = 1_000_000  # as for the slots of a report
MAX_PACE = 10_000  # percent; a hundredth of the nominal speed
NOMINAL_PACE = 100
FIELDS = (3, 4)
# Slow episodes last this long. A sample lies anywhere within its episode.
EPISODE_MS = 400.0
# Surplus requests are forgotten after two usual run times. Answers renew the
# figure every 50 ms at a busy target.
SURPLUS_MS = 400.0
# Ten episodes: shorter averages follow single episodes, which have ended when
# other nodes hear of them.
PACE_MS = 4000.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """One header; ``pace`` is a multiple of the nominal run time."""

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


def parse_load(text: bytes) -> LoadSample | None:
    """Parse a header; return None if it is invalid.

    Examples
    --------
    >>> parse_load(b'3,1,5,250')
    LoadSample(running=3, waiting=1, slots=5, pace=2.5)
    >>> parse_load(b'3,-1,5') is None
    True
    """
    if len(text) > MAX_TEXT:
        return None
    parts = [part.strip() for part in text.split(b',')]
    if len(parts) not in FIELDS or not all(map(bytes.isdigit, parts)):
        return None
    running, waiting, slots, *rest = map(int, parts)
    pace = rest[0] if rest else NOMINAL_PACE
    if max(running, waiting, slots) > MAX_COUNT or not slots:
        return None
    if not 1 <= pace <= MAX_PACE:
        return None
    return LoadSample(running, waiting, slots, pace / NOMINAL_PACE)


class ReportedLoad:
    """The last sample and its age, and the smoothed pace.

    Notes
    -----
    All figures fade as the last sample ages, so that a target that stops to
    report them is treated as one that never did. Times are in ms.
    """

    def __init__(self) -> None:
        self.sample: LoadSample | None = None
        self.invalid = 0
        self._at = 0
        self._surplus = 0
        self._mean_pace = 1.0

    def record(self, text: bytes, known: int, now: int) -> bool:
        """Read a header.

        Parameters
        ----------
        text : bytes
            Text of the header, empty if there is none.
        known : int
            Requests of this node at the target, with the one just answered.
        now : int
            Time of the answer.

        Returns
        -------
        bool
            Whether the header is absent or valid.
        """
        if not text:
            return True
        sample = parse_load(text)
        if sample is None:
            self.invalid += 1
            return False
        self._mean_pace = self.mean_pace(now)
        self._surplus = max(0, sample.running + sample.waiting - known)
        self.sample, self._at = sample, now
        return True

    def clear(self) -> None:
        """Forget the figures of a target that has ended."""
        self.sample = None
        self._surplus = 0
        self._mean_pace = 1.0

    def surplus(self, now: int) -> float:
        """Return the requests that run there though nobody waits for them."""
        if not self._surplus:
            return 0.0
        return self._surplus * max(0.0, 1 - (now - self._at) / SURPLUS_MS)

    def pace(self, now: int) -> float:
        """Return the present pace as a multiple of the mean one, at least 1.

        Notes
        -----
        Measured run times contain the mean pace already.
        """
        if self.sample is None or now - self._at >= EPISODE_MS:
            return 1.0
        return max(1.0, self.sample.pace / self._mean_pace)

    def slow_ms(self, now: int) -> float:
        """Return by how much the present episode delays a running request.

        Notes
        -----
        The episode goes on with probability ``left / EPISODE_MS``, then for
        half of what is left in the mean. Of that time, a run at pace ``p``
        loses the part ``1 - 1 / p``.
        """
        pace = self.pace(now)
        if pace <= 1:
            return 0.0
        left = EPISODE_MS - (now - self._at)
        return (1 - 1 / pace) * left * left / (2 * EPISODE_MS)

    def mean_pace(self, now: int) -> float:
        """Return the pace averaged over several episodes.

        Notes
        -----
        Weighted by time, because a slow target answers less often. A sample
        counts for one episode at most; without newer ones, the mean returns to
        the nominal pace.
        """
        if self.sample is None:
            return 1.0
        age = now - self._at
        held = min(float(age), EPISODE_MS)
        kept = math.exp(-held / PACE_MS)
        mean = self.sample.pace + (self._mean_pace - self.sample.pace) * kept
        return 1 + (mean - 1) * math.exp((held - age) / PACE_MS)
