"""The operators' and the target's HTTP interface."""

import hmac
import ipaddress
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from pydantic import ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

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
    """What the daemon offers to operators."""

    def status(self) -> dict[str, Any]:
        """Return the state of the cluster as seen here."""

    def routes(self) -> dict[str, Any]:
        """Return the owner and epoch of each shard."""

    def owner(self, service: str, key: str) -> dict[str, Any]:
        """Return the owner of a key."""

    def drain(self, node: str) -> Awaitable[dict[str, Any]]:
        """Have a node hand over its shards and leave."""

    def move(
        self, service: str, shard: int, target: str
    ) -> Awaitable[dict[str, Any]]:
        """Have a shard moved to another node."""

    def recover(self, node: str) -> dict[str, Any]:
        """Claim a node's record on the operator's word."""

    def set_cut(self, regions: list[str]) -> dict[str, Any]:
        """Cut or mend the links to some regions, for failure tests."""

    def announce(self, announced: Announcement) -> None:
        """Take in the target's announcement."""

    def healthy(self) -> bool:
        """Return whether the node takes requests."""

    def refresh_gauges(self) -> None:
        """Set the gauges before they are shown."""


def admin_app(backend: AdminBackend, metrics: Metrics, token: str) -> Starlette:
    """Return the admin interface as an ASGI application.

    Parameters
    ----------
    backend : AdminBackend
        Performs what is asked.
    metrics : Metrics
        Shown at ``/metrics``.
    token : str
        Bearer token for ``/admin``; empty allows loopback only.
    """
    pages = _Pages(backend, metrics, token)
    return Starlette(
        routes=[
            Route('/v1/announce', pages.announce, methods=POST),
            Route('/metrics', pages.metrics),
            Route('/healthz', pages.health),
            Route('/admin/status', pages.guarded(pages.status)),
            Route('/admin/routes', pages.guarded(pages.routes)),
            Route('/admin/owner', pages.guarded(pages.owner)),
            Route('/admin/drain', pages.guarded(pages.drain), methods=POST),
            Route('/admin/move', pages.guarded(pages.move), methods=POST),
            Route(
                '/admin/recover',
                pages.guarded(pages.recover),
                methods=POST,
            ),
            Route('/admin/cut', pages.guarded(pages.cut), methods=POST),
        ]
    )


class _Pages:
    def __init__(
        self, backend: AdminBackend, metrics: Metrics, token: str
    ) -> None:
        self._backend = backend
        self._metrics = metrics
        self._token = token

    def guarded(self, handler: Handler) -> Handler:
        async def check(req: Request) -> Response:  # noqa: WPS430
            if not self._is_allowed(req):
                return _error('not authorized', STATUS_UNAUTHORIZED)
            try:
                return await handler(req)
            except (KeyError, ValueError, TypeError) as exc:
                return _error(f'bad request: {exc!r}', STATUS_BAD)
            except SavoryholdError as exc:
                return _error(str(exc), STATUS_BAD)

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
