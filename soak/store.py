"""A stand-in of the object API with the faults of a real one."""

import asyncio
import enum
import random
from collections.abc import Callable
from http import HTTPStatus

from standins import ObjectApi

from savoryhold.wire import Exchange

__all__ = ['FaultyStore', 'StoreFault']

SLOW_S = 0.4
LATE_S = 1.5
LOST_SHARE = 0.5
READ = b'GET'


class StoreFault(enum.Enum):
    """Faults of the store.

    ``LOST`` applies a write and does not answer it; ``LATE`` applies it later,
    if its condition still holds; ``AMNESIA`` has no history to watch.
    """

    NONE = 'none'
    BUSY = 'busy'
    SILENT = 'silent'
    SLOW = 'slow'
    LOST = 'lost'
    LATE = 'late'
    AMNESIA = 'amnesia'


class _Unanswered(Exchange):
    """An exchange whose answer is lost."""

    def __init__(self, exchange: Exchange) -> None:
        super().__init__(exchange.conn, exchange.req)

    def reply(
        self,
        status: int,
        head: bytes = b'',
        body: bytes = b'',
        *,
        sized: bool = True,
    ) -> None:
        """Drop the answer."""


class FaultyStore(ObjectApi):
    """An `ObjectApi` with injected faults.

    Parameters
    ----------
    rng : random.Random
        Chooses the writes that a fault affects.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.fault = StoreFault.NONE
        self._rng = rng
        self._handlers: dict[StoreFault, Callable[[Exchange], None]] = {
            StoreFault.BUSY: self._refuse,
            StoreFault.SILENT: self._ignore,
            StoreFault.SLOW: self._delay,
            StoreFault.LOST: self._lose_answer,
            StoreFault.LATE: self._apply_later,
            StoreFault.AMNESIA: self._forget_history,
        }

    def _on_call(self, exchange: Exchange) -> None:
        handler = self._handlers.get(self.fault)
        if handler is None:
            self.serve(exchange)
        else:
            handler(exchange)

    def _refuse(self, exchange: Exchange) -> None:
        exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE)

    def _ignore(self, exchange: Exchange) -> None:
        """Leave the caller without an answer."""

    def _delay(self, exchange: Exchange) -> None:
        asyncio.get_running_loop().call_later(SLOW_S, self.serve, exchange)

    def _lose_answer(self, exchange: Exchange) -> None:
        if self._is_affected(exchange):
            self.serve(_Unanswered(exchange))
        else:
            self.serve(exchange)

    def _apply_later(self, exchange: Exchange) -> None:
        if self._is_affected(exchange):
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_S, self.serve, _Unanswered(exchange))
        else:
            self.serve(exchange)

    def _forget_history(self, exchange: Exchange) -> None:
        if b'watch=' in exchange.req.target:
            exchange.reply(HTTPStatus.GONE)
        else:
            self.serve(exchange)

    def _is_affected(self, exchange: Exchange) -> bool:
        is_read = exchange.req.method == READ
        return not is_read and self._rng.random() < LOST_SHARE
