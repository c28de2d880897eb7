"""One budget of the bytes in flight of a process.

Whoever holds bytes counts them here.  Above the budget, input stays unread:
its reader waits until others release memory, in the order in which requests
began.  Holders without progress are closed to make room, the largest first; of
the readers that have waited too long, the oldest are refused.
"""

import asyncio
import contextlib
import ctypes
import dataclasses
import enum
import math
import sys
from collections import Counter
from collections.abc import Callable
from operator import attrgetter
from typing import Protocol

__all__ = [
    'PROCESS_BUDGET',
    'Holder',
    'MemoryBudget',
    'Part',
    'SMALL_BODY',
    'Waiter',
]

BYTES_PER_MB = 1_000_000
SMALL_BODY = 65_536  # larger ones need room before they arrive
DEFAULT_MEMORY_MB = 256
BASE_MB = 50  # of a process without traffic, tables of a large fleet included
USABLE = 0.6  # of the rest; the allocator and buffers of reads take more
INPUT_SHARE = 0.6  # of the budget; answers, which release it, get the rest
LARGE_SHARE = 0.75  # of that; heads and small bodies get the rest
FEW = 0.125  # of a limit; with less in use, one request beyond it is admitted
TICK_S = 0.1
HANDOVER_S = 0.02  # until the receiver of an answer has counted it
M_MMAP_THRESHOLD = -3  # of malloc.h
MMAP_BYTES = 131_072
STALL_S = 1.0  # without progress for that long, a holder may be closed
MAX_WAIT_S = 2.0  # afterwards a reader that waits may be refused
MAX_EVICTED = 100  # in one turn of the loop
REFUSED_SHARE = 0.125  # in one tick, of the readers that wait for too long


class Part(enum.IntEnum):
    """What bytes in flight belong to; an index into `MemoryBudget.parts`."""

    REQUESTS = 0
    RELAYS = 1
    ANSWERS = 2
    UNREAD = 3


_INPUT = frozenset({Part.REQUESTS, Part.RELAYS})


