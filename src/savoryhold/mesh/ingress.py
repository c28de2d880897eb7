"""The ingress side: reads a caller's request and sees it answered."""

import asyncio
from functools import partial

from savoryhold.core.clock import Clock
from savoryhold.core.errors import (
    BadRequestError,
    LinkError,
    RequestError,
    UncertainError,
)
from savoryhold.core.ids import NodeId, RequestId
from savoryhold.core.poison import fingerprint_of
from savoryhold.core.verdict import Verdict
from savoryhold.mesh.codec import answer_of, relay_message
from savoryhold.mesh.config import ConfigTask
from savoryhold.mesh.members import MemberTable
from savoryhold.mesh.owner import OwnerTask
from savoryhold.mesh.requests import (
    NO_KEY,
    RelayedAnswer,
    RelayedRequest,
    TargetDownError,
)
from savoryhold.mesh.settings import MeshSettings
from savoryhold.mesh.tables import TableTask
from savoryhold.mesh.telemetry import Telemetry
from savoryhold.peer import LinkStream, PeerPool, messages
from savoryhold.ranges import KEY_COUNT
from savoryhold.traffic import (
    Candidate,
    Distance,
    Route,
    RouteKind,
    SharedBudget,
    choose,
)
from savoryhold.wire import HOP_BY_HOP, Exchange, HeaderNames, HttpRequest

__all__ = ['IngressTask']

MS_PER_SECOND = 1000
DEFAULT_DEADLINE_MS = 10_000
ANSWER_SLACK_MS = 40  # the owner's own word on a late request may still come
LOOK_MS = 100
REROUTE_MS = 15
HOLD_MS = 450  # an owner that restarts is often back within this
MAX_REROUTES = 40
MIN_RETRY_MS = 50
RETRY_LEFT = 2.0  # service times that must be left for another run
SERVER_ERROR = 500
OUTSTANDING_MS = 8.0  # wait that a request on its way adds at a node


class _Attempt:
    """What has been tried for one request."""

    def __init__(self, limit: int) -> None:
        self.limit = max(1, limit)
        self.sent = 0
        self.refused: set[NodeId] = set()
        self.may_have_run: RequestError | None = None
        self.answer: RelayedAnswer | None = None


