"""HTTP interface for callers, as an ASGI application."""

import asyncio
import json
import secrets
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Protocol

from savoryhold.core.clock import Clock
from savoryhold.core.errors import BadRequestError, RequestError
from savoryhold.core.routed_request import RoutedAnswer, RoutedRequest
from savoryhold.core.ids import Region, RequestId, ServiceName
from savoryhold.core.poison import fingerprint_of
from savoryhold.core.verdict import Verdict
from savoryhold.core.services import CompiledService, ConfigTable
from savoryhold.daemon.metrics import Metrics
from savoryhold.daemon.streams import close_stream

__all__ = ['CallerGateway', 'RequestRouter']

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

MS_PER_SECOND = 1000
WATCH_DELAY_S = 0.05  # most requests end sooner
ID_BYTES = 12
MAX_ID_LENGTH = 128
MAX_HEADERS = 64
MAX_HEADER_BYTES = 16_384
STATUS_TOO_LARGE = 413
_NOT_FORWARDED = frozenset(
    {
        'connection',
        'content-length',
        'host',
        'idempotency-key',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    }
)


class RequestRouter(Protocol):
    """Routes requests to the owners of their keys."""

    async def handle(self, req: RoutedRequest) -> RoutedAnswer:
        """Return the answer to a request."""


class TooLargeError(BadRequestError):
    """The body or the headers of a request exceed a limit."""

    status = STATUS_TOO_LARGE
    code = 'too-large'


class CallerGone(Exception):
    """The caller closed its connection."""


class CallerGateway:
    """Accepts callers' requests and returns complete answers.

    Parameters
    ----------
    router : RequestRouter
        Routes requests.
    configs : ConfigTable
        Configurations of the services.
    clock : Clock
        Source of time.
    region : Region
        Region of this node.
    metrics : Metrics
        Request counters and latencies.
    """

    def __init__(
        self,
        router: RequestRouter,
        configs: ConfigTable,
        clock: Clock,
        region: Region,
        metrics: Metrics,
    ) -> None:
        self.active = 0
        self._router = router
        self._configs = configs
        self._clock = clock
        self._region = region
        self._metrics = metrics

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        self.active += 1
        try:
            await self._serve(scope, receive, send)
        except CallerGone:
            self._metrics.requests.inc({'outcome': 'caller-gone'})
        finally:
            self.active -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        started = self._clock.now()
        headers = _headers_of(scope)
        request_id = headers.get('idempotency-key', '')
        request_id = request_id or secrets.token_hex(ID_BYTES)
        try:
            req = await self._build(scope, receive, headers, request_id)
            answer = await self._route(req, receive)
        except RequestError as exc:
            self._metrics.requests.inc({'outcome': exc.code})
            await _send_error(send, request_id, exc)
            return
        self._metrics.requests.inc({'outcome': 'done'})
        self._metrics.latency.observe({}, self._clock.now() - started)
        try:
            await _send_answer(send, request_id, answer)
        except RequestError:
            # The response stays incomplete, so that the server closes the
            # connection and the caller cannot mistake a part for the whole.
            self._metrics.requests.inc({'outcome': 'broken-off'})

    async def _build(
        self,
        scope: Scope,
        receive: Receive,
        headers: dict[str, str],
        request_id: str,
    ) -> RoutedRequest:
        _check_headers(scope, request_id)
        service, _, rest = scope['path'].lstrip('/').partition('/')
        compiled = self._configs.get(service)
        path = f'/{rest}'
        key = compiled.key_of(path, headers)
        body = await _read_body(receive, headers, compiled)
        method = scope['method']
        route_policy = compiled.route_policy(method, path)
        timeout_ms = _timeout_of(headers, route_policy.timeout_ms)
        full_path = _raw_path(scope, service)
        return RoutedRequest(
            RequestId(request_id),
            ServiceName(service),
            compiled.shard_of(key),
            key,
            method,
            full_path,
            _forwarded_headers(headers),
            body,
            self._clock.now() + timeout_ms,
            route_policy.idempotent,
            route_policy.service_class,
            fingerprint_of(service, method, full_path, body),
            self._region,
        )

    async def _route(
        self, req: RoutedRequest, receive: Receive
    ) -> RoutedAnswer:
        watch = _DisconnectWatch(receive)
        try:
            return await self._router.handle(req)
        except asyncio.CancelledError:
            if watch.has_disconnected:
                raise CallerGone from None
            raise
        finally:
            watch.close()


def _headers_of(scope: Scope) -> dict[str, str]:
    return {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in scope['headers']
    }


