"""Calls of other processes that may go on over another connection.

A call is known by the process that began it and by its number there, not by
the connection that brought it.  When that connection breaks or is replaced,
the beginner sends the call again on its next one: a call that is known goes
on there, one that never arrived begins.  Connections that a newer one has
replaced begin no call, so that late bytes on them run nothing twice.
"""

import dataclasses
import enum
from collections import OrderedDict, deque
from typing import NewType

from savoryhold.core.errors import LinkError
from savoryhold.peer import messages
from savoryhold.peer.stream import Carrier, LinkStream

__all__ = ['Arrival', 'CallKey', 'ProcessId', 'ServedCall', 'ServedCalls']

KEPT_S = 5.0  # callers wait about as long, and beginners ask again far sooner
MAX_KEPT_BYTES = 4_000_000  # of all answers kept
MAX_PROCESSES = 4096  # several times a fleet; the one not heard longest goes

ProcessId = NewType('ProcessId', str)


@dataclasses.dataclass(frozen=True, slots=True)
class CallKey:
    """A call among all calls of all processes."""

    process: ProcessId
    number: int


class Arrival(enum.Enum):
    """What a message of a call means where it arrives."""

    BEGIN = enum.auto()
    FOLLOW_UP = enum.auto()
    RESUMED = enum.auto()  # its beginner has moved the call to this link
    LATE = enum.auto()  # held up on a link that was replaced
    ENDED = enum.auto()  # of a call that has ended and is forgotten


class ServedCall(LinkStream):
    """The served end of a call; keeps its answers until they are received.

    Parameters
    ----------
    link : Carrier
        Link that carries the call now.
    number : int
        Number of the call.
    order : int
        Rank of that link among the links of the beginner's process.
    """

    def __init__(self, link: Carrier, number: int, order: int) -> None:
        super().__init__(link, number, ours=False)
        self.lasting = True
        self.order = order
        self.over = False
        self.dropped = False
        self.kept: list[messages.Message] = []

    @property
    def answered(self) -> bool:
        """Return whether some of the answer was sent."""
        return bool(self.kept) or self.dropped

    def send(self, message: messages.Message) -> None:
        """Send a message of the answer, or keep it for the next link."""
        if not self.dropped:
            self.kept.append(message)
        try:
            self._write(message)
        except LinkError:
            if self.dropped:
                raise
            # The beginner asks for it on its next link.
            return

    def move_to(self, link: Carrier, order: int) -> None:
        """Go on over a newer link."""
        self.link = link
        self.order = order
        if self.dropped or (self.over and not self.kept):
            self._write(messages.CallEnded())
            return
        for message in self.kept:
            self._write(message)

    def deliver(self, message: messages.Message | None) -> None:
        """Take in a message; it shows that the answer has arrived."""
        self.drop()
        super().deliver(message)

    def drop(self) -> None:
        """Keep no answer."""
        self.kept.clear()
        self.dropped = True

    def cancel(self) -> None:
        """Stop serving the call: nobody waits for it."""
        self.drop()
        self.over = True
        super().cancel()

    def close(self) -> None:
        """Keep what was answered; `ServedCalls` forgets the call."""

    def kept_bytes(self) -> int:
        """Return about how many bytes of answers are kept."""
        return sum(len(getattr(kept, 'body', b'') or b'') for kept in self.kept)


class ServedCalls:
    """The calls that other processes have begun here."""

    def __init__(self) -> None:
        self._calls: dict[CallKey, ServedCall] = {}
        self._ended: deque[tuple[float, CallKey, int]] = deque()
        self._kept_bytes = 0
        # Calls up to this number that are not known have ended.
        self._floors: OrderedDict[ProcessId, int] = OrderedDict()

    def __len__(self) -> int:
        """Return how many calls are known."""
        return len(self._calls)

    def arrival(
        self, key: CallKey, link: Carrier, order: int, *, retired: bool
    ) -> Arrival:
        """Return what a message means.

        Parameters
        ----------
        key : CallKey
            Its call.
        link : Carrier
            Link that brought it.
        order : int
            Rank of that link among the links of the process.
        retired : bool
            Whether a newer link has taken its place.
        """
        call = self._calls.get(key)
        if call is None:
            if key.number <= self._floors.get(key.process, 0):
                return Arrival.LATE if retired else Arrival.ENDED
            return Arrival.LATE if retired else Arrival.BEGIN
        if call.link is link:
            return Arrival.FOLLOW_UP
        return Arrival.RESUMED if order > call.order else Arrival.LATE

    def get(self, key: CallKey) -> ServedCall | None:
        """Return a call that is known."""
        return self._calls.get(key)

    def begin(self, key: CallKey, call: ServedCall, now: float) -> None:
        """Note a new call; `now` is in seconds of a steady clock."""
        self._purge(now)
        self._calls[key] = call

    def refuse(self, key: CallKey, call: ServedCall, now: float) -> None:
        """Note a call that was cancelled before it arrived."""
        call.cancel()
        self.begin(key, call, now)
        self.end(key, now)

    def end(self, key: CallKey, now: float) -> None:
        """Note that a call has been served."""
        call = self._calls.get(key)
        if call is None:
            return
        call.over = True
        size = call.kept_bytes()
        self._kept_bytes += size
        self._ended.append((now, key, size))
        while self._kept_bytes > MAX_KEPT_BYTES and self._ended:
            self._forget_oldest()

    def on_link(self, link: Carrier) -> list[ServedCall]:
        """Return the calls of a link that are still being served."""
        return [
            call
            for call in self._calls.values()
            if call.link is link and not call.over
        ]

    def _purge(self, now: float) -> None:
        while self._ended and self._ended[0][0] < now - KEPT_S:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        _, key, size = self._ended.popleft()
        self._calls.pop(key)
        self._kept_bytes -= size
        floor = max(key.number, self._floors.pop(key.process, 0))
        self._floors[key.process] = floor
        if len(self._floors) > MAX_PROCESSES:
            self._floors.popitem(last=False)
