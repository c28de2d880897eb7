"""Parsing of callers' HTTP requests into relayed requests."""

from http import HTTPStatus

from savoryhold.core.errors import BadRequestError, RequestError
from savoryhold.core.ids import RequestId, ServiceName
from savoryhold.core.poison import Fingerprint, fingerprint_of
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.requests import (
    NO_KEY,
    RelayedRequest,
    RouteRefusedError,
    TargetDownError,
)
from savoryhold.ranges import KEY_COUNT
from savoryhold.traffic import RefusedRoute, Route, RouteTable
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
ROUTE_REFUSED_RETRY_MS = 2000  # operators have to correct the configuration
MAX_KEY_DIGITS = 20  # the interpreter refuses to convert thousands
STOPPING_RETRY_MS = 450  # a restarted process is often ready by then


class RequestReader:
    """Parses callers' requests according to the configuration in force.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.
    names : HeaderNames
        Names of the product's headers.
    """

    def __init__(self, context: NodeContext, names: HeaderNames) -> None:
        self._context = context
        self._names = names
        self.process_ends_at: int | None = None
        self.only_nested_calls = False
        self._excluded_headers = NOT_FORWARDED | {
            names.deadline.lower(),
            names.target.lower(),
            names.caller.lower(),
        }

    def read(self, http: HttpRequest) -> tuple[RelayedRequest, Route]:
        """Return the request and its route.

        Raises
        ------
        RequestError
            If no route matches, the route is disabled, the deadline has passed
            or a header is missing or invalid, or if the node is stopping and
            the request is not a nested call of a run at its target.
        """
        routes = self._context.configs.routes
        if routes is None or not self._context.places.is_settled:
            raise TargetDownError('no configuration yet', NO_CONFIG_RETRY_MS)
        route = self._route(routes, http)
        service = routes.select_service(route)
        known = routes.services.get(service)
        keyed = known is not None and known.keyed
        left = min(self._deadline_ms(http), route.timeout_ms)
        deadline = http.read_at + left
        if self.process_ends_at is not None:
            deadline = min(deadline, self.process_ends_at)
        if deadline <= self._context.clock.now():
            raise TargetDownError('the deadline has passed', LATE_RETRY_MS)
        key = self._key(http) if keyed else NO_KEY
        request = self._request_id(http)
        if self.only_nested_calls and not self.is_nested_call(request):
            raise TargetDownError('this node is stopping', STOPPING_RETRY_MS)
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
            self._fingerprint(http, route),
            self._is_call_of_repeat(request, service),
            regions=route.regions,
        )
        return req, route

    def _fingerprint(self, http: HttpRequest, route: Route) -> Fingerprint:
        """Return what identifies the request when it comes again.

        Notes
        -----
        The service is left out: it changes with the configuration.
        """
        return fingerprint_of(
            route.host,
            http.method.decode('latin-1'),
            http.target.decode('latin-1'),
            http.body,
            caller=self._context.settings.service,
        )

    def _is_call_of_repeat(
        self, request: RequestId, service: ServiceName
    ) -> bool:
        """Record a nested call; return whether its run is a repeat."""
        run = self._calling_run(request)
        return self._context.owner.runs.record_call(run, service)

    def is_nested_call(self, request: RequestId) -> bool:
        """Return whether a run at the local target made the request."""
        return self._context.owner.runs.is_running(self._calling_run(request))

    def run_priority(self, request: RequestId) -> int | None:
        """Return the priority of the run that makes a call, None if none."""
        return self._context.owner.runs.priority_of(self._calling_run(request))

    def _calling_run(self, request: RequestId) -> RequestId:
        """Return the id of the run that made the call, empty if none."""
        separator = self._names.call_id_separator
        return RequestId(request.rpartition(separator)[0] if separator else '')

    def _route(self, routes: RouteTable, http: HttpRequest) -> Route:
        host = http.header(b'host').decode('latin-1')
        path = http.target.split(b'?', 1)[0].decode('latin-1')
        route = routes.match(host, path)
        if route is None:
            exc = RequestError(f'no route for {host!r} and path {path!r}')
            exc.status = HTTPStatus.NOT_FOUND
            exc.code = 'no-route'
            raise exc
        if isinstance(route, RefusedRoute):
            raise RouteRefusedError(
                f'{route.host} {route.prefix}: {route.field}: {route.error}',
                ROUTE_REFUSED_RETRY_MS,
            )
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
        is_number = len(text) <= MAX_KEY_DIGITS and text.isdecimal()
        if is_number and int(text) < KEY_COUNT:
            return int(text)
        raise BadRequestError(
            f'{name.decode()}: expected 0 to {KEY_COUNT - 1}, got {text!r}'
        )

    def _head(self, http: HttpRequest) -> bytes:
        """Return the header lines to forward to the target."""
        caller = self._context.settings.service
        dropped = self._excluded_headers | _connection_options(
            http.header(b'connection')
        )
        line = b'%s: %s\r\n' % (self._names.caller, caller.encode())
        return encode_headers(http.headers, dropped) + line


def _connection_options(text: bytes) -> frozenset[bytes]:
    """Return the header names that a Connection header lists."""
    if not text:
        return frozenset()
    return frozenset(name.strip().lower() for name in text.split(b','))
