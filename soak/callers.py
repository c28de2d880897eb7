"""Callers that reuse connections and record the end of each request."""

import asyncio
import itertools
import random
from collections.abc import Callable

from names import HEADERS

from savoryhold.core.clock import BootClock
from savoryhold.core.errors import LinkError
from savoryhold.ranges import KEY_COUNT
from savoryhold.wire import ClientPool
from soak.events import Sent
from soak.hosts import Host

__all__ = ['KEY_COUNT', 'Caller', 'RequestTemplate']

ANSWER_MS = 4000
DEADLINE_MS = 2000
PAUSE_S = (0.005, 0.09)
HOT_KEYS = 40
HOT_SHARE = 0.3
_CALLER_NUMBERS = itertools.count(1)  # keeps ids of requests unique


class RequestTemplate:
    """Template of the requests that a caller sends.

    Parameters
    ----------
    host : str
        Virtual host.
    path : str
        Path of the route.
    keyed : bool
        Whether requests carry a key.
    once : bool
        Whether a request may run only once (non-idempotent).
    """

    def __init__(
        self, host: str, path: str, *, keyed: bool, once: bool
    ) -> None:
        self.host = host
        self.path = path
        self.keyed = keyed
        self.once = once

    def request_bytes(self, request: str, key: int | None) -> bytes:
        """Return the encoded request."""
        method = 'POST' if self.once else 'GET'
        lines = [
            f'{method} {self.path} HTTP/1.1',
            f'Host: {self.host}',
            f'{HEADERS.request_id.decode()}: {request}',
            f'{HEADERS.deadline.decode()}: {DEADLINE_MS}',
        ]
        if key is not None:
            lines.append(f'{HEADERS.key.decode()}: {key}')
        if self.once:
            lines.append('Content-Length: 0')
        return '\r\n'.join([*lines, '', '']).encode()


class Caller:
    """A caller of one host.

    Parameters
    ----------
    host : Host
        Host whose node is called.
    templates : list of RequestTemplate
        Requests to choose from, with equal probability.
    rng : random.Random
        Chooses requests, keys and pauses.
    on_request : callable
        Called with each request before it is sent.
    """

    def __init__(
        self,
        host: Host,
        templates: list[RequestTemplate],
        rng: random.Random,
        on_request: Callable[[Sent], None],
    ) -> None:
        self._host = host
        self._templates = templates
        self._rng = rng
        self._on_request = on_request
        self._now = BootClock().now
        self._pool = ClientPool(host.callers, self._now)
        self._caller_number = next(_CALLER_NUMBERS)
        self._number = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            await self.send(self._rng.choice(self._templates), self._key())

    async def send(self, template: RequestTemplate, key: int) -> Sent:
        """Send one request, and wait for its answer or failure."""
        self._number += 1
        sent = Sent(
            f'{self._host.plan.name}-{self._caller_number}-{self._number}',
            template.path,
            key if template.keyed else None,
            template.once,
            self._now(),
        )
        self._on_request(sent)
        encoded = template.request_bytes(sent.request, sent.key)
        try:
            answer = await self._pool.ask(encoded, ANSWER_MS)
        except (LinkError, TimeoutError):
            # Without an answer, the request may have run.
            sent.ended_at = self._now()
            return sent
        sent.status = answer.status
        sent.whole = answer.body == sent.request.encode()
        sent.ended_at = self._now()
        return sent

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    def _key(self) -> int:
        if self._rng.random() < HOT_SHARE:
            return self._rng.randrange(HOT_KEYS)
        return self._rng.randrange(KEY_COUNT)
