"""HTTP calls to the local target, each with a verdict on whether it ran."""

import asyncio
import contextvars
import dataclasses
import weakref
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
from yarl import URL

from savoryhold.core.errors import (
    NotOwnerError,
    OverloadError,
    UncertainError,
)
from savoryhold.core.routed_request import RoutedAnswer, RoutedRequest
from savoryhold.http import disable_retries
from savoryhold.receive_buffer import has_unread_input

__all__ = ['TargetClient', 'TargetGoneError']

MS_PER_SECOND = 1000
CONNECT_LIMIT_MS = 300
CHUNK_BYTES = 65536
PROBE_LIMIT_MS = 200
VERDICT_HEADER = 'X-Savoryhold-Verdict'
_NOT_FORWARDED = frozenset(
    {
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'server',
        'date',
    }
)

MaySend = Callable[[], bool]


@dataclasses.dataclass(slots=True)
class _OutgoingCall:
    """A call; `protocol` is set right before its first byte is written."""

    may_send: MaySend
    protocol: Any = None

    @property
    def connected(self) -> bool:
        """Return whether the request may have been written."""
        return self.protocol is not None


_OUTGOING_CALL: contextvars.ContextVar[_OutgoingCall] = (
    contextvars.ContextVar('sending')
)


class _GuardedConnector(aiohttp.TCPConnector):
    """Checks, once connected, whether the request may still be sent."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit=limit)
        # Protocols of the connections that have carried a request before.
        self._used: weakref.WeakSet[Any] = weakref.WeakSet()

    async def connect(
        self, req: Any, traces: Any, timeout: aiohttp.ClientTimeout
    ) -> Any:
        """Return a connection for a request that may be sent now.

        Raises
        ------
        NotOwnerError
            If the request may not be sent any more; the connection is kept.
        """
        conn = await super().connect(req, traces, timeout)
        while self._has_unread_input(conn):
            conn.close()
            conn = await super().connect(req, traces, timeout)
        self._used.add(conn.protocol)
        outgoing = _OUTGOING_CALL.get(None)
        if outgoing is None:
            return conn
        if not outgoing.may_send():
            conn.release()
            raise NotOwnerError(
                'lease or shard was lost before the request was sent'
            )
        outgoing.protocol = conn.protocol
        return conn

    def _has_unread_input(self, conn: Any) -> bool:
        """Return whether a kept connection has unread bytes or a close."""
        transport = conn.transport
        if transport is None or conn.protocol not in self._used:
            return False
        return has_unread_input(transport)


class TargetGoneError(NotOwnerError):
    """The target refused the connection, so nothing was sent."""

    code = 'target-gone'


class TargetClient:
    """Sends admitted requests to the target.

    Parameters
    ----------
    connections : int
        Number of connections that the target accepts at most.
    """

    def __init__(self, connections: int) -> None:
        self._session = disable_retries(
            aiohttp.ClientSession(
                connector=_GuardedConnector(connections),
                auto_decompress=False,
            )
        )

    async def call(
        self,
        address: str,
        req: RoutedRequest,
        extra: dict[str, str],
        may_send: MaySend,
    ) -> RoutedAnswer:
        """Send a request and return the head and first part of the answer.

        Parameters
        ----------
        address : str
            The target's ``ip:port``.
        req : RoutedRequest
            The request to send.
        extra : dict of str to str
            Headers for the target: request id, fencing token and deadline.
        may_send : callable
            Called right before the first byte is written.

        Raises
        ------
        TargetGoneError
            If the connection was refused.
        NotOwnerError
            If `may_send` returned False, or connecting failed otherwise.
        OverloadError
            If the target states that it did not run the request.
        UncertainError
            If the request was sent and no complete answer was received.
        """
        outgoing = _OutgoingCall(may_send)
        token = _OUTGOING_CALL.set(outgoing)
        headers = {name: text for name, text in req.headers}
        headers.update(extra)
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_LIMIT_MS / MS_PER_SECOND
        )
        try:
            answer = await self._session.request(
                req.method,
                URL(f'http://{address}{req.path}', encoded=True),
                data=req.body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
                skip_auto_headers=('User-Agent', 'Content-Type'),
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            if outgoing.connected:
                raise UncertainError(
                    f'target broke off the call: {exc!r}'
                ) from exc
            text = f'target {address}: {exc!r}'
            if _is_connection_refused(exc):
                raise TargetGoneError(text) from exc
            # A timeout may be due to a busy host: the target may be alive.
            raise NotOwnerError(text) from exc
        finally:
            _OUTGOING_CALL.reset(token)
        try:
            return await _read_start(answer)
        except OverloadError:
            # A faulty target may send its refusal once more, and answers have
            # no id that tells it from the answer to the next request.
            outgoing.protocol.close()
            raise

    async def cancel(self, address: str, request: str) -> None:
        """Tell the target that nobody waits for the answer to a request."""
        url = f'http://{address}/.savoryhold/requests/{request}'
        try:
            async with self._session.delete(url, timeout=_cancel_timeout()):
                return
        except (aiohttp.ClientError, OSError, TimeoutError):
            # Cancellation is only a hint, with no effect on the verdict.
            return

    async def refuses_connections(self, address: str) -> bool:
        """Return whether the target refuses new connections."""
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(PROBE_LIMIT_MS / MS_PER_SECOND):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False

    async def close(self) -> None:
        """Close the HTTP session and its connections."""
        await self._session.close()


def _is_connection_refused(exc: Exception) -> bool:
    return isinstance(exc, aiohttp.ClientConnectorError) and isinstance(
        exc.os_error, ConnectionRefusedError
    )


def _cancel_timeout() -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=PROBE_LIMIT_MS / MS_PER_SECOND)


async def _read_start(answer: aiohttp.ClientResponse) -> RoutedAnswer:
    try:
        start = await answer.content.read(CHUNK_BYTES)
        whole = answer.content.at_eof()
        while not whole and len(start) < CHUNK_BYTES:
            more = await answer.content.read(CHUNK_BYTES)
            start += more
            whole = answer.content.at_eof()
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        answer.close()
        raise UncertainError(f'answer broke off: {exc!r}') from exc
    if answer.headers.get(VERDICT_HEADER) == 'not-run':
        answer.release()
        raise OverloadError(f'target refused with status {answer.status}')
    headers = tuple(
        (name, text)
        for name, text in answer.headers.items()
        if name.lower() not in _NOT_FORWARDED
    )
    rest = None if whole else _read_rest(answer)
    if whole:
        answer.release()
    return RoutedAnswer(answer.status, headers, start, rest)


async def _read_rest(answer: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    try:
        async for chunk in answer.content.iter_chunked(CHUNK_BYTES):
            yield chunk
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        raise UncertainError(f'answer broke off: {exc!r}') from exc
    finally:
        answer.close()
