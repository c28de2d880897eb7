"""Rate limit of the requests that a cold target gets.

A target is cold for some seconds after its start, and may become cold again at
any moment. It then bears few requests and ends if it gets more. One node sends
to each target, so that the limit holds exactly at that node.
"""

import dataclasses
import math
from collections import deque

__all__ = ['ColdStartLimiter', 'ReportDelay', 'WarmupLimits']

WINDOW_MS = 1000  # the limit applies to each second
# Requests that leave up to this long before the window opens may still arrive
# in it; local connections take a few ms.
WINDOW_MARGIN_MS = 50
RATE_SHARE = 0.95  # of the sustained rate that is allowed
# Part of the slack that is used as burst. The target ends at a rate well above
# its nominal one, so that a full second never uses the whole slack.
BURST_SHARE = 0.25
DELAY_REPORTS = 6  # reports from which the usual delay is estimated


@dataclasses.dataclass(frozen=True, slots=True)
class WarmupLimits:
    """Limits of a cold target, in requests.

    In any second it gets at most ``per_s * over + slack`` requests.
    """

    per_s: float = 0.0
    over: float = 1.0
    slack: float = 0.0

    @property
    def per_window(self) -> int:
        """Return the most requests in one second."""
        return max(1, math.floor(self.per_s * self.over + self.slack))

    @property
    def rate_per_ms(self) -> float:
        """Return the sustained rate."""
        return self.per_s * self.over * RATE_SHARE / WINDOW_MS

    @property
    def burst(self) -> float:
        """Return how many requests may start at once."""
        return max(1.0, self.slack * BURST_SHARE)


class ReportDelay:
    """Estimates when the reports of a target were sent.

    Parameters
    ----------
    interval_ms : int
        Interval of the reports.

    Notes
    -----
    The reports carry numbers but no times. The least delay of the last few is
    taken as the usual one; any excess was spent on the way.
    """

    def __init__(self, interval_ms: int) -> None:
        self._interval_ms = interval_ms
        self._offsets: deque[int] = deque(maxlen=DELAY_REPORTS)

    def sent_at(self, sequence: int, received_at: int) -> int:
        """Return when a report was sent, in ms of this host's clock."""
        self._offsets.append(received_at - sequence * self._interval_ms)
        return received_at - (self._offsets[-1] - min(self._offsets))

    def clear(self) -> None:
        """Forget the reports of an incarnation that has ended."""
        self._offsets.clear()


class ColdStartLimiter:
    """Decides when a request may start at a target that may be cold.

    Notes
    -----
    A token bucket bounds the sustained rate and the burst. It is empty when
    the target becomes cold, because the requests of the last second may have
    met it cold. The requests sent in the last second are counted besides, so
    that the limit of a second holds whatever the delay between the start of a
    request and its sending. Times are in ms.
    """

    def __init__(self) -> None:
        self.limits = WarmupLimits()
        self.suspected_at: int | None = 0
        self.suspicions = 0
        self._cold_until = 0
        self._tokens = 0.0
        self._refilled_at = 0
        self._was_cold = False
        self._unsent = 0
        self._sent: deque[int] = deque()

    @property
    def applies(self) -> bool:
        """Return whether targets of the service are ever cold."""
        return self.limits.per_s > 0

    def is_cold(self, now: int) -> bool:
        """Return whether the target is, or may be, cold."""
        return self.applies and (
            self.suspected_at is not None or now < self._cold_until
        )

    def suspect_cold(self, at: int, now: int) -> bool:
        """Treat the target as cold until a report that is sent later.

        Parameters
        ----------
        at : int
            When it may have become cold.
        now : int
            The present time.

        Returns
        -------
        bool
            Whether it was not cold before.
        """
        was_cold = self.is_cold(now)
        self.suspected_at = max(at, self.suspected_at or at)
        self.suspicions += self.applies
        self._note_phase(now)
        return self.applies and not was_cold

    def on_report(self, left_ms: int, sent_at: int, now: int) -> None:
        """Process what the target reports of its cold phase.

        Parameters
        ----------
        left_ms : int
            How much longer it is cold.
        sent_at : int
            When the report was sent.
        now : int
            When it was received.
        """
        if self.suspected_at is not None and sent_at > self.suspected_at:
            self.suspected_at = None
        # Without the time on the way, the phase would end too early if the
        # delay were overestimated.
        self._cold_until = now + left_ms if left_ms else 0
        self._note_phase(now)

    def next_start_ms(self, now: int) -> float:
        """Return after how many ms the next request may start, 0 if now."""
        if not self._note_phase(now):
            return 0.0
        self._drop_old(now)
        missing = max(0.0, 1.0 - self._tokens) / self.limits.rate_per_ms
        excess = self._unsent + len(self._sent) - self.limits.per_window
        if excess < 0:
            return missing
        if excess >= len(self._sent):
            return max(missing, WINDOW_MARGIN_MS)
        opens_at = self._sent[excess] + WINDOW_MS + WINDOW_MARGIN_MS
        return max(missing, opens_at - now + 1)

    def gap_ms(self, now: int) -> float:
        """Return the mean time between starts, 0 if it is not limited."""
        return 1 / self.limits.rate_per_ms if self.is_cold(now) else 0.0

    def start(self, now: int) -> None:
        """Count a request that starts."""
        if self._note_phase(now):
            self._tokens -= 1
        self._unsent += 1

    def record_sent(self, now: int) -> None:
        """Count a started request as sent."""
        if self._unsent:
            self._unsent -= 1
            self._drop_old(now)
            self._sent.append(now)

    def return_unsent(self) -> None:
        """Take back the start of a request that is not sent."""
        if self._unsent:
            self._unsent -= 1
            self._return_token()

    def return_sent(self) -> None:
        """Take back a sent request that the target does not count."""
        if self._sent:
            # The oldest counts for the shortest time.
            self._sent.popleft()
            self._return_token()

    def _return_token(self) -> None:
        self._tokens = min(self.limits.burst, self._tokens + 1)

    def _note_phase(self, now: int) -> bool:
        """Fill the bucket, from the start of a cold phase on.

        Returns
        -------
        bool
            Whether the target is, or may be, cold.
        """
        is_cold = self.is_cold(now)
        if is_cold and self._was_cold:
            earned = (now - self._refilled_at) * self.limits.rate_per_ms
            self._tokens = min(self.limits.burst, self._tokens + earned)
        elif is_cold:
            self._tokens = 0.0
        self._was_cold = is_cold
        self._refilled_at = now
        return is_cold

    def _drop_old(self, now: int) -> None:
        oldest = now - WINDOW_MS - WINDOW_MARGIN_MS
        while self._sent and self._sent[0] < oldest:
            self._sent.popleft()
