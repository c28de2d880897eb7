"""Handlers of the calls that other daemons start."""

from functools import singledispatchmethod

from savoryhold.core.clock import Clock
from savoryhold.core.errors import RequestError
from savoryhold.core.routed_request import RoutedAnswer
from savoryhold.core.ids import (
    NodeId,
    RequestId,
    ServiceName,
    ShardId,
    ShardKey,
    Version,
)
from savoryhold.core.poison import Fingerprint, Strike
from savoryhold.daemon.balancer import BalancerTask
from savoryhold.daemon.convert import (
    from_forward,
    from_ledger_item,
    update_from_message,
    update_to_message,
    to_answer,
    to_error_answer,
)
from savoryhold.daemon.gossiper import GossipTask
from savoryhold.daemon.node import NodeTask
from savoryhold.daemon.owner import OwnerTask
from savoryhold.daemon.service import DaemonService
from savoryhold.daemon.streams import close_stream
from savoryhold.peer import LinkStream, messages
from savoryhold.peer.packing import pack

__all__ = ['PeerTask']

CREDIT_CHUNKS = 8
CREDIT_TIMEOUT_MS = 10_000


class PeerTask:
    """Handles calls from other daemons, one method for each message type.

    Parameters
    ----------
    node : NodeTask
        Ownership, the gossip table and the backup ledger.
    owner : OwnerTask
        Runs forwarded requests.
    gossip : GossipTask
        Answers digest swaps and pulls.
    balancer : BalancerTask
        Answers requests for shards and load queries.
    service : DaemonService
        Carries out relayed operators' commands.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        node: NodeTask,
        owner: OwnerTask,
        gossip: GossipTask,
        balancer: BalancerTask,
        service: DaemonService,
        clock: Clock,
    ) -> None:
        self._service = service
        self._node = node
        self._owner = owner
        self._gossip = gossip
        self._balancer = balancer
        self._clock = clock

    async def handle(self, call: LinkStream, message: messages.Message) -> None:
        """Handle the first message of a call."""
        await self._handle(message, call)

    @singledispatchmethod
    async def _handle(
        self, message: messages.Message, call: LinkStream
    ) -> None:
        name = type(message).__name__
        self._node.log.warning('peer_unexpected', peer=call.peer, kind=name)
        call.send(messages.Ack(ok=False, text=f'{name} does not start a call'))

    @_handle.register(messages.Probe)
    async def _(self, message: messages.Message, call: LinkStream) -> None:
        call.send(messages.Ack(ok=True, text=''))

    @_handle.register(messages.Heartbeat)
    async def _(self, message: messages.Message, call: LinkStream) -> None:
        machine = self._node.machine
        reply = machine.heartbeat(
            NodeId(message.holder),
            Version(message.version),
            self._clock.now(),
        )
        newer = []
        if reply.newer is not None:
            item = self._node.gossip_table.get(reply.newer.name)
            newer = [update_to_message(item)] if item else []
        call.send(messages.Promise(promised=reply.promised, newer=newer))

    @_handle.register(messages.ObjectUpdateBatch)
    async def _(self, message: messages.Message, call: LinkStream) -> None:
        for entry in message.items:
            self._node.learn(update_from_message(entry))
        call.send(messages.Ack(ok=True, text=''))

    @_handle.register(messages.DigestSwap)
    async def _(self, message: messages.Message, call: LinkStream) -> None:
        call.send(self._gossip.answer_digest(message))

    @_handle.register(messages.Pull)
    async def _(self, message: messages.Message, call: LinkStream) -> None:
        call.send(self._gossip.answer_pull(message))

    @_handle.register(messages.LedgerAppend)
    async def _(self, message: messages.Message, call: LinkStream) -> None:
        now = self._clock.now()
        holder = NodeId(message.holder)
        stored = [
            self._node.backup_ledger.append(
                holder,
                _shard_key(entry),
                RequestId(entry.request_id),
                now,
            )
            for entry in message.ids
        ]
        call.send(messages.Ack(ok=all(stored), text=''))

    @_handle.register(messages.LedgerHandover)
    async def _(self, message: messages.Message, call: LinkStream) -> None:
        now = self._clock.now()
        self._owner.ledger.adopt(
            from_ledger_item(entry, now) for entry in message.items or ()
        )
        if message.items:
            await self._node.replicator.resync()
        call.send(messages.Ack(ok=True, text=''))

    @_handle.register(messages.StrikeNotice)
    async def _(self, message: messages.Message, call: LinkStream) -> None:
        strike = Strike(Fingerprint(message.fingerprint), message.incident)
        if self._owner.poison.strike(strike, self._clock.now()):
            self._gossip.push_strike(strike)
        call.send(messages.Ack(ok=True, text=''))

    @_handle.register(messages.ShareRequest)
    async def _(self, message: messages.Message, call: LinkStream) -> None:
        call.send(messages.Ack(ok=True, text=''))
        await self._balancer.on_share_request(
            NodeId(message.node),
            ServiceName(message.service_name),
            message.wanted,
        )

    @_handle.register(messages.LoadQuery)
    async def _(self, message: messages.Message, call: LinkStream) -> None:
        call.send(self._balancer.answer_load(message))

    @_handle.register(messages.OperatorCommand)
    async def _(self, message: messages.Message, call: LinkStream) -> None:
        try:
            await self._service.on_operator_command(message)
        except RequestError as exc:
            call.send(messages.Ack(ok=False, text=str(exc)))
        else:
            call.send(messages.Ack(ok=True, text=''))

    @_handle.register(messages.Forward)
    async def _(self, message: messages.Message, call: LinkStream) -> None:
        req = from_forward(message, self._clock)
        try:
            answer = await self._owner.handle(req)
        except RequestError as exc:
            call.send(to_error_answer(exc))
            return
        is_remote = req.region != self._node.settings.node.region
        await self._send_answer(call, answer, is_remote=is_remote)

    async def _send_answer(
        self, call: LinkStream, answer: RoutedAnswer, *, is_remote: bool
    ) -> None:
        first = to_answer(answer)
        if is_remote:
            first.body, first.packed = pack(answer.body)
        try:
            call.send(first)
            if answer.rest is not None:
                await self._send_rest(call, answer, is_remote=is_remote)
        finally:
            await close_stream(answer.rest)

    async def _send_rest(
        self, call: LinkStream, answer: RoutedAnswer, *, is_remote: bool
    ) -> None:
        credit = CREDIT_CHUNKS
        assert answer.rest is not None
        try:
            async for chunk in answer.rest:
                while not credit:
                    credit += await _next_credit(call)
                call.send(_chunk(chunk, is_remote=is_remote))
                credit -= 1
        except RequestError:
            call.send(messages.Chunk(body=b'', more=False, failed=True))
            return
        call.send(messages.Chunk(body=b'', more=False, failed=False))


def _chunk(body: bytes, *, is_remote: bool) -> messages.Message:
    packed = False
    if is_remote:
        body, packed = pack(body)
    return messages.Chunk(body=body, more=True, failed=False, packed=packed)


async def _next_credit(call: LinkStream) -> int:
    message = await call.receive(CREDIT_TIMEOUT_MS)
    return int(message.chunks)


def _shard_key(entry: messages.Message) -> ShardKey:
    return ShardKey(ServiceName(entry.service_name), ShardId(entry.shard))
