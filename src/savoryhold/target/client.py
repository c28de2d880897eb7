"""HTTP calls to the local target, with an honest verdict for each."""

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
from savoryhold.http import send_once
from savoryhold.unread import has_unread

__all__ = ['TargetClient', 'TargetGoneError']

MS_PER_SECOND = 1000
CONNECT_LIMIT_MS = 300
CHUNK_BYTES = 65536
PROBE_LIMIT_MS = 200
VERDICT_HEADER = 'X-Savoryhold-Verdict'
_HOP_HEADERS = frozenset(
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
class _Sending:
    """A call on its way; `connected` is set right before its bytes go."""

    may_send: MaySend
    connected: bool = False


_SENDING: contextvars.ContextVar[_Sending] = contextvars.ContextVar('sending')


class _CheckingConnector(aiohttp.TCPConnector):
    """Asks whether bytes may go out once the connection stands."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit=limit)
        self._used: weakref.WeakSet[Any] = weakref.WeakSet()

    async def connect(
        self, req: Any, traces: Any, timeout: aiohttp.ClientTimeout
    ) -> Any:
        """Return a connection that may be used now.

        Raises
        ------
        NotOwnerError
            If nothing may be sent any more; the connection is kept.
        """
        conn = await super().connect(req, traces, timeout)
        while self._has_ended(conn):
            conn.close()
            conn = await super().connect(req, traces, timeout)
        self._used.add(conn.protocol)
        sending = _SENDING.get(None)
        if sending is None:
            return conn
        if not sending.may_send():
            conn.release()
            raise NotOwnerError('lease or shard was lost before sending')
        sending.connected = True
        return conn

    def _has_ended(self, conn: Any) -> bool:
        """Return whether a kept connection has more than was asked for."""
        transport = conn.transport
        if transport is None or conn.protocol not in self._used:
            return False
        return has_unread(transport)


class TargetGoneError(NotOwnerError):
    """The target refused the connection: nothing was sent."""

    code = 'target-gone'


class TargetClient:
    """Sends admitted requests to the target.

    Parameters
    ----------
    connections : int
        Most connections that the target accepts.
    """

    def __init__(self, connections: int) -> None:
        self._session = send_once(
            aiohttp.ClientSession(
                connector=_CheckingConnector(connections),
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
        """Send a request and return the answer's start.

        Parameters
        ----------
        address : str
            The target's ``ip:port``.
        req : RoutedRequest
            What to send.
        extra : dict of str to str
            Headers for the target: id, fence and deadline.
        may_send : callable
            Asked right before the first byte goes out.

        Raises
        ------
        TargetGoneError
            If the connection was refused.
        NotOwnerError
            If `may_send` said no, or no connection was made in time.
        OverloadError
            If the target says that it did not run the request.
        UncertainError
            If the request went out and no whole answer came back.
        """
        sending = _Sending(may_send)
        token = _SENDING.set(sending)
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
            if sending.connected:
                raise UncertainError(f'target broke off: {exc!r}') from exc
            text = f'target {address}: {exc!r}'
            if _is_refusal(exc):
                raise TargetGoneError(text) from exc
            # A busy host says nothing of the process behind the address.
            raise NotOwnerError(text) from exc
        finally:
            _SENDING.reset(token)
        return await _read_start(answer)

    async def cancel(self, address: str, request: str) -> None:
        """Tell the target that nobody waits for a request any more."""
        url = f'http://{address}/.savoryhold/requests/{request}'
        try:
            async with self._session.delete(url, timeout=_probe_timeout()):
                return
        except (aiohttp.ClientError, OSError, TimeoutError):
            # Cancellation is only a hint; the request's verdict stands.
            return

    async def refuses(self, address: str) -> bool:
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
        """Close all connections."""
        await self._session.close()


def _is_refusal(exc: Exception) -> bool:
    return isinstance(exc, aiohttp.ClientConnectorError) and isinstance(
        exc.os_error, ConnectionRefusedError
    )


def _probe_timeout() -> aiohttp.ClientTimeout:
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
        if name.lower() not in _HOP_HEADERS
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
