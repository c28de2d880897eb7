"""The ingress side: finds the owner of a request and asks it."""

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
from savoryhold.daemon.errors_map import error_of
from savoryhold.daemon.node import NodeTask
from savoryhold.daemon.owner import OwnerTask
from savoryhold.daemon.streams import HeldStream
from savoryhold.peer import LinkStream, messages
from savoryhold.peer.packing import unpack

__all__ = ['RouterTask']

GRACE_MS = 150
LOOK_MS = 100
PROBE_LIMIT_MS = 1000  # of a link to a node whose record has gone
MS_PER_SECOND = 1000
CHUNK_LIMIT_MS = 10_000  # between chunks, once the deadline has passed
CREDIT_CHUNKS = 8
MIN_TRY_MS = 1


class RouterTask:
    """Routes callers' requests that enter at this daemon.

    Parameters
    ----------
    node : NodeTask
        Routes and addresses.
    owner : OwnerTask
        Serves what this node owns.
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
        self._limit = node.settings.limits.parked

    async def handle(self, req: RoutedRequest) -> RoutedAnswer:
        """Return the answer to a request.

        Raises
        ------
        RequestError
            With the verdict that is known, when no try brought an answer.
        """
        tries = AttemptHistory()
        while True:
            try:
                answer = await self._try(req, tries)
            except RequestError as exc:
                tries.failed(exc)
                await self._before_retry(req, tries)
            else:
                self.budgets.of(req.service).succeeded()
                return answer

    async def _before_retry(
        self, req: RoutedRequest, tries: AttemptHistory
    ) -> None:
        exc = tries.last
        wait_ms = backoff_ms(tries.count, random.random())
        late = self._clock.now() + wait_ms >= req.deadline
        if late or not may_retry(exc, idempotent=req.idempotent):
            raise tries.outcome()
        self.retries[exc.code] += 1
        if isinstance(exc, NotOwnerError):
            await self._park(tries, wait_ms)
        elif self.budgets.of(req.service).spend():
            await asyncio.sleep(wait_ms / MS_PER_SECOND)
        else:
            raise tries.outcome()

    async def _park(self, tries: AttemptHistory, wait_ms: int) -> None:
        # Nothing reached a target, so that this try costs no retry budget.
        if self.parked >= self._limit:
            tries.failed(OverloadError('too many requests wait for an owner'))
            raise tries.outcome()
        self.parked += 1
        try:
            await asyncio.sleep(wait_ms / MS_PER_SECOND)
        finally:
            self.parked -= 1

    async def _try(
        self, req: RoutedRequest, tries: AttemptHistory
    ) -> RoutedAnswer:
        if self._clock.now() >= req.deadline:
            raise DeadlineError('deadline passed before an owner was found')
        owner = self._choose(req)
        if owner == self._node.node:
            return await self._owner.handle(req)
        started = self._clock.now()
        self.latencies.begin(owner)
        try:
            return await self._ask(owner, req, tries)
        except RequestError:
            self.latencies.record_failure(owner)
            raise
        finally:
            self.latencies.end(owner, self._clock.now() - started)

    def _choose(self, req: RoutedRequest) -> NodeId:
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

    async def _ask(
        self, owner: NodeId, req: RoutedRequest, tries: AttemptHistory
    ) -> RoutedAnswer:
        address = self._node.address_of(owner)
        if address is None:
            raise NotOwnerError(f'owner {owner} has no known address')
        try:
            return await self._ask_once(address, owner, req)
        except LinkError as exc:
            self._check_ask_again(owner, req, exc, tries, sent=exc.sent)
        return await self._ask_again(address, owner, req, tries)

    async def _ask_again(
        self,
        address: str,
        owner: NodeId,
        req: RoutedRequest,
        tries: AttemptHistory,
    ) -> RoutedAnswer:
        """Ask an owner that may have a request, until it answers."""
        count = 0
        while True:
            wait_ms = backoff_ms(count, random.random())
            await asyncio.sleep(wait_ms / MS_PER_SECOND)
            count += 1
            try:
                return await self._ask_once(address, owner, req, again=True)
            except LinkError as exc:
                self._check_ask_again(owner, req, exc, tries, sent=True)
            except RequestError as exc:
                if req.shard is not None:
                    raise
                # Bytes of the lost link may be read after this refusal.
                raise tries.outcome() from exc

    def _check_ask_again(
        self,
        owner: NodeId,
        req: RoutedRequest,
        exc: LinkError,
        tries: AttemptHistory,
        *,
        sent: bool,
    ) -> None:
        """Raise unless the same owner may be asked for the same id again.

        Notes
        -----
        The owner's ledger joins another question to the run that it knows.
        A claimed owner sends nothing more for its shards, and its ledger's
        ids are with the new owner, who knows whether the request may have
        run.  Without keys no other node knows it.
        """
        if not sent:
            raise NotOwnerError(f'owner {owner}: {exc}') from exc
        uncertain = UncertainError(f'owner {owner}: {exc}')
        tries.may_have_run(uncertain)
        live = self._is_live(owner)
        if req.shard is not None and not live:
            raise NotOwnerError(f'owner {owner} was claimed') from exc
        late = self._clock.now() >= req.deadline
        gone = not live and not exc.sent
        if late or gone or (req.shard is None and req.idempotent):
            raise uncertain from exc

    def _is_live(self, owner: NodeId) -> bool:
        return self._node.machine.directory.is_live(owner)

    async def _ask_once(
        self,
        address: str,
        owner: NodeId,
        req: RoutedRequest,
        *,
        again: bool = False,
    ) -> RoutedAnswer:
        call = await self._node.pool.open(address)
        if again and req.shard is None and call.peer != owner:
            # Another life of the process has no memory of the request.
            call.close()
            raise UncertainError(f'owner {owner} has ended')
        now = self._clock.now()
        try:
            call.send(to_forward(req, now))
            left_ms = max(req.deadline - now, MIN_TRY_MS) + GRACE_MS
            first = await self._first_answer(call, owner, req, now + left_ms)
        except asyncio.CancelledError:
            _cancel(call)
            call.close()
            raise
        except LinkError:
            call.close()
            raise
        return self._read_answer(call, first, req.deadline)

    async def _first_answer(
        self, call: LinkStream, owner: NodeId, req: RoutedRequest, until: int
    ) -> messages.Message:
        while True:
            left_ms = until - self._clock.now()
            try:
                return await call.receive(min(left_ms, LOOK_MS))
            except LinkError:
                ended = call.link.closed or left_ms <= LOOK_MS
                if ended or await self._is_over(call, owner, req):
                    raise

    async def _is_over(
        self, call: LinkStream, owner: NodeId, req: RoutedRequest
    ) -> bool:
        """Return whether an owner's record says that no answer comes.

        Notes
        -----
        Work without keys needs no lease, and outlives its node's record.  To
        give it up helps only where another node may run it instead.
        """
        if self._is_live(owner):
            return False
        if req.shard is not None or not req.idempotent:
            return req.shard is not None
        try:
            await call.link.call(messages.Probe(), PROBE_LIMIT_MS)
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
        body = _body_of(first)
        rest: AsyncIterator[bytes] | None = None
        if first.more:
            rest = HeldStream(self._read_chunks(call, deadline), call.close)
        else:
            call.close()
        return RoutedAnswer(first.status, answer_headers(first), body, rest)

    async def _read_chunks(
        self, call: LinkStream, deadline: int
    ) -> AsyncIterator[bytes]:
        more = True
        seen = 0
        try:
            while more:
                left_ms = deadline - self._clock.now()
                chunk = await call.receive(max(left_ms, CHUNK_LIMIT_MS))
                if chunk.failed:
                    raise UncertainError('the answer broke off at its target')
                seen += 1
                more = chunk.more
                if seen % (CREDIT_CHUNKS // 2) == 0:
                    _send_credit(call)
                yield _body_of(chunk)
        except LinkError as exc:
            raise UncertainError(f'the answer broke off: {exc}') from exc
        finally:
            if more:
                _cancel(call)


def _cancel(call: LinkStream) -> None:
    try:
        call.send(messages.Cancel())
    except LinkError:
        # The link is gone, and with it the wish to cancel.
        return


def _send_credit(call: LinkStream) -> None:
    try:
        call.send(messages.Credit(chunks=CREDIT_CHUNKS // 2))
    except LinkError:
        # What has arrived may be the rest; the next wait tells.
        return


def _body_of(message: messages.Message) -> bytes:
    try:
        return unpack(message.body or b'', packed=bool(message.packed))
    except MalformedMessageError as exc:
        raise UncertainError(f'the answer is damaged: {exc}') from exc