def _check_headers(scope: Scope, request_id: str) -> None:
    pairs = scope['headers']
    size = sum(len(name) + len(text) for name, text in pairs)
    if len(pairs) > MAX_HEADERS or size > MAX_HEADER_BYTES:
        raise TooLargeError(
            f'headers: over {MAX_HEADERS} lines or {MAX_HEADER_BYTES} bytes'
        )
    if len(request_id) > MAX_ID_LENGTH or not request_id.isascii():
        raise BadRequestError(
            f'Idempotency-Key: expected up to {MAX_ID_LENGTH} ASCII characters'
        )
    if not all(char.isalnum() or char in '-_.:' for char in request_id):
        raise BadRequestError(
            'Idempotency-Key: expected letters, digits and "-_.:" only'
        )


def _timeout_of(headers: dict[str, str], default_ms: int) -> int:
    text = headers.get('x-savoryhold-timeout-ms')
    if text is None:
        return default_ms
    if not text.isdigit() or not int(text):
        raise BadRequestError(
            f'X-Savoryhold-Timeout-Ms: {text!r} is not a positive integer'
        )
    return min(int(text), default_ms)


def _raw_path(scope: Scope, service: str) -> str:
    raw: bytes = scope.get('raw_path') or scope['path'].encode()
    path = raw.decode('latin-1').lstrip('/')[len(service) :] or '/'
    query = scope.get('query_string', b'').decode('latin-1')
    return f'{path}?{query}' if query else path


def _forwarded_headers(headers: dict[str, str]) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, text)
        for name, text in headers.items()
        if name not in _NOT_FORWARDED and not name.startswith('x-savoryhold-')
    )


async def _read_body(
    receive: Receive, headers: dict[str, str], compiled: CompiledService
) -> bytes:
    limit = compiled.cfg.max_body_bytes
    declared = headers.get('content-length', '0')
    if declared.isdigit() and int(declared) > limit:
        raise TooLargeError(f'body: {declared} bytes, at most {limit}')
    body = b''
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerGone
        body += message.get('body', b'')
        more = message.get('more_body', False)
        if len(body) > limit:
            raise TooLargeError(f'body: more than {limit} bytes')
    return body


class _DisconnectWatch:
    """Cancels the current task when the caller closes its connection.

    The watch starts after `WATCH_DELAY_S`, which saves a task for each request
    that ends sooner.
    """

    def __init__(self, receive: Receive) -> None:
        self.has_disconnected = False
        self._receive = receive
        self._request_task = asyncio.current_task()
        self._watch_task: asyncio.Task[None] | None = None
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(WATCH_DELAY_S, self._begin)

    def close(self) -> None:
        self._timer.cancel()
        if self._watch_task is not None:
            self._watch_task.cancel()

    def _begin(self) -> None:
        self._watch_task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        message = await self._receive()
        while message['type'] != 'http.disconnect':
            message = await self._receive()
        self.has_disconnected = True
        if self._request_task is not None:
            self._request_task.cancel()


async def _send_answer(
    send: Send, request_id: str, answer: RoutedAnswer
) -> None:
    headers = [
        (name.lower().encode('latin-1'), text.encode('latin-1'))
        for name, text in answer.headers
        if not name.lower().startswith('x-savoryhold-')
    ]
    headers.extend(_own_headers(request_id, Verdict.DONE))
    if answer.rest is None:
        size = str(len(answer.body)).encode()
        headers.append((b'content-length', size))
    await send(
        {
            'type': 'http.response.start',
            'status': answer.status,
            'headers': headers,
        }
    )
    await _send_body(send, answer)


async def _send_body(send: Send, answer: RoutedAnswer) -> None:
    has_more = answer.rest is not None
    await send(_body_message(answer.body, more=has_more))
    if answer.rest is None:
        return
    try:
        async for chunk in answer.rest:
            await send(_body_message(chunk, more=True))
    finally:
        await close_stream(answer.rest)
    await send(_body_message(b'', more=False))


def _body_message(body: bytes, *, more: bool) -> dict[str, Any]:
    return {'type': 'http.response.body', 'body': body, 'more_body': more}


async def _send_error(send: Send, request_id: str, exc: RequestError) -> None:
    fields = {
        'error': exc.code,
        'detail': str(exc),
        'verdict': exc.verdict.value,
    }
    body = json.dumps(fields).encode()
    headers = _own_headers(request_id, exc.verdict)
    headers.append((b'content-type', b'application/json'))
    headers.append((b'content-length', str(len(body)).encode()))
    if exc.status == RequestError.status:
        seconds = max(1, round(exc.retry_after_ms / MS_PER_SECOND))
        headers.append((b'retry-after', str(seconds).encode()))
    await send(
        {
            'type': 'http.response.start',
            'status': exc.status,
            'headers': headers,
        }
    )
    await send(_body_message(body, more=False))


def _own_headers(
    request_id: str, verdict: Verdict
) -> list[tuple[bytes, bytes]]:
    return [
        (b'x-savoryhold-request-id', request_id.encode('latin-1', 'replace')),
        (b'x-savoryhold-verdict', verdict.value.encode()),
    ]
