"""The ingress side: sees a caller's request answered."""

import asyncio
import dataclasses
from functools import partial
from http import HTTPStatus

from savoryhold.core.errors import LinkError, RequestError, UncertainError
from savoryhold.core.ids import NodeId, ServiceName
from savoryhold.core.verdict import Verdict
from savoryhold.mesh.node_chooser import AWAY_RETRY_MS, NodeChooser
from savoryhold.mesh.codec import answer_of, relay_message
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.request_reader import RequestReader
from savoryhold.mesh.requests import (
    NO_KEY,
    RelayedAnswer,
    RelayedRequest,
    TargetDownError,
)
from savoryhold.mesh.telemetry import Telemetry
from savoryhold.peer import LinkStream
from savoryhold.traffic import Route, RouteKind, SharedRetryBudgets
from savoryhold.wire import Exchange, HeaderNames, HttpRequest

__all__ = ['IngressTask']

MS_PER_SECOND = 1000
ANSWER_SLACK_MS = 40  # the owner's own word on a late request may still come
MAX_TRIES = 60  # with the pauses between them, longer than any deadline
MOST_REFUSALS = 2  # nodes that are asked after one has refused
MIN_RETRY_MS = 50
RETRY_LEFT = 2.0  # service times that must be left for another run
# Pauses before another try, by the reason of the last refusal.
PAUSE_MS = {'moved': 15, 'shed': 30, 'target-down': 30}
REFUSALS = frozenset(
    {HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS}
)


class _Attempt:
    """What has been tried for one request.

    Parameters
    ----------
    req : RelayedRequest
        The request.
    route : Route
        Its route.
    """

    def __init__(self, req: RelayedRequest, route: Route) -> None:
        self.req = req
        self.large = route.kind is RouteKind.DOWNLOAD
        self.left = max(1, route.attempts)
        self.asked: NodeId | None = None
        self.refused: set[NodeId] = set()
        self.may_have_run: RequestError | None = None

    def outcome(self, exc: RequestError) -> RequestError:
        """Return what holds for all tries together."""
        return self.may_have_run or exc


