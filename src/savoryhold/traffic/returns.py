"""Callers that come back after a refusal.

A refused caller is told when to come back.  One that has waited goes ahead of
new requests of its kind, one that has not is refused again, and of several
equal requests at once only the first keeps its place.
"""

import dataclasses
import enum
from collections import OrderedDict

from savoryhold.core.poison import Fingerprint

__all__ = ['DUPLICATE_PENALTY', 'ReturnTracker', 'Standing']

MAX_REFUSALS = 4096  # remembered at once, about 1 MB
TOLERANCE_MS = 20  # callers' timers and clocks are that inexact
SHARED_MS = 10_000  # after an answer, equal requests are of other callers
RETURN_WINDOW_MS = 2000  # after the time told; later callers count as new
# Added to the priority of a duplicate, which thereby ranks behind all kinds.
DUPLICATE_PENALTY = 100
FORGET_MS = 2000  # an older refusal does not show that an overload goes on


class Standing(enum.Enum):
    """Place of a request among those of its kind."""

    NEW = 'new'
    RETURNING = 'returning'  # has waited as told after a refusal
    EARLY = 'early'  # has not waited as told
    DUPLICATE = 'duplicate'  # an equal request is not answered yet


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """Until when a refused caller should wait, and is refused if it returns."""

    wait_until: int
    refuse_until: int


class ReturnTracker:
    """Refused and unanswered requests of the callers of one node.

    Notes
    -----
    Attempts of one caller have different ids and equal fingerprints.  A caller
    whose request was answered does not repeat it.  Equal requests soon after
    an answer therefore are of different callers, and each has its own place.
    """

    def __init__(self) -> None:
        self._refusals: OrderedDict[Fingerprint, _Refusal] = OrderedDict()
        self._active: dict[Fingerprint, int] = {}
        # When requests were last answered, of many callers or of one.
        self._answered: OrderedDict[Fingerprint, int] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of refusals that are remembered."""
        return len(self._refusals)

    def begin(self, fingerprint: Fingerprint, now: int) -> Standing:
        """Return the standing of a request; unless early, it becomes active.

        Parameters
        ----------
        fingerprint : Fingerprint
            Hash of its content.
        now : int
            Time in ms.
        """
        refusal = self._refusals.get(fingerprint)
        shared = self._is_shared(fingerprint, now)
        if refusal is not None and now < refusal.refuse_until and not shared:
            return Standing.EARLY
        active = self._active.get(fingerprint, 0)
        self._active[fingerprint] = active + 1
        if active and not shared:
            return Standing.DUPLICATE
        if refusal is None or now < refusal.wait_until - TOLERANCE_MS:
            return Standing.NEW
        del self._refusals[fingerprint]
        if now > refusal.wait_until + RETURN_WINDOW_MS:
            return Standing.NEW
        return Standing.RETURNING

    def end(self, fingerprint: Fingerprint) -> None:
        """Record that a request is no longer active."""
        left = self._active.get(fingerprint, 0) - 1
        if left > 0:
            self._active[fingerprint] = left
        else:
            self._active.pop(fingerprint, None)

    def record_answer(self, fingerprint: Fingerprint, now: int) -> None:
        """Record that a request, but not a duplicate, was answered."""
        self._answered[fingerprint] = now
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_REFUSALS:
            self._answered.popitem(last=False)

    def _is_shared(self, fingerprint: Fingerprint, now: int) -> bool:
        """Return whether different callers send equal requests."""
        answered_at = self._answered.get(fingerprint)
        return answered_at is not None and now - answered_at < SHARED_MS

    def record_refusal(
        self,
        fingerprint: Fingerprint,
        now: int,
        retry_ms: int,
        *,
        enforced: bool = True,
    ) -> None:
        """Remember a refusal and the wait that its caller was told.

        Parameters
        ----------
        fingerprint : Fingerprint
            Hash of the request's content.
        now : int
            Time in ms.
        retry_ms : int
            Wait that the caller was told.
        enforced : bool
            Whether a caller that returns sooner is refused.
        """
        known = self._refusals.get(fingerprint)
        if known is not None and self._is_shared(fingerprint, now):
            # The first of several callers is the next to return.
            retry_ms = min(retry_ms, max(0, known.wait_until - now))
        enforced_ms = min(retry_ms - TOLERANCE_MS, FORGET_MS) * enforced
        self._refusals[fingerprint] = _Refusal(
            now + retry_ms, now + enforced_ms
        )
        self._refusals.move_to_end(fingerprint)
        while self._refusals:
            oldest = next(iter(self._refusals.values()))
            expired = now > oldest.wait_until + RETURN_WINDOW_MS
            if not expired and len(self._refusals) <= MAX_REFUSALS:
                return
            self._refusals.popitem(last=False)

    def wait_left_ms(self, fingerprint: Fingerprint, now: int) -> int:
        """Return how much longer a refused caller should wait."""
        refusal = self._refusals.get(fingerprint)
        return 0 if refusal is None else max(0, refusal.wait_until - now)
