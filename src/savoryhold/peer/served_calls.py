"""The serving end of resumable calls, which may change their connection.

A call is identified by its initiator's process and a number, not by the
connection on which it arrived.  When that connection breaks or is replaced,
the initiator sends the call again on its next one.  A known call is resumed
there; one that never arrived begins.  A connection that a newer one has
replaced begins no calls, so that bytes delayed on it run nothing twice.
"""

import dataclasses
import enum
from collections import OrderedDict, deque
from typing import NewType

from savoryhold.core.errors import LinkError
from savoryhold.peer import messages
from savoryhold.peer.stream import Carrier, LinkStream

__all__ = ['Arrival', 'CallKey', 'ProcessId', 'ServedCall', 'ServedCalls']

KEPT_S = 5.0  # about as long as callers wait; initiators resume far sooner
MAX_KEPT_BYTES = 4_000_000  # of all kept answers together
MAX_PROCESSES = 4096  # several times a fleet; the oldest floor is evicted

ProcessId = NewType('ProcessId', str)


@dataclasses.dataclass(frozen=True, slots=True)
class CallKey:
    """Identifies a call among those of all processes."""

    process: ProcessId
    number: int


class Arrival(enum.Enum):
    """How a message relates to the call that it names."""

    BEGIN = enum.auto()  # opens a call that is not known yet
    FOLLOW_UP = enum.auto()  # of a known call, on the link that carries it
    RESUMED = enum.auto()  # the initiator continues the call on this link
    STALE = enum.auto()  # delayed on a link that has been replaced
    ENDED = enum.auto()  # its call has ended and is no longer kept


class ServedCall(LinkStream):
    """The serving end of a call; keeps answers until they are received.

    Parameters
    ----------
    link : Carrier
        Link that currently carries the call.
    number : int
        Number of the call.
    order : int
        Sequence number of that link; newer links have higher ones.
    """

    def __init__(self, link: Carrier, number: int, order: int) -> None:
        super().__init__(link, number, is_initiator=False)
        self.resumable = True
        self.order = order
        self.has_ended = False
        self.answers_dropped = False
        self.kept_answers: list[messages.Message] = []

    @property
    def answered(self) -> bool:
        """Return whether a part of the answer has been sent."""
        return bool(self.kept_answers) or self.answers_dropped

    def send(self, message: messages.Message) -> None:
        """Send a part of the answer, and keep it for a next link."""
        if not self.answers_dropped:
            self.kept_answers.append(message)
        try:
            self._write(message)
        except LinkError:
            if self.answers_dropped:
                raise
            # The initiator will resume the call on its next link.
            return

    def move_to(self, link: Carrier, order: int) -> None:
        """Resume on a newer link: send all kept answers again."""
        self.link = link
        self.order = order
        if self.answers_dropped or (self.has_ended and not self.kept_answers):
            self._write(messages.CallEnded())
            return
        for message in self.kept_answers:
            self._write(message)

    def deliver(self, message: messages.Message | None) -> None:
        """Queue a message; it proves that the answers sent have arrived."""
        self.drop_answers()
        super().deliver(message)

    def drop_answers(self) -> None:
        """Discard the kept answers, and keep no further ones."""
        self.kept_answers.clear()
        self.answers_dropped = True

    def cancel(self) -> None:
        """Stop serving the call, as nobody waits for its answer."""
        self.drop_answers()
        self.has_ended = True
        super().cancel()

    def close(self) -> None:
        """Do nothing: `ServedCalls` keeps the answers and drops the call."""

    def kept_bytes(self) -> int:
        """Return the approximate size of the kept answers."""
        return sum(
            len(getattr(kept, 'body', b'') or b'') for kept in self.kept_answers
        )


class ServedCalls:
    """The resumable calls that other processes have opened here."""

    def __init__(self) -> None:
        self._calls: dict[CallKey, ServedCall] = {}
        self._ended: deque[tuple[float, CallKey, int]] = deque()
        self._kept_bytes = 0
        # Unknown calls of a process up to this number have ended; the least
        # recently updated process comes first.
        self._floors: OrderedDict[ProcessId, int] = OrderedDict()

    def __len__(self) -> int:
        """Return how many calls are known."""
        return len(self._calls)

    def classify(
        self, key: CallKey, link: Carrier, order: int, *, retired: bool
    ) -> Arrival:
        """Return how a message relates to the calls that are known.

        Parameters
        ----------
        key : CallKey
            The call of the message.
        link : Carrier
            Link on which the message arrived.
        order : int
            Sequence number of that link.
        retired : bool
            Whether a newer link has replaced it.
        """
        call = self._calls.get(key)
        if call is None:
            if key.number <= self._floors.get(key.process, 0):
                return Arrival.STALE if retired else Arrival.ENDED
            return Arrival.STALE if retired else Arrival.BEGIN
        if call.link is link:
            return Arrival.FOLLOW_UP
        return Arrival.RESUMED if order > call.order else Arrival.STALE

    def get(self, key: CallKey) -> ServedCall | None:
        """Return a known call, None if there is none."""
        return self._calls.get(key)

    def begin(self, key: CallKey, call: ServedCall, now: float) -> None:
        """Add a new call; `now` is monotonic time in seconds."""
        self._purge(now)
        self._calls[key] = call

    def refuse(self, key: CallKey, call: ServedCall, now: float) -> None:
        """Add a tombstone for a call that was cancelled before it arrived."""
        call.cancel()
        self.begin(key, call, now)
        self.end(key, now)

    def end(self, key: CallKey, now: float) -> None:
        """Record that a call has been served; keep its answers for a time."""
        call = self._calls.get(key)
        if call is None:
            return
        call.has_ended = True
        size = call.kept_bytes()
        self._kept_bytes += size
        self._ended.append((now, key, size))
        while self._kept_bytes > MAX_KEPT_BYTES and self._ended:
            self._drop_oldest()

    def active_on(self, link: Carrier) -> list[ServedCall]:
        """Return the calls on a link that are still being served."""
        return [
            call
            for call in self._calls.values()
            if call.link is link and not call.has_ended
        ]

    def _purge(self, now: float) -> None:
        while self._ended and self._ended[0][0] < now - KEPT_S:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, key, size = self._ended.popleft()
        self._calls.pop(key)
        self._kept_bytes -= size
        floor = max(key.number, self._floors.pop(key.process, 0))
        self._floors[key.process] = floor
        if len(self._floors) > MAX_PROCESSES:
            self._floors.popitem(last=False)
