"""Calls of other nodes, and what this node tells them of itself."""

import asyncio
from functools import singledispatchmethod

from savoryhold.core.errors import LinkError, RequestError
from savoryhold.core.ids import Epoch, NodeId, ServiceName
from savoryhold.core.poison import Fingerprint, Strike
from savoryhold.mesh.codec import (
    error_message,
    request_of,
    status_of,
    table_change,
    table_news,
    word_message,
)
from savoryhold.mesh.node_context import NodeContext
from savoryhold.peer import LinkStream, messages
from savoryhold.ranges import RangeTable, Span

__all__ = ['PeerTask']

MS_PER_SECOND = 1000
TOLD_SLACK_MS = 100  # a status that is nearly due is sent
SEND_LIMIT_MS = 300
# Messages that are not answered.
_NEWS = (messages.MeshStatus, messages.TableUpdate, messages.StrikeNotice)


class PeerTask:
    """Serves other nodes and tells them this node's status.

    Parameters
    ----------
    parts : Parts
        The node.
    """

    def __init__(self, parts: NodeContext) -> None:
        self.leaving = False
        self._settings = parts.settings
        self._members = parts.members
        self._owner = parts.owner
        self._tables = parts.tables
        self._configs = parts.configs
        self._pool = parts.pool
        self._clock = parts.clock
        self._log = parts.log
        self._alive: frozenset[NodeId] = frozenset()
        self._told_at: dict[NodeId, int] = {}

    async def handle(self, call: LinkStream, message: messages.Message) -> None:
        """Serve a call of another node, or take in its news."""
        sent_at = self._sent_at(call, message)
        if isinstance(message, messages.Relay):
            await self._relay(call, message, sent_at)
        elif isinstance(message, _NEWS):
            self._receive_update(message)
        else:
            call.send(self._answer(message))

    async def run(self) -> None:
        """Tell all members this node's status until cancelled."""
        while True:
            self._tell_due()
            period_ms = self._members.period_ms(self._settings.region)
            await asyncio.sleep(period_ms / MS_PER_SECOND)
            self._note_alive()

    def tell_all(self) -> None:
        """Send this node's status to all members at once."""
        self._told_at.clear()
        self._tell_due()

    def tell_table(self, table: RangeTable, older: RangeTable | None) -> None:
        """Send a new table to all members that are heard."""
        if older is None:
            news = table_news(table)
        else:
            news = table_change(table, older)
        for member in self._members.alive(self._clock.now()):
            asyncio.ensure_future(self._send(member.status.address, news))

    def tell_strike(self, strike: Strike) -> None:
        """Tell all members of a request that crashed a target."""
        self._send_all(
            messages.StrikeNotice(
                fingerprint=strike.fingerprint, incident=strike.incident
            )
        )

    def tell_acquittal(self, fingerprint: Fingerprint) -> None:
        """Tell all members of a suspect that ran to its end."""
        self._send_all(
            messages.StrikeNotice(fingerprint=fingerprint, acquitted=True)
        )

    def status(self) -> messages.Message:
        """Return this node's status."""
        now = self._clock.now()
        report = self._owner.report
        cfg = self._settings
        return messages.MeshStatus(
            node=cfg.node,
            address=cfg.advertised,
            service_name=cfg.service if report is None else report.service,
            zone=cfg.zone,
            region=cfg.region,
            slots=self._owner.queue.slots,
            wait_ms=self._owner.queue.backlog_ms(),
            demand=self._owner.demand(now),
            keys=self._tables.keys(),
            ready=self._owner.is_ready(),
            leaving=self.leaving,
            life=self._tables.life,
            config_version=self._configs.version,
            tables=[
                messages.TableVersion(
                    service_name=table.service, version=table.version
                )
                for table in self._tables.tables.values()
            ],
            silent=sorted(self._members.silent(now)),
            sent_at=now,
            store_lost=not self._configs.store_reachable,
        )

    def _tell_due(self) -> None:
        """Send this node's status to the members that wait for it."""
        now = self._clock.now()
        status = self.status()
        for node, address in self._members.addresses.items():
            member = self._members.members.get(node)
            region = (
                self._settings.region
                if member is None
                else member.status.region
            )
            due = self._told_at.get(node, 0) + self._members.period_ms(region)
            if now >= due - TOLD_SLACK_MS:
                self._told_at[node] = now
                asyncio.ensure_future(self._send(address, status))

    def _send_all(self, news: messages.Message) -> None:
        for address in self._members.addresses.values():
            asyncio.ensure_future(self._send(address, news))

    async def _send(self, address: str, message: messages.Message) -> None:
        try:
            async with asyncio.timeout(SEND_LIMIT_MS / MS_PER_SECOND):
                call = await self._pool.open(address)
            call.send(message)
            call.close()
        except (LinkError, TimeoutError):
            # The next status shows whether the node can be reached.
            return

    def _sent_at(self, call: LinkStream, message: messages.Message) -> int:
        """Return when a message was sent, as far as its delay shows."""
        now = self._clock.now()
        sent_at = getattr(message, 'sent_at', None)
        if sent_at is None:
            return now
        return now - call.link.transit.excess_ms(sent_at, now)

    async def _relay(
        self, call: LinkStream, message: messages.Message, sent_at: int
    ) -> None:
        req = request_of(message, sent_at)
        try:
            answer = await self._owner.submit(req)
        except RequestError as exc:
            call.send(error_message(exc))
            return
        call.send(
            messages.RelayAnswer(
                status=answer.status, head=answer.head, body=answer.body
            )
        )

    @singledispatchmethod
    def _answer(self, message: object) -> messages.Message:
        self._log.warning('message_unknown', kind=type(message).__name__)
        return messages.Ack(ok=False, text='unknown message')

    @_answer.register(messages.Probe)
    def _(self, message: messages.Message) -> messages.Message:
        return messages.Ack(ok=True)

    @_answer.register(messages.MeshPull)
    def _(self, message: messages.Message) -> messages.Message:
        if not message.service_name:
            return self._configs.news()
        table = self._tables.tables.get(ServiceName(message.service_name))
        if table is None:
            return messages.TableUpdate(service_name=message.service_name)
        return table_news(table)

    @_answer.register(messages.ProofQuery)
    def _(self, message: messages.Message) -> messages.Message:
        found = self._tables.proof(ServiceName(message.service_name))
        if found is None:
            return messages.Proof()
        return messages.Proof(version=found[0], age_ms=found[1])

    @_answer.register(messages.ReleaseQuery)
    def _(self, message: messages.Message) -> messages.Message:
        word = self._tables.word(
            ServiceName(message.service_name),
            Span(message.first, message.last),
            Epoch(message.epoch),
        )
        return word_message(word)

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
        self._log.warning('news_unknown', kind=type(message).__name__)

    @_receive_update.register(messages.MeshStatus)
    def _(self, message: messages.Message) -> None:
        status = status_of(message)
        self._members.learn(status, self._clock.now())
        if status.leaving:
            # Its link is for the answers that it still owes.
            return
        address = status.address
        if (message.config_version or 0) > self._configs.version:
            self._configs.schedule_pull(address)
        for entry in message.tables or ():
            service = ServiceName(entry.service_name)
            known = self._tables.tables.get(service)
            if known is None or known.version < entry.version:
                self._tables.schedule_pull(service, address)

    @_receive_update.register(messages.TableUpdate)
    def _(self, message: messages.Message) -> None:
        self._tables.on_news(message)

    @_receive_update.register(messages.StrikeNotice)
    def _(self, message: messages.Message) -> None:
        if message.acquitted:
            self._owner.poison.clear_strikes(Fingerprint(message.fingerprint))
            return
        strike = Strike(Fingerprint(message.fingerprint), message.incident)
        self._owner.poison.strike(strike, self._clock.now())

    def _note_alive(self) -> None:
        now = self._clock.now()
        alive = frozenset(
            member.status.node for member in self._members.alive(now)
        )
        for node in alive - self._alive:
            self._log.info('node_heard', peer=node)
        for node in self._alive - alive:
            self._log.warning('node_silent', peer=node)
        self._alive = alive
