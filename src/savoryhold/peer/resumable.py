"""Dispatch of received messages that belong to resumable calls."""

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from savoryhold.peer import messages
from savoryhold.peer.endpoint import Endpoint
from savoryhold.peer.served_calls import Arrival, CallKey, ServedCall

if TYPE_CHECKING:
    from savoryhold.peer.link import Link

__all__ = ['ResumableCalls']


class ResumableCalls:
    """Starts, resumes and cancels calls of the peer's process on one link.

    Parameters
    ----------
    link : Link
        Link on which the messages arrive.
    endpoint : Endpoint
        State that the links of this process share.
    """

    def __init__(self, link: 'Link', endpoint: Endpoint) -> None:
        self._link = link
        self._endpoint = endpoint
        self._on_arrival = {
            Arrival.BEGIN: self._begin,
            Arrival.FOLLOW_UP: self._follow_up,
            Arrival.RESUMED: self._resume,
            Arrival.ENDED: self._send_ended,
        }
        self._on_cancel = {
            Arrival.BEGIN: self._refuse,
            Arrival.FOLLOW_UP: self._cancel,
            Arrival.RESUMED: self._cancel,
            Arrival.ENDED: self._send_ended,
        }

    def take_over(self) -> None:
        """Retire the older links of the peer's process.

        From now on, its calls begin on this link only.
        """
        newest_links = self._endpoint.newest_links
        other = newest_links.get(self._link.process, self._link)
        if other.order > self._link.order:
            # The message was delayed: a newer link has taken over already.
            self._link.retired = True
            return
        newest_links[self._link.process] = self._link
        if other is not self._link:
            # Both links connect the same two clocks.
            self._link.transit = other.transit
            other.retired = True
            self._endpoint.on_orphaned(other)

    def dispatch(self, number: int, message: messages.Message) -> None:
        """Dispatch a message of a resumable call."""
        key = CallKey(self._link.process, number)
        served = self._endpoint.served
        arrival = served.classify(
            key, self._link, self._link.order, retired=self._link.retired
        )
        is_cancel = isinstance(message, messages.Cancel)
        table = self._on_cancel if is_cancel else self._on_arrival
        handle = table.get(arrival)
        if handle is not None:
            handle(key, message)

    def refuse(self, number: int, refusal: messages.Message) -> None:
        """Refuse a call whose first message was dropped, unless it is known."""
        key = CallKey(self._link.process, number)
        served = self._endpoint.served
        arrival = served.classify(
            key, self._link, self._link.order, retired=self._link.retired
        )
        if arrival is Arrival.BEGIN:
            call = ServedCall(self._link, number, self._link.order)
            served.begin(key, call, _now())
            call.send(refusal)
            served.end(key, _now())
        elif arrival is Arrival.RESUMED:
            self._resume(key, refusal)
        elif arrival is Arrival.ENDED:
            self._send_ended(key, refusal)

    def _get_call(self, key: CallKey) -> ServedCall:
        call = self._endpoint.served.get(key)
        assert call is not None
        return call

    def _begin(self, key: CallKey, message: messages.Message) -> None:
        call = ServedCall(self._link, key.number, self._link.order)
        self._endpoint.served.begin(key, call, _now())
        call.task = asyncio.create_task(self._endpoint.serve(call, message))
        call.task.add_done_callback(partial(self._on_ended, key))

    def _on_ended(self, key: CallKey, task: 'asyncio.Task[None]') -> None:
        self._endpoint.served.end(key, _now())

    def _follow_up(self, key: CallKey, message: messages.Message) -> None:
        self._get_call(key).deliver(message)

    def _resume(self, key: CallKey, message: messages.Message) -> None:
        self._get_call(key).move_to(self._link, self._link.order)

    def _send_ended(self, key: CallKey, message: messages.Message) -> None:
        ended = messages.CallEnded()
        self._link.send(ended, key.number, is_reply=True, resumable=True)

    def _cancel(self, key: CallKey, message: messages.Message) -> None:
        self._get_call(key).cancel()
        self._send_ended(key, message)

    def _refuse(self, key: CallKey, message: messages.Message) -> None:
        # The call itself is delayed on an older link, or was lost there.  A
        # tombstone keeps it from starting if it arrives after all.
        refused = ServedCall(self._link, key.number, self._link.order)
        self._endpoint.served.refuse(key, refused, _now())
        self._send_ended(key, message)


def _now() -> float:
    return asyncio.get_running_loop().time()
