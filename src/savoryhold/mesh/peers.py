"""Messages between nodes: statuses, tables and relayed requests."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod
from typing import Any

from savoryhold.core.errors import LinkError, RequestError, release_frames
from savoryhold.core.ids import Epoch, NodeId, ServiceName
from savoryhold.mesh.codec import (
    as_bytes,
    confirmation_message,
    error_message,
    request_from_message,
    status_from_message,
    table_delta_message,
    table_message,
)
from savoryhold.mesh.digest_task import DigestTask
from savoryhold.mesh.losses import LossDetector
from savoryhold.mesh.members import NodeStatus
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.places import Place
from savoryhold.mesh.strikes import StrikeTask
from savoryhold.mesh.tickets import room_ms
from savoryhold.peer import LinkStream, messages
from savoryhold.ranges import RangeTable, Span

__all__ = ['PeerTask']

MS_PER_SECOND = 1000
STATUS_SLACK_MS = 100  # a status is sent up to this early
SEND_LIMIT_MS = 300
# Messages that have no reply.
_ONE_WAY = (
    messages.MeshStatus,
    messages.TableUpdate,
    messages.StrikeNotice,
    messages.MemberDigest,
    messages.ConfigUpdate,
    messages.ZoneBroadcast,
)

_Serve = Callable[
    [LinkStream, messages.Message, int], Coroutine[Any, Any, None]
]
_Receive = Callable[[NodeId, messages.Message], None]


class PeerTask:
    """Serves calls of other nodes and sends them this node's status.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.
    """

    def __init__(self, context: NodeContext) -> None:
        self.leaving = False
        self._settings = context.settings
        self._members = context.members
        self._owner = context.owner
        self._tables = context.tables
        self._configs = context.configs
        self._pool = context.pool
        self._places = context.places
        self._clock = context.clock
        self._log = context.log
        self._last_alive: frozenset[NodeId] = frozenset()
        self._status_sent_at: dict[NodeId, int] = {}
        # Calls that take time, and one-way messages whose sender matters.
        self._serving: dict[type, _Serve] = {
            messages.Relay: self._relay,
            messages.TableRequest: self._write_table,
        }
        self.strikes = StrikeTask(context, self._send_soon, self._send_all)
        self._receiving: dict[type, _Receive] = {
            messages.StrikeNotice: self.strikes.receive,
            messages.ConfigUpdate: self._receive_config,
            messages.ZoneBroadcast: self._receive_broadcast,
        }
        self._losses = LossDetector(context.members)
        self.digests = DigestTask(context, self._send_soon, self.status_message)

    async def handle(self, call: LinkStream, message: messages.Message) -> None:
        """Serve a call of another node, or process a one-way message."""
        sent_at = self._sent_at(call, message)
        kind = type(message)
        serve = self._serving.get(kind)
        if serve is not None:
            await serve(call, message, sent_at)
        elif kind in _ONE_WAY:
            self._receive(NodeId(call.peer), message)
        else:
            call.send(self._answer(message))

    async def run(self) -> None:
        """Send this node's status to all members until cancelled."""
        while True:
            self._send_due_statuses()
            period_ms = self._members.period_ms(self._members.place)
            await asyncio.sleep(period_ms / MS_PER_SECOND)
            self._log_member_changes()

    def introduce(self) -> None:
        """Send this node's status at once to those that receive it from here.

        In a large fleet the next digest brings it to the other zones: many
        nodes may be starting at the same time.
        """
        self._status_sent_at.clear()
        self._send_due_statuses()

    def broadcast_status(self) -> None:
        """Send this node's status to all members at once."""
        self.introduce()
        if self._members.by_zone:
            self._broadcast_to_zones(self.status_message())

    def broadcast_config(self) -> None:
        """Send what the configuration in force has changed to all members."""
        update = self._configs.push_message()
        if update is None:
            self.broadcast_status()
        else:
            self._send_all(update)

    def broadcast_table(
        self, table: RangeTable, older: RangeTable | None
    ) -> None:
        """Send a new table, or its changed rows, to all live members."""
        if older is None:
            message = table_message(table)
        else:
            message = table_delta_message(table, older)
        if self._members.by_zone:
            self._send_all(message)
            return
        for member in self._members.live_members(self._clock.now()):
            self._send_soon(member.status.address, message)

    def status_message(self) -> messages.Message:
        """Return this node's status."""
        now = self._clock.now()
        cfg = self._settings
        return messages.MeshStatus(
            node=cfg.node,
            address=cfg.advertised,
            service_name=cfg.service,
            zone=cfg.zone,
            region=cfg.region,
            **self._owner.advertised(),
            demand=self._owner.demand(now),
            keys=self._tables.owned_key_count(),
            ready=self._owner.target.is_ready(),
            leaving=self.leaving,
            life=self._tables.life,
            config_version=self._configs.version,
            tables=[
                messages.TableVersion(
                    service_name=table.service, version=table.version
                )
                for table in self._tables.tables.values()
            ],
            silent=sorted(self._losses.silent_nodes(now)),
            silent_zones=sorted(self._losses.silent_zones(now)),
            sent_at=now,
            store_lost=not self._configs.store_reachable,
            config_at=self._configs.checked.revision,
            config_age_ms=now - self._configs.checked.at,
            work_ms=self._owner.queue.work_ms(now),
            evacuated=sorted(self._places.evacuated),
            evacuated_at=self._places.evacuated_at,
        )

    def _send_due_statuses(self) -> None:
        """Send this node's status to the members for which it is due."""
        now = self._clock.now()
        status = self.status_message()
        for node in self._status_receivers():
            period_ms = self._members.period_ms(self._place_of(node))
            due = self._status_sent_at.get(node, 0) + period_ms
            if now >= due - STATUS_SLACK_MS:
                self._status_sent_at[node] = now
                self._send_soon(self._members.addresses[node], status)

    def _status_receivers(self) -> list[NodeId]:
        """Return the nodes that receive the status from this node itself."""
        if self._members.by_zone:
            return list(self._members.zone_peers())
        return list(self._members.addresses)

    def _place_of(self, node: NodeId) -> Place:
        if node in self._members.members or self._members.by_zone:
            return self._members.index.places[node]
        # A small fleet tries all nodes at the rate of the own region.
        return self._members.place

    def _send_all(self, message: messages.Message) -> None:
        """Send a one-way message to all members, by relays if they are many."""
        for node in self._status_receivers():
            self._send_soon(self._members.addresses[node], message)
        if self._members.by_zone:
            self._broadcast_to_zones(message)

    def _broadcast_to_zones(self, message: messages.Message) -> None:
        """Have the relays of all other zones pass a message on."""
        now = self._clock.now()
        wrapped = messages.ZoneBroadcast(
            code=messages.code_of(message), payload=messages.encode(message)
        )
        for zone in self._members.other_zones():
            for node in self._members.relays(zone, now):
                self._send_soon(self._members.addresses[node], wrapped)

    def _receive(self, sender: NodeId, message: messages.Message) -> None:
        """Process a one-way message."""
        receive = self._receiving.get(type(message))
        if receive is None:
            self._receive_update(message)
        else:
            receive(sender, message)

    def _receive_broadcast(
        self, sender: NodeId, wrapped: messages.Message
    ) -> None:
        """Process a message of another zone, and pass it on in this one."""
        payload = as_bytes(wrapped.payload)
        message = messages.decode(wrapped.code, payload)
        if not wrapped.forwarded:
            forwarded = messages.ZoneBroadcast(
                code=wrapped.code, payload=payload, forwarded=True
            )
            for node in self._members.live_zone_peers(self._clock.now()):
                self._send_soon(self._members.addresses[node], forwarded)
        if isinstance(message, _ONE_WAY):
            self._receive(sender, message)

    def _send_soon(self, address: str, message: messages.Message) -> None:
        if not self._pool.send_now(address, message):
            asyncio.ensure_future(self._send(address, message))

    async def _send(self, address: str, message: messages.Message) -> None:
        try:
            async with asyncio.timeout(SEND_LIMIT_MS / MS_PER_SECOND):
                call = await self._pool.open(address)
            call.send(message)
            call.close()
        except (LinkError, TimeoutError):
            # The message is dropped; statuses show whether nodes are reachable.
            return

    def _sent_at(self, call: LinkStream, message: messages.Message) -> int:
        """Estimate when a message was sent from its excess delay."""
        now = self._clock.now()
        sent_at = getattr(message, 'sent_at', None)
        if sent_at is None:
            return now
        return now - call.link.transit.excess_ms(sent_at, now)

    async def _relay(
        self, call: LinkStream, message: messages.Message, sent_at: int
    ) -> None:
        req = request_from_message(message, sent_at)
        try:
            answer = await self._owner.submit(req)
        except RequestError as exc:
            release_frames(exc)
            call.send(error_message(exc))
            return
        call.send(
            messages.RelayAnswer(
                status=answer.status,
                head=answer.head,
                body=answer.body,
                ran_ms=answer.ran_ms,
                room_ms=room_ms(self._owner.queue, req, self._clock.now()),
            )
        )

    async def _write_table(
        self, call: LinkStream, message: messages.Message, sent_at: int
    ) -> None:
        service = ServiceName(message.service_name)
        text = as_bytes(message.changes)
        call.send(await self._tables.writer.serve(service, text))

    def _receive_config(self, node: NodeId, update: messages.Message) -> None:
        """Apply a difference, or note that the node has a newer version."""
        if self._configs.apply_update(update, node):
            return
        member = self._members.members.get(node)
        leaving = member is not None and member.status.leaving
        address = '' if leaving else self._members.addresses.get(node, '')
        self._configs.follower.on_announced(update.version or 0, node, address)

    @singledispatchmethod
    def _answer(self, message: object) -> messages.Message:
        self._log.warning('unexpected_call', kind=type(message).__name__)
        return messages.Ack(ok=False, text='unexpected message type')

    @_answer.register(messages.Probe)
    def _(self, message: messages.Message) -> messages.Message:
        return messages.Ack(ok=True)

    @_answer.register(messages.MembersQuery)
    def _(self, message: messages.Message) -> messages.Message:
        return self.digests.all_known()

    @_answer.register(messages.MeshPull)
    def _(self, message: messages.Message) -> messages.Message:
        if not message.service_name:
            return self._configs.update_message(message.version or 0)
        table = self._tables.tables.get(ServiceName(message.service_name))
        if table is None:
            return messages.TableUpdate(service_name=message.service_name)
        return table_message(table)

    @_answer.register(messages.ProofQuery)
    def _(self, message: messages.Message) -> messages.Message:
        proof = self._tables.last_proof(ServiceName(message.service_name))
        if proof is None:
            return messages.Proof()
        return messages.Proof(version=proof[0], age_ms=proof[1])

    @_answer.register(messages.ReleaseQuery)
    def _(self, message: messages.Message) -> messages.Message:
        confirmation = self._tables.confirmation_for(
            ServiceName(message.service_name),
            Span(message.first, message.last),
            Epoch(message.epoch),
        )
        return confirmation_message(confirmation)

    @_answer.register(messages.HandoverOrder)
    def _(self, message: messages.Message) -> messages.Message:
        self._tables.start_handover(
            ServiceName(message.service_name),
            NodeId(message.taker),
            message.share,
        )
        return messages.Ack(ok=True)

    @singledispatchmethod
    def _receive_update(self, message: object) -> None:
        self._log.warning('unexpected_message', kind=type(message).__name__)

    @_receive_update.register(messages.MeshStatus)
    def _(self, message: messages.Message) -> None:
        status = status_from_message(message)
        self._members.learn(status, self._clock.now())
        self._follow(status)

    @_receive_update.register(messages.MemberDigest)
    def _(self, message: messages.Message) -> None:
        for status in self.digests.receive(message):
            self._follow(status)

    def _follow(self, status: NodeStatus) -> None:
        """Fetch what a node has in a newer version than this one."""
        # Nothing is pulled from a leaving node: it needs its link for the
        # answers that it still has to send.
        address = '' if status.leaving else status.address
        self._configs.follower.on_announced(
            status.config_version, status.node, address
        )
        if not address:
            return
        for service, version in status.tables:
            self._tables.schedule_pull(service, version, address)

    @_receive_update.register(messages.TableUpdate)
    def _(self, message: messages.Message) -> None:
        self._tables.apply_update(message)

    def _log_member_changes(self) -> None:
        now = self._clock.now()
        alive = frozenset(
            member.status.node for member in self._members.live_members(now)
        )
        for node in alive - self._last_alive:
            self._log.info('node_heard', peer=node)
        for node in self._last_alive - alive:
            self._log.warning('node_silent', peer=node)
        self._last_alive = alive