class IngressTask:
    """Serves the callers of this node.

    Parameters
    ----------
    settings : MeshSettings
        This node's settings.
    names : HeaderNames
        Headers of callers.
    configs : ConfigTask
        Routes.
    members : MemberTable
        The other nodes.
    owner : OwnerTask
        The local target.
    tables : TableTask
        Who owns which keys.
    pool : PeerPool
        Links to the other nodes.
    clock : Clock
        Source of time.
    telemetry : Telemetry
        Logs and counters.
    """

    def __init__(
        self,
        settings: MeshSettings,
        names: HeaderNames,
        configs: ConfigTask,
        members: MemberTable,
        owner: OwnerTask,
        tables: TableTask,
        pool: PeerPool,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self.names = names
        self.budget = SharedBudget(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_ms,
        )
        self._settings = settings
        self._configs = configs
        self._members = members
        self._owner = owner
        self._tables = tables
        self._pool = pool
        self._clock = clock
        self._telemetry = telemetry
        self._here = Distance(settings.zone, settings.region)
        self._dropped = HOP_BY_HOP | {
            b'content-length',
            names.deadline.lower(),
            names.target.lower(),
            names.caller.lower(),
        }
        self._tasks: set[asyncio.Task[None]] = set()

    def handle(self, exchange: Exchange) -> None:
        """Serve an exchange in a task of its own."""
        task = asyncio.ensure_future(self._serve(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        exchange.on_gone = partial(_cancel, task)

    async def _serve(self, exchange: Exchange) -> None:
        http = exchange.req
        try:
            req, route = self._read(http)
            answer = await self._answer(req, route)
        except RequestError as exc:
            self._refuse(exchange, exc)
        except asyncio.CancelledError:
            self._telemetry.gone(http, self.names)
            raise
        except Exception as exc:  # noqa: BLE001
            # A defect must not leave the caller without an answer.
            self._telemetry.log.error('defect', error=repr(exc))
            self._refuse(exchange, UncertainError('internal error'))
        else:
            sized = http.method != b'HEAD'
            exchange.reply(answer.status, answer.head, answer.body, sized=sized)
            self._telemetry.answered(req, answer, http.read_at)

    # Reading ----------------------------------------------------------------

    def _read(self, http: HttpRequest) -> tuple[RelayedRequest, Route]:
        routes = self._configs.routes
        if routes is None:
            raise TargetDownError('no configuration yet', MIN_RETRY_MS * 4)
        host = http.header(b'host').decode('latin-1')
        path = http.target.split(b'?', 1)[0].decode('latin-1')
        route = routes.match(host, path)
        if route is None:
            raise _no_route(host, path)
        service = routes.pick(route)
        keyed = service in routes.services and routes.services[service].keyed
        request = http.header(self.names.request_id.lower()).decode('latin-1')
        if not request:
            raise BadRequestError(
                f'{self.names.request_id.decode()}: is missing'
            )
        now = self._clock.now()
        left = min(self._deadline_ms(http), route.timeout_ms)
        deadline = http.read_at + left
        if deadline <= now:
            raise TargetDownError('the deadline has passed', MIN_RETRY_MS)
        return RelayedRequest(
            RequestId(request),
            service,
            self._key(http) if keyed else NO_KEY,
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
            ),
        ), route

    def _deadline_ms(self, http: HttpRequest) -> int:
        text = http.header(self.names.deadline.lower())
        if not text:
            return DEFAULT_DEADLINE_MS
        try:
            return max(0, int(float(text)))
        except ValueError:
            raise BadRequestError(
                f'{self.names.deadline.decode()}: expected ms, got '
                f'{text.decode("latin-1")!r}'
            ) from None

    def _key(self, http: HttpRequest) -> int:
        text = http.header(self.names.key.lower())
        if text.isdigit() and int(text) < KEY_COUNT:
            return int(text)
        raise BadRequestError(
            f'{self.names.key.decode()}: expected 0 to {KEY_COUNT - 1}, got '
            f'{text.decode("latin-1")!r}'
        )

    def _head(self, http: HttpRequest) -> bytes:
        caller = self._settings.service
        if self._owner.report is not None:
            caller = self._owner.report.service
        named = _connection_names(http.header(b'connection'))
        lines = [
            b'%s: %s\r\n' % (name, text)
            for name, text in http.headers
            if name.lower() not in self._dropped and name.lower() not in named
        ]
        lines.append(b'%s: %s\r\n' % (self.names.caller, caller.encode()))
        return b''.join(lines)

    # Trying -----------------------------------------------------------------

    async def _answer(
        self, req: RelayedRequest, route: Route
    ) -> RelayedAnswer:
        self.budget.sent(self._clock.now())
        self.budget.nodes = 1 + len(self._members.addresses)
        attempt = _Attempt(route.attempts)
        for _ in range(MAX_REROUTES):
            try:
                answer = await self._try(req, route, attempt)
            except RequestError as exc:
                await self._before_again(req, attempt, exc)
                continue
            if answer.status < SERVER_ERROR or not req.repeatable:
                return answer
            attempt.answer = answer
            if not self._may_run_again(req, attempt):
                return answer
        raise TargetDownError('no owner was found', MIN_RETRY_MS * 4)

    async def _before_again(
        self, req: RelayedRequest, attempt: _Attempt, exc: RequestError
    ) -> None:
        """Wait before another try, or raise what is known."""
        if exc.verdict is Verdict.MAY_HAVE_RUN:
            attempt.may_have_run = exc
            if req.repeatable and self._may_run_again(req, attempt):
                return
            self._give_up(attempt, exc)
        if exc.code == 'moved':
            await self._pause(req, attempt, exc, REROUTE_MS)
        elif exc.code == 'shed':
            if not self._may_run_again(req, attempt):
                self._give_up(attempt, exc)
            await self._pause(req, attempt, exc, REROUTE_MS * 2)
        elif exc.code == 'target-down':
            await self._pause(req, attempt, exc, REROUTE_MS * 2)
        elif req.key != NO_KEY or len(attempt.refused) > 2:
            self._give_up(attempt, exc)

    def _give_up(self, attempt: _Attempt, exc: RequestError) -> None:
        """End with the most that is known of all tries."""
        if attempt.may_have_run is not None:
            raise attempt.may_have_run
        raise exc

    async def _pause(
        self,
        req: RelayedRequest,
        attempt: _Attempt,
        exc: RequestError,
        pause_ms: int,
    ) -> None:
        now = self._clock.now()
        begun = req.aim_at if req.aim_at < req.deadline else req.deadline
        limit = min(req.deadline, max(begun, now))
        if now + pause_ms >= limit:
            self._give_up(attempt, exc)
        await asyncio.sleep(pause_ms / MS_PER_SECOND)

    def _may_run_again(self, req: RelayedRequest, attempt: _Attempt) -> bool:
        now = self._clock.now()
        service_ms = self._owner.queue.service_ms(req.route)
        if attempt.sent >= attempt.limit:
            return False
        if req.deadline - now < service_ms * RETRY_LEFT:
            return False
        return self.budget.spend(now)

    async def _try(
        self, req: RelayedRequest, route: Route, attempt: _Attempt
    ) -> RelayedAnswer:
        node = self._choose(req, route, attempt)
        attempt.sent += 1
        try:
            if node == self._settings.node:
                return await self._owner.submit(req)
            return await self._ask(node, req)
        except RequestError as exc:
            attempt.refused.add(node)
            if exc.verdict is Verdict.NOT_RUN and exc.code != 'shed':
                attempt.sent -= 1
            raise

    def _choose(
        self, req: RelayedRequest, route: Route, attempt: _Attempt
    ) -> NodeId:
        now = self._clock.now()
        if req.key == NO_KEY:
            return self._choose_any(req, route, attempt, now)
        table = self._tables.tables.get(req.service)
        if table is None:
            raise TargetDownError('no table of keys yet', MIN_RETRY_MS * 4)
        owner = table.row_at(req.key).owner
        member = self._members.members.get(owner)
        gone = member is None or member.status.leaving
        if owner != self._settings.node and (
            gone or not self._members.is_alive(owner, now)
        ):
            raise TargetDownError(f'{owner} is away', HOLD_MS)
        return owner

    def _choose_any(
        self,
        req: RelayedRequest,
        route: Route,
        attempt: _Attempt,
        now: int,
    ) -> NodeId:
        found = [
            Candidate(
                member.status.node,
                member.status.zone,
                member.status.region,
                self._members.wait_ms(member, now)
                + member.outstanding * OUTSTANDING_MS,
            )
            for member in self._members.serving(req.service, now)
            if member.status.node not in attempt.refused
        ]
        if (
            self._owner.serves(req.service)
            and self._owner.is_ready()
            and self._settings.node not in attempt.refused
        ):
            found.append(
                Candidate(
                    self._settings.node,
                    self._settings.zone,
                    self._settings.region,
                    self._owner.queue.backlog_ms(),
                )
            )
        large = route.kind is RouteKind.DOWNLOAD
        node = choose(found, self._here, large=large)
        if node is None:
            attempt.refused.clear()
            raise TargetDownError(
                f'no target serves {req.service}', MIN_RETRY_MS * 4
            )
        return node

    async def _ask(self, node: NodeId, req: RelayedRequest) -> RelayedAnswer:
        address = self._members.addresses[node]
        member = self._members.members.get(node)
        if member is not None:
            member.outstanding += 1
        try:
            return await self._ask_at(address, req)
        finally:
            if member is not None:
                member.outstanding -= 1

    async def _ask_at(self, address: str, req: RelayedRequest) -> RelayedAnswer:
        try:
            call = await self._pool.open(address)
        except LinkError as exc:
            raise TargetDownError(str(exc), HOLD_MS) from exc
        now = self._clock.now()
        try:
            call.send(relay_message(req, now))
        except LinkError as exc:
            call.close()
            raise TargetDownError(str(exc), HOLD_MS) from exc
        try:
            first = await call.receive(req.deadline - now + ANSWER_SLACK_MS)
        except LinkError as exc:
            raise UncertainError(f'{address}: {exc}') from exc
        except asyncio.CancelledError:
            _send_cancel(call)
            raise
        finally:
            call.close()
        return answer_of(first)

    # Ending -----------------------------------------------------------------

    def _refuse(self, exchange: Exchange, exc: RequestError) -> None:
        status = exc.status
        head = b''
        if status in {503, 429}:
            retry_ms = max(MIN_RETRY_MS, exc.retry_after_ms)
            head = b'retry-after: %.3f\r\n' % (retry_ms / MS_PER_SECOND)
        exchange.reply(status, head)
        self._telemetry.refused(exchange.req, self.names, exc)


def _no_route(host: str, path: str) -> RequestError:
    exc = RequestError(f'no route for host {host!r} and path {path!r}')
    exc.status = 404
    exc.code = 'no-route'
    return exc


def _connection_names(text: bytes) -> frozenset[bytes]:
    if not text:
        return frozenset()
    return frozenset(name.strip().lower() for name in text.split(b','))


def _cancel(task: 'asyncio.Task[None]') -> None:
    task.cancel()


def _send_cancel(call: LinkStream) -> None:
    try:
        call.send(messages.Cancel())
    except LinkError:
        # The link is gone, and with it the work that was asked for.
        return


