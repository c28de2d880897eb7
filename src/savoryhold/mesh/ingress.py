"""The ingress side of a node: relays callers' requests to their owners."""

import asyncio
import dataclasses
from functools import partial
from http import HTTPStatus

from savoryhold.core.errors import (
    LinkError,
    RequestError,
    UncertainError,
    release_frames,
)
from savoryhold.core.ids import NodeId, ServiceName, Zone
from savoryhold.core.verdict import Verdict
from savoryhold.mesh.admission import AdmissionTask
from savoryhold.mesh.codec import answer_from_message, relay_message
from savoryhold.mesh.forecasts import Forecasts
from savoryhold.mesh.node_chooser import AWAY_RETRY_MS, NodeChooser
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.request_reader import RequestReader
from savoryhold.mesh.requests import (
    NO_KEY,
    NoPlaceError,
    NoRoomError,
    RelayedAnswer,
    RelayedRequest,
    TargetDownError,
    WrongPlaceError,
)
from savoryhold.mesh.telemetry import Telemetry
from savoryhold.peer import LinkStream
from savoryhold.traffic import Route, SharedRetryBudgets
from savoryhold.wire import Exchange, HeaderNames, HttpRequest

__all__ = ['IngressTask']

MS_PER_SECOND = 1000
ANSWER_SLACK_MS = 40  # lets the owner's refusal of a late request arrive
MAX_TRIES = 60  # with the pauses between them, at least 0.9 s
MAX_REFUSALS = 2  # nodes that are tried after a first refusal
MIN_RETRY_MS = 50
RETRY_TIME_FACTOR = 2.0  # service times that must be left for a retry
# Pauses before the next try, by the code of the last refusal.
PAUSE_MS = {'moved': 15, 'shed': 30, 'target-down': 30, 'wrong-place': 15}
REFUSALS = frozenset(
    {HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS}
)


class _RequestState:
    """Progress of one request over its tries.

    Parameters
    ----------
    req : RelayedRequest
        The request.
    route : Route
        Route of the request.
    """

    def __init__(self, req: RelayedRequest, route: Route) -> None:
        self.req = req
        self.large = route.kind.large
        self.tries_left = max(1, route.attempts)
        self.last_node: NodeId | None = None
        self.failed_nodes: set[NodeId] = set()
        self.barred_zones: set[Zone] = set()
        self.chosen_again = False
        self.uncertain_error: RequestError | None = None
        # A target's answer to an earlier try, which reports a failure.
        self.failed_answer: RelayedAnswer | None = None

    def final_error(self, exc: RequestError) -> RequestError:
        """Return the error that is true of all tries together."""
        return self.uncertain_error or exc


