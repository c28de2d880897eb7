"""From a caller's HTTP request to one that an owner can run."""

from http import HTTPStatus

from savoryhold.core.errors import BadRequestError, RequestError
from savoryhold.core.ids import RequestId, ServiceName
from savoryhold.core.poison import fingerprint_of
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.requests import NO_KEY, RelayedRequest, TargetDownError
from savoryhold.ranges import KEY_COUNT
from savoryhold.traffic import Route, RouteTable
from savoryhold.wire import (
    NOT_FORWARDED,
    HeaderNames,
    HttpRequest,
    encode_headers,
)

__all__ = ['RequestReader']

DEFAULT_DEADLINE_MS = 10_000
NO_CONFIG_RETRY_MS = 200
LATE_RETRY_MS = 50
END_RETRY_MS = 450  # another process is often there within this


class RequestReader:
    """Reads callers' requests by the configuration in force.

    Parameters
    ----------
    parts : Parts
        The node.
    names : HeaderNames
        Headers of callers.
    """

    def __init__(self, parts: NodeContext, names: HeaderNames) -> None:
        self._parts = parts
        self._names = names
        self.ends_at: int | None = None  # of the process
        self.only_calls = False
        self._dropped = NOT_FORWARDED | {
            names.deadline.lower(),
            names.target.lower(),
            names.caller.lower(),
        }

    def read(self, http: HttpRequest) -> tuple[RelayedRequest, Route]:
        """Return the request and its route.

        Raises
        ------
        RequestError
            If no route, no time or no usable header is there, or if the node
            takes only calls of its target's runs.
        """
        routes = self._parts.configs.routes
        if routes is None:
            raise TargetDownError('no configuration yet', NO_CONFIG_RETRY_MS)
        route = self._route(routes, http)
        service = routes.pick(route)
        known = routes.services.get(service)
        keyed = known is not None and known.keyed
        left = min(self._deadline_ms(http), route.timeout_ms)
        deadline = http.read_at + left
        if self.ends_at is not None:
            deadline = min(deadline, self.ends_at)
        if deadline <= self._parts.clock.now():
            raise TargetDownError('the deadline has passed', LATE_RETRY_MS)
        key = self._key(http) if keyed else NO_KEY
        request = self._request_id(http)
        if self.only_calls and not self._is_call(request):
            raise TargetDownError('this node ends', END_RETRY_MS)
        req = RelayedRequest(
            request,
            service,
            key,
            route.name,
            http.method,
            http.target,
            self._head(http),
            http.body,
            deadline,
            http.read_at + route.aim_ms,
            route.priority,
            route.kind.repeatable,
            fingerprint_of(
                service,
                http.method.decode('latin-1'),
                http.target.decode('latin-1'),
                http.body,
                key,
            ),
            self._is_called_again(request, service),
        )
        return req, route

    def _is_called_again(
        self, request: RequestId, service: ServiceName
    ) -> bool:
        """Return whether a repeated run of the local target calls for it."""
        run = self._run_of(request)
        return self._parts.owner.runs.take_call(run, service)

    def _is_call(self, request: RequestId) -> bool:
        """Return whether a run of the local target calls for it."""
        return self._parts.owner.runs.is_at_work(self._run_of(request))

    def _run_of(self, request: RequestId) -> RequestId:
        """Return the run that may call for a request, or an empty id."""
        mark = self._names.call_id_separator
        return RequestId(request.rpartition(mark)[0] if mark else '')

    def _route(self, routes: RouteTable, http: HttpRequest) -> Route:
        host = http.header(b'host').decode('latin-1')
        path = http.target.split(b'?', 1)[0].decode('latin-1')
        route = routes.match(host, path)
        if route is None:
            exc = RequestError(f'no route for {host!r} and path {path!r}')
            exc.status = HTTPStatus.NOT_FOUND
            exc.code = 'no-route'
            raise exc
        return route

    def _request_id(self, http: HttpRequest) -> RequestId:
        name = self._names.request_id
        found = http.header(name.lower()).decode('latin-1')
        if not found:
            raise BadRequestError(f'{name.decode()}: is missing')
        return RequestId(found)

    def _deadline_ms(self, http: HttpRequest) -> int:
        name = self._names.deadline
        text = http.header(name.lower()).decode('latin-1')
        if not text:
            return DEFAULT_DEADLINE_MS
        try:
            return max(0, int(float(text)))
        except (ValueError, OverflowError):
            raise BadRequestError(
                f'{name.decode()}: expected ms, got {text!r}'
            ) from None

    def _key(self, http: HttpRequest) -> int:
        name = self._names.key
        text = http.header(name.lower()).decode('latin-1')
        if text.isdecimal() and int(text) < KEY_COUNT:
            return int(text)
        raise BadRequestError(
            f'{name.decode()}: expected 0 to {KEY_COUNT - 1}, got {text!r}'
        )

    def _head(self, http: HttpRequest) -> bytes:
        """Return the header lines that the target gets."""
        report = self._parts.owner.report
        caller = self._parts.settings.service
        if report is not None:
            caller = report.service
        dropped = self._dropped | _listed(http.header(b'connection'))
        line = b'%s: %s\r\n' % (self._names.caller, caller.encode())
        return encode_headers(http.headers, dropped) + line


def _listed(text: bytes) -> frozenset[bytes]:
    """Return the header names that a Connection header lists."""
    if not text:
        return frozenset()
    return frozenset(name.strip().lower() for name in text.split(b','))
