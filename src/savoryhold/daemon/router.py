"""Requests at their ingress: choice of the owner, forwarding and retries."""

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator

from savoryhold.core.clock import Clock
from savoryhold.core.errors import (
    DeadlineError,
    LinkError,
    MalformedMessageError,
    NotOwnerError,
    OverloadError,
    RequestError,
    UncertainError,
)
from savoryhold.core.routed_request import RoutedAnswer, RoutedRequest
from savoryhold.core.ids import NodeId
from savoryhold.core.retry import (
    RetryBudgets,
    AttemptHistory,
    backoff_ms,
    may_retry,
)
from savoryhold.core.selection import LatencyTable, best_of_two
from savoryhold.daemon.convert import answer_headers, to_forward
from savoryhold.daemon.answer_errors import error_of
from savoryhold.daemon.node import NodeTask
from savoryhold.daemon.owner import OwnerTask
from savoryhold.daemon.streams import TrackedStream
from savoryhold.peer import LinkStream, messages
from savoryhold.peer.packing import unpack

__all__ = ['RouterTask']

GRACE_MS = 150
RECORD_CHECK_MS = 100
PROBE_TIMEOUT_MS = 1000  # probe of a node whose record is no longer live
MS_PER_SECOND = 1000
CHUNK_TIMEOUT_MS = 10_000  # wait for a chunk once the deadline has passed
CREDIT_CHUNKS = 8
MIN_ATTEMPT_MS = 1


