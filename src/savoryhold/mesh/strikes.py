"""Strikes and acquittals, exchanged between nodes."""

import asyncio
import random
from collections.abc import Callable

from savoryhold.core.ids import NodeId
from savoryhold.core.poison import Fingerprint, Strike
from savoryhold.mesh.node_context import NodeContext
from savoryhold.peer import messages

__all__ = ['StrikeTask']

MS_PER_SECOND = 1000
REPEAT_MS = 500
MAX_REPEATED = 8  # quarantined requests that are told again at a time


class StrikeTask:
    """Tells the other nodes of strikes and acquittals.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.
    send : callable
        Sends a one-way message to an address.
    send_all : callable
        Sends a one-way message to all members.

    Notes
    -----
    A notice is sent once to all nodes, and may get lost.  While any request is
    quarantined, each node also repeats its strikes to one other node at a time,
    so that those that have started since, or were cut off, learn of them.
    """

    def __init__(
        self,
        context: NodeContext,
        send: Callable[[str, messages.Message], None],
        send_all: Callable[[messages.Message], None],
    ) -> None:
        self._members = context.members
        self._owner = context.owner
        self._clock = context.clock
        self._send = send
        self._send_all = send_all
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Repeat the strikes of quarantined requests until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            while self.repeat():
                pause_ms = REPEAT_MS * (0.5 + random.random())
                await asyncio.sleep(pause_ms / MS_PER_SECOND)

    def wake(self) -> None:
        """Begin to repeat strikes, if there are any."""
        self._changed.set()

    def repeat(self) -> bool:
        """Tell one node of the quarantined requests.

        Returns
        -------
        bool
            Whether any request is quarantined.
        """
        now = self._clock.now()
        quarantined = list(self._owner.target.poison.quarantined(now).values())
        addresses = self._peer_addresses(now)
        if quarantined and addresses:
            address = random.choice(addresses)
            count = min(MAX_REPEATED, len(quarantined))
            for strikes in random.sample(quarantined, count):
                for strike in strikes:
                    self._send(address, _notice(strike, repeated=True))
        return bool(quarantined)

    def broadcast(self, strike: Strike) -> None:
        """Report to all members that a request crashed a target."""
        self._send_all(_notice(strike))

    def broadcast_acquittal(self, fingerprint: Fingerprint) -> None:
        """Report to all members that a suspect request has completed."""
        self._send_all(_acquittal(fingerprint))

    def receive(self, sender: NodeId, notice: messages.Message) -> None:
        """Process a strike or an acquittal."""
        poison, now = self._owner.target.poison, self._clock.now()
        fingerprint = Fingerprint(notice.fingerprint)
        if notice.acquitted:
            poison.record_completion(fingerprint, now)
            return
        strike = Strike(
            fingerprint, notice.incident, max(0, notice.age_ms or 0)
        )
        poison.strike(strike, now)
        address = self._members.addresses.get(sender)
        if notice.repeated and address and poison.is_void(strike, now):
            # The sender has missed the acquittal.
            self._send(address, _acquittal(fingerprint))

    def _peer_addresses(self, now: int) -> list[str]:
        """Return where live nodes are told; zones tell their own nodes."""
        if self._members.by_zone:
            nodes = self._members.live_zone_peers(now)
        else:
            live = self._members.live_members(now)
            nodes = [member.status.node for member in live]
        return [self._members.addresses[node] for node in nodes]


def _notice(strike: Strike, *, repeated: bool = False) -> messages.Message:
    return messages.StrikeNotice(
        fingerprint=strike.fingerprint,
        incident=strike.incident,
        age_ms=strike.ago_ms,
        repeated=repeated,
    )


def _acquittal(fingerprint: Fingerprint) -> messages.Message:
    return messages.StrikeNotice(fingerprint=fingerprint, acquitted=True)
