"""HTTP interface for operators and the local target."""

import hmac
import ipaddress
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from pydantic import ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from savoryhold.core.decoding import UNREADABLE
from savoryhold.core.errors import SavoryholdError
from savoryhold.daemon.metrics import Metrics
from savoryhold.target import Announcement

__all__ = ['AdminBackend', 'admin_app']

STATUS_UNAUTHORIZED = 401
STATUS_OK = 200
STATUS_BAD = 400
POST = ('POST',)
STATUS_UNAVAILABLE = 503

Handler = Callable[[Request], Awaitable[Response]]


class AdminBackend(Protocol):
    """Operations that the daemon provides to operators and the target."""

    def status(self) -> dict[str, Any]:
        """Return the state of the cluster as this node knows it."""

    def routes(self) -> dict[str, Any]:
        """Return the owner and epoch of each shard."""

    def owner(self, service: str, key: str) -> dict[str, Any]:
        """Return the owner of a key."""

    def drain(self, node: str) -> Awaitable[dict[str, Any]]:
        """Make a node hand over its shards and leave the cluster."""

    def move(
        self, service: str, shard: int, target: str
    ) -> Awaitable[dict[str, Any]]:
        """Move a shard to another node."""

    def recover(self, node: str) -> dict[str, Any]:
        """Claim the record of a node that the operator declares lost."""

    def set_cut(self, regions: list[str]) -> dict[str, Any]:
        """Block the links to exactly these regions, for failure tests."""

    def announce(self, announced: Announcement) -> None:
        """Process an announcement of the target."""

    def healthy(self) -> bool:
        """Return whether the node accepts requests."""

    def refresh_gauges(self) -> None:
        """Update the gauges before they are exported."""


def admin_app(backend: AdminBackend, metrics: Metrics, token: str) -> Starlette:
    """Return the admin interface as an ASGI application.

    Parameters
    ----------
    backend : AdminBackend
        Performs the operations.
    metrics : Metrics
        Metrics that ``/metrics`` exports.
    token : str
        Bearer token for ``/admin``; empty allows loopback only.
    """
    handlers = _AdminHandlers(backend, metrics, token)
    return Starlette(
        routes=[
            Route('/v1/announce', handlers.announce, methods=POST),
            Route('/metrics', handlers.metrics),
            Route('/healthz', handlers.health),
            Route('/admin/status', handlers.authorized(handlers.status)),
            Route('/admin/routes', handlers.authorized(handlers.routes)),
            Route('/admin/owner', handlers.authorized(handlers.owner)),
            Route(
                '/admin/drain',
                handlers.authorized(handlers.drain),
                methods=POST,
            ),
            Route(
                '/admin/move', handlers.authorized(handlers.move), methods=POST
            ),
            Route(
                '/admin/recover',
                handlers.authorized(handlers.recover),
                methods=POST,
            ),
            Route(
                '/admin/cut', handlers.authorized(handlers.cut), methods=POST
            ),
        ]
    )


class _AdminHandlers:
    def __init__(
        self, backend: AdminBackend, metrics: Metrics, token: str
    ) -> None:
        self._backend = backend
        self._metrics = metrics
        self._token = token

    def authorized(self, handler: Handler) -> Handler:
        async def check(req: Request) -> Response:  # noqa: WPS430
            if not self._is_allowed(req):
                return _error('not authorized', STATUS_UNAUTHORIZED)
            try:
                return await handler(req)
            except SavoryholdError as exc:
                return _error(str(exc), STATUS_BAD)
            except UNREADABLE as exc:
                return _error(f'bad request: {exc!r}', STATUS_BAD)

        return check

    async def announce(self, req: Request) -> Response:
        try:
            announced = Announcement.model_validate_json(await req.body())
        except ValidationError as exc:
            first = exc.errors()[0]
            field = '.'.join(str(part) for part in first['loc'])
            return _error(f'{field}: {first["msg"]}', STATUS_BAD)
        self._backend.announce(announced)
        return JSONResponse({'ok': True})

    async def metrics(self, req: Request) -> Response:
        self._backend.refresh_gauges()
        accept = req.headers.getlist('accept')
        content, headers = self._metrics.render(accept)
        return Response(content, headers=dict(headers))

    async def health(self, req: Request) -> Response:
        healthy = self._backend.healthy()
        status = STATUS_OK if healthy else STATUS_UNAVAILABLE
        return JSONResponse({'healthy': healthy}, status_code=status)

    async def status(self, req: Request) -> Response:
        return JSONResponse(self._backend.status())

    async def routes(self, req: Request) -> Response:
        return JSONResponse(self._backend.routes())

    async def owner(self, req: Request) -> Response:
        query = req.query_params
        found = self._backend.owner(query['service'], query['key'])
        return JSONResponse(found)

    async def drain(self, req: Request) -> Response:
        fields = await req.json()
        return JSONResponse(await self._backend.drain(fields['node']))

    async def move(self, req: Request) -> Response:
        fields = await req.json()
        moved = await self._backend.move(
            fields['service'], int(fields['shard']), fields['target']
        )
        return JSONResponse(moved)

    async def recover(self, req: Request) -> Response:
        fields = await req.json()
        return JSONResponse(self._backend.recover(fields['node']))

    async def cut(self, req: Request) -> Response:
        fields = await req.json()
        return JSONResponse(self._backend.set_cut(list(fields['regions'])))

    def _is_allowed(self, req: Request) -> bool:
        if self._token:
            given = req.headers.get('authorization', '')
            expected = f'Bearer {self._token}'
            return hmac.compare_digest(given.encode(), expected.encode())
        host = req.client.host if req.client else ''
        try:
            return ipaddress.ip_address(host).is_loopback
        except ValueError:
            return False


def _error(text: str, status: int) -> Response:
    return JSONResponse({'error': text}, status_code=status)