class Holder(Protocol):
    """A connection that holds bytes which its other end can release."""

    def stalled_bytes(self, now: float) -> int:
        """Return the bytes held without progress, 0 if there are none."""

    def evict(self) -> None:
        """Close the connection, and release its bytes."""


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A reader whose input stays unread until there is room.

    ``held`` is what it holds already, ``need`` what it waits for, ``since``
    the time in seconds since when it waits, ``begun`` that at which its
    request began.
    """

    part: Part
    need: int
    held: int
    since: float
    grant: Callable[[], None]
    refuse: Callable[[], None]
    begun: float = 0.0


class MemoryBudget:
    """Counts the bytes in flight of a process and bounds them."""

    def __init__(self) -> None:
        # Without `set_memory`, as in tools and stand-ins, there is no bound.
        self.limit = sys.maxsize
        self.used = 0
        self.parts = [0 for _ in Part]
        # Refusals and closes, by the name of the limit.
        self.refusals: Counter[str] = Counter()
        self.holders: set[Holder] = set()
        # In the order of their arrival.
        self._waiters: dict[Waiter, None] = {}
        self._timer: asyncio.TimerHandle | None = None
        # When to look for what can be closed or refused, in s.
        self._next_tick = 0.0

    @property
    def waiting(self) -> int:
        """Return how many readers wait."""
        return len(self._waiters)

    @property
    def _input(self) -> int:
        """Return the bytes of requests, those of relayed ones included."""
        return self.parts[Part.REQUESTS] + self.parts[Part.RELAYS]

    def set_memory(self, memory_mb: int) -> None:
        """Derive the budget from the memory of the process, 0 if unknown."""
        _return_freed_memory()
        spare = max(BASE_MB // 2, (memory_mb or DEFAULT_MEMORY_MB) - BASE_MB)
        self.limit = round(spare * USABLE * BYTES_PER_MB)

    def take(self, part: Part, count: int) -> None:
        """Count bytes that are held already."""
        self.used += count
        self.parts[part] += count

    def give(self, part: Part, count: int) -> None:
        """Count bytes no longer, as they have been released."""
        self.used -= count
        self.parts[part] -= count
        if self._waiters and self._timer is None:
            self._schedule(0)

    def give_later(self, part: Part, count: int) -> None:
        """Count bytes no longer, once their receiver counts them."""
        loop = asyncio.get_running_loop()
        loop.call_later(HANDOVER_S, self.give, part, count)

    def fits(self, part: Part, count: int, own: int = 0) -> bool:
        """Return whether there is room for more bytes of a part.

        Parameters
        ----------
        part : Part
            What the bytes belong to.
        count : int
            Further bytes.
        own : int
            Bytes that the same request or answer holds already.
        """
        limit, used = self.limit, self.used
        if part in _INPUT:
            limit = round(limit * INPUT_SHARE)
            used = self._input
            if part is Part.REQUESTS and count > SMALL_BODY:
                limit = round(limit * LARGE_SHARE)
        if self.used + count <= self.limit and used + count <= limit:
            return True
        # One that is large is served alone.
        others = self.used - own
        return others < self.limit * FEW and own + count <= self.largest()

    def largest(self) -> int:
        """Return the size of the largest request or answer that is served."""
        return round(self.limit / USABLE)

    def reserve(self, part: Part, count: int, own: int = 0) -> bool:
        """Take bytes if there is room; return whether there was."""
        ahead = part is Part.REQUESTS and any(
            waiter.part is part for waiter in self._waiters
        )
        if ahead or not self.fits(part, count, own):
            return False
        self.take(part, count)
        return True

    def wait(self, waiter: Waiter) -> None:
        """Call `grant`, once its bytes have been taken, or `refuse` later."""
        self._waiters[waiter] = None
        if self._timer is None:
            self._schedule(0)

    def forget(self, waiter: Waiter) -> None:
        """Drop a waiter whose connection has ended."""
        self._waiters.pop(waiter, None)

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._relieve)

    def _relieve(self) -> None:
        """Grant what fits; close and refuse others to make room."""
        self._timer = None
        self._grant_fitting()
        if not self._waiters:
            return
        now = asyncio.get_running_loop().time()
        if now >= self._next_tick:
            self._next_tick = now + TICK_S
            self._evict_stalled(now)
            self._grant_fitting()
            self._refuse_late(now)
        if self._waiters and self._timer is None:
            self._schedule(TICK_S)

    def _grant_fitting(self) -> None:
        """Grant waiters in their order, each part up to one without room."""
        has_room = dict.fromkeys(Part, True)
        for waiter in sorted(self._waiters, key=_order):
            # What is granted may change the other waiters.
            if waiter not in self._waiters or not has_room[waiter.part]:
                continue
            if self.fits(waiter.part, waiter.need, waiter.held):
                self._waiters.pop(waiter)
                self.take(waiter.part, waiter.need)
                waiter.grant()
            else:
                has_room[waiter.part] = False

    def _evict_stalled(self, now: float) -> None:
        """Close holders without progress, until what is needed is released."""
        sizes = [(one.stalled_bytes(now), one) for one in self.holders]
        stalled = sorted((entry for entry in sizes if entry[0]), key=_size)
        needed = sum(waiter.need for waiter in self._waiters)
        # Readers without a need wait until the budget is no longer exceeded.
        needed += max(0, self._input - round(self.limit * INPUT_SHARE))
        for size, holder in reversed(stalled[-MAX_EVICTED:]):
            if needed <= 0:
                break
            self.refusals['memory_mb:closed'] += 1
            needed -= size
            holder.evict()

    def _refuse_late(self, now: float) -> None:
        late = [one for one in self._waiters if now - one.since > MAX_WAIT_S]
        late.sort(key=attrgetter('begun'))
        for waiter in late[: math.ceil(len(late) * REFUSED_SHARE)]:
            self._waiters.pop(waiter)
            self.refusals['memory_mb:refused'] += 1
            waiter.refuse()


def _return_freed_memory() -> None:
    """Have the allocator return large blocks to the kernel when freed.

    By default, glibc raises the threshold with each large block that is
    freed, up to 32 MB, and smaller ones then fragment its heap.
    """
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MMAP_BYTES)


def _order(waiter: Waiter) -> tuple[bool, bool, float]:
    return waiter.part in _INPUT, waiter.need > SMALL_BODY, waiter.begun


def _size(entry: tuple[int, Holder]) -> int:
    return entry[0]


# The budget of all servers, pools and links of this process.
PROCESS_BUDGET = MemoryBudget()