class IngressTask:
    """Serves the callers of this node.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.
    names : HeaderNames
        Names of the product's headers.
    telemetry : Telemetry
        Log lines and counters of requests.
    """

    def __init__(
        self, context: NodeContext, names: HeaderNames, telemetry: Telemetry
    ) -> None:
        cfg = context.settings
        self.names = names
        self.budgets = SharedRetryBudgets(
            cfg.retry_ratio,
            cfg.retry_slack,
            cfg.retry_window_ms,
            context.clock.now(),
        )
        self._context = context
        self._clock = context.clock
        self._reader = RequestReader(context, names)
        self.forecasts = Forecasts(context, telemetry)
        self._chooser = NodeChooser(context, self.forecasts, telemetry)
        self.admission = AdmissionTask(context)
        self.telemetry = telemetry
        self._tasks: set[asyncio.Task[None]] = set()
        context.owner.runs.may_repeat_calls = self._may_repeat_calls

    def handle(self, exchange: Exchange) -> None:
        """Serve an exchange in a new task."""
        task = asyncio.ensure_future(self._serve(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        exchange.on_disconnect = partial(_cancel, task)

    def cap_deadlines(self, at: int) -> None:
        """Limit the deadlines of requests read from now on to a time."""
        self._reader.process_ends_at = at

    def accept_only_nested(self) -> None:
        """Refuse all requests except nested calls of the target's runs."""
        self._reader.only_nested_calls = True

    async def _serve(self, exchange: Exchange) -> None:
        http = exchange.req
        state: _RequestState | None = None
        try:
            state = _RequestState(*self._reader.read(http))
            answer = await self._answer_fairly(state)
        except RequestError as exc:
            self._refuse(exchange, exc, state)
            self._count_refusal(state, exc)
            release_frames(exc)
            return
        except asyncio.CancelledError:
            self._record_caller_gone(http, state)
            raise
        except Exception as exc:  # noqa: BLE001
            # An unexpected error must not leave the caller without an answer.
            self.telemetry.log.error('defect', error=repr(exc))
            self._refuse(exchange, UncertainError('internal error'))
            return
        sized = http.method != b'HEAD'
        exchange.reply(answer.status, answer.head, answer.body, sized=sized)
        self.telemetry.record_answer(state.req, answer, http.read_at)

    def _record_caller_gone(
        self, http: HttpRequest, state: _RequestState | None
    ) -> None:
        if state is None:
            self.telemetry.record_disconnect(http, self.names)
            return
        left_ms = state.req.deadline - self._clock.now()
        asked = state.last_node or ''
        self.telemetry.record_disconnect(
            http, self.names, asked=asked, left_ms=left_ms
        )

    # Tries ------------------------------------------------------------------

    async def _answer_fairly(self, state: _RequestState) -> RelayedAnswer:
        """Answer a request according to its standing among the callers."""
        if not self.admission.is_enabled():
            return await self._answer(state)
        run_priority = self._reader.run_priority(state.req.request)
        state.req = self.admission.begin(state.req, run_priority)
        refusal: RequestError | None = None
        answer: RelayedAnswer | None = None
        try:
            answer = await self._answer(state)
        except RequestError as exc:
            refusal = exc
            if state.last_node is not None:
                self.admission.record_refusal(state.req, state.last_node, exc)
            raise
        finally:
            answered = answer is not None and not _has_failed(answer)
            self.admission.end(state.req, refusal, answered=answered)
        if state.last_node is not None:
            self.admission.record_answer(state.req, state.last_node, answer)
        return answer

    async def _answer(self, state: _RequestState) -> RelayedAnswer:
        self._count_in_budget(state.req)
        state.req = self.forecasts.prepare(state.req)
        try:
            return await self._try_until_answered(state)
        except RequestError:
            if state.failed_answer is None:
                raise
            # The request has run, so that it must not be refused any more.
            return state.failed_answer

    async def _try_until_answered(self, state: _RequestState) -> RelayedAnswer:
        for _ in range(MAX_TRIES):
            try:
                answer = await self._try(state)
            except RequestError as exc:
                release_frames(exc)
                await self._prepare_retry(state, exc)
                continue
            again = _has_failed(answer) and state.req.repeatable
            cause = f'status-{answer.status}'
            if not again or not self._may_retry(state, cause):
                return answer
            state.failed_answer = answer
        raise state.final_error(
            TargetDownError('no node has accepted the request')
        )

    def _count_in_budget(self, req: RelayedRequest) -> None:
        """Count a request in its service's retry budget."""
        self.budgets.nodes = self._context.members.fleet_size()
        if req.repeat:
            self.budgets.count_repeated_call(req.service, self._clock.now())
        else:
            self.budgets.count_request(req.service, self._clock.now())

    def _may_repeat_calls(self, service: ServiceName) -> bool:
        return self.budgets.may_repeat_calls(service, self._clock.now())

    async def _try(self, state: _RequestState) -> RelayedAnswer:
        node = self._chooser.choose(
            state.req,
            state.failed_nodes,
            large=state.large,
            barred=state.barred_zones,
        )
        state.tries_left -= 1
        state.last_node = node
        state.chosen_again = node in state.failed_nodes
        try:
            if state.req.origin and not state.failed_nodes:
                self.admission.check_entry(state.req, node)
            answer = await self._ask(node, state.req)
        except RequestError as exc:
            self.forecasts.record_error(node, exc)
            state.failed_nodes.add(node)
            if exc.code == WrongPlaceError.code:
                state.barred_zones.add(self._chooser.zone_of(node))
            if exc.verdict is Verdict.NOT_RUN and exc.code != 'shed':
                # Nothing was sent to a target, so it is not an attempt.
                state.tries_left += 1
            raise
        self.forecasts.record_answer(node, state.req, answer)
        return answer

    async def _ask(self, node: NodeId, req: RelayedRequest) -> RelayedAnswer:
        if node == self._context.settings.node:
            return await self._context.owner.submit(req)
        return await self._relay(node, req)

    async def _prepare_retry(
        self, state: _RequestState, exc: RequestError
    ) -> None:
        """Pause before the next try, or raise the final error."""
        if exc.verdict is Verdict.MAY_HAVE_RUN:
            state.uncertain_error = exc
            if not self._may_retry(state, exc.code):
                raise exc
            return
        if self._is_final_error(state, exc):
            raise state.final_error(exc)
        pause_ms = PAUSE_MS.get(exc.code)
        if pause_ms is not None:
            await self._pause(state, exc, pause_ms)
        elif self._is_final(state, exc):
            raise state.final_error(exc)

    def _is_final_error(self, state: _RequestState, exc: RequestError) -> bool:
        """Return whether a refused request is not tried again at all."""
        if exc.code == 'shed':
            return not self._may_retry(state, exc.code)
        return exc.code == NoPlaceError.code

    def _is_final(self, state: _RequestState, exc: RequestError) -> bool:
        """Return whether a refusal of a full queue is final."""
        if isinstance(exc, NoRoomError) or state.req.key != NO_KEY:
            return True
        if len(state.failed_nodes) > MAX_REFUSALS:
            return True
        # With fewer nodes than that, one that has refused is chosen again.
        return self.admission.is_enabled() and state.chosen_again

    async def _pause(
        self, state: _RequestState, exc: RequestError, pause_ms: int
    ) -> None:
        limit = min(state.req.deadline, state.req.aim_at)
        if self._clock.now() + pause_ms >= limit:
            raise state.final_error(exc)
        await asyncio.sleep(pause_ms / MS_PER_SECOND)

    def _may_retry(self, state: _RequestState, cause: str) -> bool:
        """Return whether the request may be sent to a target once more."""
        req = state.req
        now = self._clock.now()
        service_ms = req.expected_ms or (
            self._context.owner.queue.service_ms(req.route)
        )
        late = req.deadline - now < service_ms * RETRY_TIME_FACTOR
        # A request that no target has run may be retried, idempotent or not.
        repeatable = req.repeatable or state.uncertain_error is None
        if late or state.tries_left < 1 or not repeatable:
            return False
        decision = self.budgets.spend(req.service, now)
        self.telemetry.record_retry(req, cause, decision)
        if decision.granted:
            state.req = dataclasses.replace(req, repeat=True)
        return decision.granted

    async def _relay(self, node: NodeId, req: RelayedRequest) -> RelayedAnswer:
        """Relay a request to another node."""
        member = self._context.members.members.get(node)
        if member is None:
            raise TargetDownError(f'{node} is not a known node', AWAY_RETRY_MS)
        member.outstanding += 1
        number = self.forecasts.begin(member, req)
        try:
            call = await self._send(member.status.address, req)
            return await self._receive(call, req)
        finally:
            member.outstanding -= 1
            member.record.end(number)

    async def _send(self, address: str, req: RelayedRequest) -> LinkStream:
        try:
            call = await self._context.pool.open(address)
        except LinkError as exc:
            raise TargetDownError(str(exc), AWAY_RETRY_MS) from exc
        try:
            call.begin(lambda: relay_message(req, self._clock.now()))
        except LinkError as exc:
            call.close()
            raise TargetDownError(str(exc), AWAY_RETRY_MS) from exc
        except Exception:
            # Such as a request too large for a link, which cannot be resumed.
            call.close()
            raise
        return call

    async def _receive(
        self, call: LinkStream, req: RelayedRequest
    ) -> RelayedAnswer:
        left_ms = req.deadline - self._clock.now() + ANSWER_SLACK_MS
        try:
            return answer_from_message(await call.receive(left_ms))
        except LinkError as exc:
            call.cancel_at_peer()
            raise UncertainError(f'{call.peer}: {exc}') from exc
        except asyncio.CancelledError:
            call.cancel_at_peer()
            raise
        finally:
            call.close()

    # Refusals ---------------------------------------------------------------

    def _refuse(
        self,
        exchange: Exchange,
        exc: RequestError,
        state: _RequestState | None = None,
    ) -> None:
        head = b''
        if exc.status in REFUSALS:
            retry_ms = max(MIN_RETRY_MS, exc.retry_after_ms)
            head = b'retry-after: %.3f\r\n' % (retry_ms / MS_PER_SECOND)
        exchange.reply(exc.status, head)
        self.telemetry.record_refusal(
            exchange.req,
            self.names,
            exc,
            self._context.configs.version,
            None if state is None else state.req,
        )

    def _count_refusal(
        self, state: _RequestState | None, exc: RequestError
    ) -> None:
        """Count a refusal by route, by zone of the owner, and by reason."""
        if state is None or not self.admission.is_enabled():
            return
        members = self._context.members.members
        member = members.get(state.last_node or NodeId(''))
        zone = self._context.settings.zone
        if member is not None:
            zone = member.status.zone
        self.telemetry.refusals[(state.req.route, zone, exc.code)] += 1


def _has_failed(answer: RelayedAnswer) -> bool:
    return answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR


def _cancel(task: 'asyncio.Task[None]') -> None:
    task.cancel()