class IngressTask:
    """Serves the callers of this node.

    Parameters
    ----------
    parts : Parts
        The node.
    names : HeaderNames
        Headers of callers.
    telemetry : Telemetry
        Logs and counters.
    """

    def __init__(
        self, parts: NodeContext, names: HeaderNames, telemetry: Telemetry
    ) -> None:
        cfg = parts.settings
        self.names = names
        self.budgets = SharedRetryBudgets(
            cfg.retry_ratio,
            cfg.retry_slack,
            cfg.retry_window_ms,
            parts.clock.now(),
        )
        self._parts = parts
        self._clock = parts.clock
        self._reader = RequestReader(parts, names)
        self._chooser = NodeChooser(parts)
        self._telemetry = telemetry
        self._tasks: set[asyncio.Task[None]] = set()
        parts.owner.runs.may_repeat_calls = self._may_call_again

    def handle(self, exchange: Exchange) -> None:
        """Serve an exchange in a task of its own."""
        task = asyncio.ensure_future(self._serve(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        exchange.on_disconnect = partial(_cancel, task)

    def end_by(self, at: int) -> None:
        """Give requests that are read from now on no time beyond a time."""
        self._reader.ends_at = at

    def only_nested_calls(self) -> None:
        """Refuse all requests but the calls of the local target's runs."""
        self._reader.only_calls = True

    async def _serve(self, exchange: Exchange) -> None:
        http = exchange.req
        attempt: _Attempt | None = None
        try:
            attempt = _Attempt(*self._reader.read(http))
            answer = await self._answer(attempt)
        except RequestError as exc:
            self._refuse(exchange, exc)
            return
        except asyncio.CancelledError:
            self._note_gone(http, attempt)
            raise
        except Exception as exc:  # noqa: BLE001
            # A defect must not leave the caller without an answer.
            self._telemetry.log.error('defect', error=repr(exc))
            self._refuse(exchange, UncertainError('internal error'))
            return
        sized = http.method != b'HEAD'
        exchange.reply(answer.status, answer.head, answer.body, sized=sized)
        self._telemetry.answered(attempt.req, answer, http.read_at)

    def _note_gone(self, http: HttpRequest, attempt: _Attempt | None) -> None:
        if attempt is None:
            self._telemetry.gone(http, self.names)
            return
        left_ms = attempt.req.deadline - self._clock.now()
        asked = attempt.asked or ''
        self._telemetry.gone(http, self.names, asked=asked, left_ms=left_ms)

    # Trying -----------------------------------------------------------------

    async def _answer(self, attempt: _Attempt) -> RelayedAnswer:
        self._count(attempt.req)
        for _ in range(MAX_TRIES):
            try:
                answer = await self._try(attempt)
            except RequestError as exc:
                await self._before_again(attempt, exc)
                continue
            failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            again = failed and attempt.req.repeatable
            cause = f'status-{answer.status}'
            if not again or not self._may_run_again(attempt, cause):
                return answer
        raise attempt.outcome(TargetDownError('no owner was found'))

    def _count(self, req: RelayedRequest) -> None:
        """Count a request where it earns retries, or is one."""
        self.budgets.nodes = self._parts.members.fleet_size()
        if req.repeat:
            self.budgets.count_repeated_call(req.service, self._clock.now())
        else:
            self.budgets.count_request(req.service, self._clock.now())

    def _may_call_again(self, service: ServiceName) -> bool:
        return self.budgets.may_repeat_calls(service, self._clock.now())

    async def _try(self, attempt: _Attempt) -> RelayedAnswer:
        node = self._chooser.choose(
            attempt.req, attempt.refused, large=attempt.large
        )
        attempt.left -= 1
        attempt.asked = node
        try:
            if node == self._parts.settings.node:
                return await self._parts.owner.submit(attempt.req)
            return await self._ask(node, attempt.req)
        except RequestError as exc:
            attempt.refused.add(node)
            if exc.verdict is Verdict.NOT_RUN and exc.code != 'shed':
                # Nothing was sent to a target.
                attempt.left += 1
            raise

    async def _before_again(self, attempt: _Attempt, exc: RequestError) -> None:
        """Wait before another try, or raise what is known."""
        if exc.verdict is Verdict.MAY_HAVE_RUN:
            attempt.may_have_run = exc
            if not self._may_run_again(attempt, exc.code):
                raise exc
            return
        if exc.code == 'shed' and not self._may_run_again(attempt, exc.code):
            raise attempt.outcome(exc)
        pause_ms = PAUSE_MS.get(exc.code)
        if pause_ms is not None:
            await self._pause(attempt, exc, pause_ms)
        elif attempt.req.key != NO_KEY or (
            len(attempt.refused) > MOST_REFUSALS
        ):
            raise attempt.outcome(exc)

    async def _pause(
        self, attempt: _Attempt, exc: RequestError, pause_ms: int
    ) -> None:
        limit = min(attempt.req.deadline, attempt.req.aim_at)
        if self._clock.now() + pause_ms >= limit:
            raise attempt.outcome(exc)
        await asyncio.sleep(pause_ms / MS_PER_SECOND)

    def _may_run_again(self, attempt: _Attempt, cause: str) -> bool:
        """Return whether a target may get the request once more."""
        req = attempt.req
        now = self._clock.now()
        service_ms = self._parts.owner.queue.service_ms(req.route)
        late = req.deadline - now < service_ms * RETRY_LEFT
        # What a target has refused may go to another, whatever it does.
        repeatable = req.repeatable or attempt.may_have_run is None
        if late or attempt.left < 1 or not repeatable:
            return False
        spent = self.budgets.spend(req.service, now)
        self._telemetry.repeated(req, cause, spent)
        if spent.granted:
            attempt.req = dataclasses.replace(req, repeat=True)
        return spent.granted

    async def _ask(self, node: NodeId, req: RelayedRequest) -> RelayedAnswer:
        """Have another node run a request."""
        member = self._parts.members.members.get(node)
        if member is None:
            raise TargetDownError(f'{node} is not known', AWAY_RETRY_MS)
        member.outstanding += 1
        try:
            call = await self._send(member.status.address, req)
            return await self._receive(call, req)
        finally:
            member.outstanding -= 1

    async def _send(self, address: str, req: RelayedRequest) -> LinkStream:
        try:
            call = await self._parts.pool.open(address)
        except LinkError as exc:
            raise TargetDownError(str(exc), AWAY_RETRY_MS) from exc
        try:
            call.begin(lambda: relay_message(req, self._clock.now()))
        except LinkError as exc:
            call.close()
            raise TargetDownError(str(exc), AWAY_RETRY_MS) from exc
        except Exception:
            # Such as too large for a link: it could not move, either.
            call.close()
            raise
        return call

    async def _receive(
        self, call: LinkStream, req: RelayedRequest
    ) -> RelayedAnswer:
        left_ms = req.deadline - self._clock.now() + ANSWER_SLACK_MS
        try:
            return answer_of(await call.receive(left_ms))
        except LinkError as exc:
            call.cancel_at_peer()
            raise UncertainError(f'{call.peer}: {exc}') from exc
        except asyncio.CancelledError:
            call.cancel_at_peer()
            raise
        finally:
            call.close()

    # Ending -----------------------------------------------------------------

    def _refuse(self, exchange: Exchange, exc: RequestError) -> None:
        head = b''
        if exc.status in REFUSALS:
            retry_ms = max(MIN_RETRY_MS, exc.retry_after_ms)
            head = b'retry-after: %.3f\r\n' % (retry_ms / MS_PER_SECOND)
        exchange.reply(exc.status, head)
        self._telemetry.refused(exchange.req, self.names, exc)


def _cancel(task: 'asyncio.Task[None]') -> None:
    task.cancel()
