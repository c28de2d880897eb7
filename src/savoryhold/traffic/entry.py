"""Admission control at the ingress, before a body crosses a link.

An ingress learns from refusals and answers which share of its requests an
owner, or the targets of a service, can take.  It sheds the excess itself, by
chance, and passes on somewhat more than is taken, so that no room is left
unused and the end of an overload is seen.
"""

import dataclasses
import math
import random
from collections import OrderedDict

from savoryhold.traffic.retry_schedule import RetrySchedule

__all__ = ['Arrival', 'EntryControl', 'EntryRefusal']

WINDOW_MS = 700.0  # time constant of the counts
NEWS_MS = 2000  # older news refuses nobody
PROBE_MS = 100  # at least one request in this time is passed on
# Requests passed on for each that is taken.  Less leaves room unused, since an
# ingress sees few requests; more sends bodies for nothing.
EXCESS = 1.3
AIM_SHARE = 0.8  # of the latency objective that owners plan for
ROOM_SHARE = 0.5  # of the objective; an expected end before it shows room
MAX_PLACES = 1024

Level = tuple[int, bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that is about to be relayed; times in ms.

    ``place`` is the owner of its key, or its service.  ``level`` orders
    requests by urgency: its priority, and whether it is not returning.
    ``aim_left`` and ``time_left`` are the times until its latency objective
    and its deadline, ``run_ms`` its expected run time, and ``backlog_ms`` the
    wait that a recent status of the chosen node tells, if there is one.
    ``one_owner`` is whether the told waits are those of a single owner.
    """

    place: str
    level: Level
    aim_left: int
    time_left: int
    run_ms: float = 0.0
    backlog_ms: float | None = None
    one_owner: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRefusal:
    """Share of such requests that is shed, and when the caller may retry."""

    share: float
    retry_ms: int


@dataclasses.dataclass(slots=True)
class _Counts:
    """Exponentially decayed counts of one level, and the last news of it.

    ``room_ms`` is the expected wait as of ``room_at``.
    """

    at: int = 0
    shed: float = 0.0
    sent: float = 0.0
    refused: float = 0.0
    refused_at: int = -NEWS_MS
    room_ms: float = 0.0
    room_at: int = 0
    probed_at: int = -PROBE_MS

    def decay(self, now: int) -> None:
        """Let the counts decay until now."""
        factor = math.exp((self.at - now) / WINDOW_MS)
        self.shed *= factor
        self.sent *= factor
        self.refused *= factor
        self.at = now

    def shed_share(self, now: int) -> float:
        """Return the share to shed; it falls as the last refusal ages."""
        freshness = 1 - (now - self.refused_at) / NEWS_MS
        if freshness <= 0 or not self.refused:
            return 0.0
        self.decay(now)
        requests = self.shed + self.sent
        excess = requests - EXCESS * (self.sent - self.refused)
        return max(0.0, min(1.0, excess / (requests + 1)) * freshness)

    def expects_ms(self, now: int) -> float:
        """Return the expected wait; it drains since it was told."""
        return max(0.0, self.room_ms - (now - self.room_at))


class _Place:
    """What is known of one owner, or of the targets of one service."""

    def __init__(self) -> None:
        self.levels: dict[Level, _Counts] = {}
        # By priority, since each gets room at a rate of its own.
        self.schedules: dict[int, RetrySchedule] = {}

    def schedule(self, level: Level) -> RetrySchedule:
        """Return the schedule for the callers of a level."""
        found = self.schedules.get(level[0])
        if found is None:
            found = RetrySchedule()
            self.schedules[level[0]] = found
        return found


class EntryControl:
    """Sheds requests that their owners would refuse.

    Parameters
    ----------
    rng : Random
        Source of random choices.

    Notes
    -----
    The share to shed follows the client-side throttling of Beyer et al.
    (Site Reliability Engineering, 2016, ch. 21).  Levels are ordered as in
    DAGOR (Zhou et al., SoCC 2018): what is shed of one level is shed of all
    less urgent ones, too.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._places: OrderedDict[str, _Place] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of places that are known."""
        return len(self._places)

    def enter(self, arrival: Arrival, now: int) -> EntryRefusal | None:
        """Return a refusal if a request should not be relayed."""
        place = self._place(arrival.place)
        counts = self._counts(place, arrival.level)
        counts.decay(now)
        share = self._shed_share(place, arrival, counts, now)
        if not share or self._is_probe(counts, now):
            counts.sent += 1
            return None
        if self._rng.random() >= share:
            counts.sent += 1
            return None
        counts.shed += 1
        expected_ms = counts.expects_ms(now) + arrival.run_ms
        retry_ms = place.schedule(arrival.level).retry_ms(
            arrival.level[0],
            now,
            earliest_ms=expected_ms - arrival.aim_left * AIM_SHARE,
            left_ms=arrival.time_left,
            room_share=1.0,
        )
        return EntryRefusal(share, retry_ms)

    def record_answer(
        self, place: str, level: Level, now: int, room_ms: float
    ) -> None:
        """Record that a request was answered, and the wait now expected."""
        known = self._place(place)
        known.schedule(level).record_served(now)
        counts = self._counts(known, level)
        counts.room_ms = room_ms
        counts.room_at = now

    def record_refusal(
        self, place: str, level: Level, now: int, room_ms: float
    ) -> None:
        """Record that an owner refused a request for want of room."""
        counts = self._counts(self._place(place), level)
        counts.decay(now)
        counts.refused = min(counts.sent, counts.refused + 1)
        counts.refused_at = now
        counts.room_ms = room_ms
        counts.room_at = now

    def _shed_share(
        self, place: _Place, arrival: Arrival, counts: _Counts, now: int
    ) -> float:
        room_until = arrival.aim_left * ROOM_SHARE - arrival.run_ms
        if arrival.backlog_ms is not None and arrival.backlog_ms <= room_until:
            return 0.0
        expected = counts.expects_ms(now) + arrival.run_ms
        if arrival.one_owner and expected > arrival.aim_left:
            return 1.0
        if counts.refused and counts.room_ms <= room_until:
            return 0.0
        return max(
            known.shed_share(now)
            for level, known in place.levels.items()
            if level <= arrival.level
        )

    def _is_probe(self, counts: _Counts, now: int) -> bool:
        if now - counts.probed_at < PROBE_MS:
            return False
        counts.probed_at = now
        return True

    def _place(self, name: str) -> _Place:
        place = self._places.get(name)
        if place is None:
            place = _Place()
            self._places[name] = place
            if len(self._places) > MAX_PLACES:
                self._places.popitem(last=False)
        return place

    def _counts(self, place: _Place, level: Level) -> _Counts:
        counts = place.levels.get(level)
        if counts is None:
            counts = _Counts()
            place.levels[level] = counts
        return counts