class RouterTask:
    """Routes callers' requests that enter at this daemon.

    Parameters
    ----------
    node : NodeTask
        Routes, addresses and links of other nodes.
    owner : OwnerTask
        Runs requests that this node owns.
    clock : Clock
        Source of time.
    """

    def __init__(self, node: NodeTask, owner: OwnerTask, clock: Clock) -> None:
        self.budgets = RetryBudgets()
        self.latencies = LatencyTable()
        self.parked = 0
        self.retries: Counter[str] = Counter()
        self._node = node
        self._owner = owner
        self._clock = clock
        self._max_parked = node.settings.limits.parked

    async def handle(self, req: RoutedRequest) -> RoutedAnswer:
        """Return the answer to a request.

        Raises
        ------
        RequestError
            If no attempt brought an answer; its verdict says whether the
            request may have run.
        """
        history = AttemptHistory()
        while True:
            try:
                answer = await self._attempt(req, history)
            except RequestError as exc:
                history.record_failure(exc)
                await self._before_retry(req, history)
            else:
                self.budgets.of(req.service).record_success()
                return answer

    async def _before_retry(
        self, req: RoutedRequest, history: AttemptHistory
    ) -> None:
        exc = history.last
        wait_ms = backoff_ms(history.count, random.random())
        late = self._clock.now() + wait_ms >= req.deadline
        if late or not may_retry(exc, idempotent=req.idempotent):
            raise history.outcome()
        self.retries[exc.code] += 1
        if isinstance(exc, NotOwnerError):
            await self._park(history, wait_ms)
        elif self.budgets.of(req.service).spend():
            await asyncio.sleep(wait_ms / MS_PER_SECOND)
        else:
            raise history.outcome()

    async def _park(self, history: AttemptHistory, wait_ms: int) -> None:
        # The attempt reached no target, so it is not charged to the retry
        # budget.
        if self.parked >= self._max_parked:
            history.record_failure(
                OverloadError('too many requests wait for an owner')
            )
            raise history.outcome()
        self.parked += 1
        try:
            await asyncio.sleep(wait_ms / MS_PER_SECOND)
        finally:
            self.parked -= 1

    async def _attempt(
        self, req: RoutedRequest, history: AttemptHistory
    ) -> RoutedAnswer:
        if self._clock.now() >= req.deadline:
            raise DeadlineError('the deadline passed before an owner was found')
        owner = self._choose_owner(req)
        if owner == self._node.node:
            return await self._owner.handle(req)
        started = self._clock.now()
        self.latencies.begin(owner)
        try:
            return await self._forward(owner, req, history)
        except RequestError:
            self.latencies.record_failure(owner)
            raise
        finally:
            self.latencies.end(owner, self._clock.now() - started)

    def _choose_owner(self, req: RoutedRequest) -> NodeId:
        directory = self._node.machine.directory
        if req.shard is not None:
            grant = directory.route(req.shard)
            if grant is None:
                raise NotOwnerError(f'shard {req.shard} has no owner yet')
            return grant.owner
        nodes = directory.offering(req.service)
        here = [
            record.node
            for record in nodes
            if record.profile.region == self._node.settings.node.region
        ]
        pool = here or [record.node for record in nodes]
        choice = best_of_two(pool, self.latencies, random.random)
        if choice is None:
            raise NotOwnerError(f'no target serves {req.service!r}')
        return choice

    async def _forward(
        self, owner: NodeId, req: RoutedRequest, history: AttemptHistory
    ) -> RoutedAnswer:
        address = self._node.address_of(owner)
        if address is None:
            raise NotOwnerError(f'owner {owner} has no known address')
        try:
            return await self._forward_once(address, owner, req)
        except LinkError as exc:
            self._check_may_repeat(owner, req, exc, history, sent=exc.sent)
        return await self._repeat_forward(address, owner, req, history)

    async def _repeat_forward(
        self,
        address: str,
        owner: NodeId,
        req: RoutedRequest,
        history: AttemptHistory,
    ) -> RoutedAnswer:
        """Forward a request again to an owner that may have received it."""
        count = 0
        while True:
            wait_ms = backoff_ms(count, random.random())
            await asyncio.sleep(wait_ms / MS_PER_SECOND)
            count += 1
            try:
                return await self._forward_once(
                    address, owner, req, is_repeat=True
                )
            except LinkError as exc:
                self._check_may_repeat(owner, req, exc, history, sent=True)
            except RequestError as exc:
                if req.shard is not None:
                    raise
                # The owner may refuse this repeat and still read the request
                # from the lost link afterwards.
                raise history.outcome() from exc

    def _check_may_repeat(
        self,
        owner: NodeId,
        req: RoutedRequest,
        exc: LinkError,
        history: AttemptHistory,
        *,
        sent: bool,
    ) -> None:
        """Raise unless the request may be sent to the same owner again.

        Notes
        -----
        The owner's ledger joins a repeat to the run of the same id.  An
        owner whose record was claimed answers no more requests of its
        shards; the request ids of its ledger are with the new owner, which
        knows whether the request may have run.  A request without a key is
        known to no other node.
        """
        if not sent:
            raise NotOwnerError(f'owner {owner}: {exc}') from exc
        uncertain = UncertainError(f'owner {owner}: {exc}')
        history.record_uncertain(uncertain)
        live = self._is_live(owner)
        if req.shard is not None and not live:
            raise NotOwnerError(f'owner {owner} was claimed') from exc
        late = self._clock.now() >= req.deadline
        lost = not live and not exc.sent
        if late or lost or (req.shard is None and req.idempotent):
            raise uncertain from exc

    def _is_live(self, owner: NodeId) -> bool:
        return self._node.machine.directory.is_live(owner)

    async def _forward_once(
        self,
        address: str,
        owner: NodeId,
        req: RoutedRequest,
        *,
        is_repeat: bool = False,
    ) -> RoutedAnswer:
        call = await self._node.pool.open(address)
        if is_repeat and req.shard is None and call.peer != owner:
            # A restarted process has another node id and an empty ledger,
            # and would run the request again.
            call.close()
            raise UncertainError(
                f'owner {owner} has ended; the request may have run'
            )
        now = self._clock.now()
        try:
            call.send(to_forward(req, now))
            left_ms = max(req.deadline - now, MIN_ATTEMPT_MS) + GRACE_MS
            first = await self._receive_first(call, owner, req, now + left_ms)
        except asyncio.CancelledError:
            _cancel(call)
            call.close()
            raise
        except LinkError:
            call.close()
            raise
        return self._read_answer(call, first, req.deadline)

    async def _receive_first(
        self, call: LinkStream, owner: NodeId, req: RoutedRequest, until: int
    ) -> messages.Message:
        while True:
            left_ms = until - self._clock.now()
            try:
                return await call.receive(min(left_ms, RECORD_CHECK_MS))
            except LinkError:
                ended = call.link.closed or left_ms <= RECORD_CHECK_MS
                if ended or await self._is_answer_lost(call, owner, req):
                    raise

    async def _is_answer_lost(
        self, call: LinkStream, owner: NodeId, req: RoutedRequest
    ) -> bool:
        """Return whether the owner is lost and will not answer.

        Notes
        -----
        Requests without a key need no lease and go on after the node's
        record was deleted.  Their answer is waited for while the node
        responds to probes, and in any case if the request is not
        idempotent, since no other node may run it instead.
        """
        if self._is_live(owner):
            return False
        if req.shard is not None or not req.idempotent:
            return req.shard is not None
        try:
            await call.link.call(messages.Probe(), PROBE_TIMEOUT_MS)
        except LinkError:
            return True
        return False

    def _read_answer(
        self, call: LinkStream, first: messages.Message, deadline: int
    ) -> RoutedAnswer:
        exc = error_of(first)
        if exc is not None:
            call.close()
            raise exc
        body = _unpacked_body(first)
        rest: AsyncIterator[bytes] | None = None
        if first.more:
            rest = TrackedStream(self._read_chunks(call, deadline), call.close)
        else:
            call.close()
        return RoutedAnswer(first.status, answer_headers(first), body, rest)

    async def _read_chunks(
        self, call: LinkStream, deadline: int
    ) -> AsyncIterator[bytes]:
        more = True
        received = 0
        try:
            while more:
                left_ms = deadline - self._clock.now()
                chunk = await call.receive(max(left_ms, CHUNK_TIMEOUT_MS))
                if chunk.failed:
                    raise UncertainError('the target broke off its answer')
                received += 1
                more = chunk.more
                if received % (CREDIT_CHUNKS // 2) == 0:
                    _send_credit(call)
                yield _unpacked_body(chunk)
        except LinkError as exc:
            raise UncertainError(
                f'the link failed during the answer: {exc}'
            ) from exc
        finally:
            if more:
                _cancel(call)


def _cancel(call: LinkStream) -> None:
    try:
        call.send(messages.Cancel())
    except LinkError:
        # No link is left to send the cancellation on.
        return


def _send_credit(call: LinkStream) -> None:
    try:
        call.send(messages.Credit(chunks=CREDIT_CHUNKS // 2))
    except LinkError:
        # All chunks may have arrived before the link closed; otherwise the
        # next `receive` raises.
        return


def _unpacked_body(message: messages.Message) -> bytes:
    try:
        return unpack(message.body or b'', packed=bool(message.packed))
    except MalformedMessageError as exc:
        raise UncertainError(
            f'the body of the answer does not decompress: {exc}'
        ) from exc
