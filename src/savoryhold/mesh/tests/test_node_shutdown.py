"""How a node ends: in virtual time, with stand-ins of its neighbours.

Pattern: a process is told to end while requests are on their way to it, at
work in it, or on their way back.
"""

import asyncio
import os
import unittest
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from savoryhold.core.errors import ConfigurationError, LinkError
from savoryhold.core.ids import NodeId, Region, Zone
from savoryhold.core.transit import TransitDelay
from savoryhold.mesh.codec import relay_message
from savoryhold.mesh.members import MemberTable, NodeStatus
from savoryhold.mesh.node import MeshNode, linger_ms
from savoryhold.mesh.requests import NO_KEY, RelayedAnswer, RelayedRequest
from savoryhold.mesh.settings import MeshSettings
from savoryhold.mesh.telemetry import set_up_mesh_logs
from savoryhold.mesh.tests.fleet import (
    CONFIG,
    DESK,
    NAMES,
    Caller,
    Fleet,
    LoopClock,
    VirtualTimeCase,
    target_report,
)
from savoryhold.mesh.tests.fleet import mesh_settings as settings_of
from savoryhold.peer import messages
from savoryhold.traffic import RouteTable
from savoryhold.wire import ClientAnswer, Exchange, HttpRequest

GRACE_MS = 6000
SHORT_GRACE_MS = 1500  # no longer than requests may take
BUSY_S = 0.06  # of other work whenever the node wakes
WAKE_S = 0.02
WAY_S = 0.1  # from the peer to the node, and back
RUN_S = 0.4
MS_PER_SECOND = 1000


class PeerLink:
    """The node's end of a link that a peer has opened."""

    peer = 'peer'
    closed = False

    def __init__(self) -> None:
        self.transit = TransitDelay()
        self.heard: list[messages.Message] = []
        self.silent = False
        self.way_s = WAY_S

    def open(self) -> Any:
        """Begin a call of the node."""
        return SimpleNamespace(send=self.send, close=lambda: None)

    def send(self, message: messages.Message) -> None:
        """Carry what the node sends to the peer."""
        asyncio.get_running_loop().call_later(
            self.way_s, self.heard.append, message
        )

    async def call(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Carry a question, and the answer back."""
        self.send(message)
        if self.silent:
            await asyncio.sleep(timeout_ms / MS_PER_SECOND)
            raise LinkError('no reply in time', sent=True)
        await asyncio.sleep(self.way_s * 2)
        return messages.Ack(ok=True)

    def knows_of_leave(self) -> bool:
        """Return whether the peer has heard that the node leaves."""
        return any(getattr(found, 'leaving', False) for found in self.heard)

    def answers(self) -> int:
        """Return how many answers of relayed requests have come."""
        return sum(
            isinstance(found, messages.RelayAnswer) for found in self.heard
        )


class LeavingCase(VirtualTimeCase):
    """A node that runs one relayed request, and a peer."""

    async def asyncSetUp(self) -> None:
        """Make the node; it listens nowhere."""
        adapter = SimpleNamespace(names=NAMES, store=None)
        self.settings = settings_of('n0', 'desk', grace_ms=GRACE_MS)
        with mock.patch('savoryhold.mesh.node.BootClock', LoopClock):
            self.node = MeshNode(
                self.settings,
                cast(Any, adapter),
                set_up_mesh_logs(os.open(os.devnull, os.O_WRONLY)),
                lambda: self.settings,
            )
        self.drained_at = -1
        self.refused_at = -1
        self.only_nested_calls = self.node.ingress.only_nested_calls
        self.node.ingress.only_nested_calls = (  # type: ignore[method-assign]
            self.refuse
        )
        self.node.callers.drain = self.drain  # type: ignore[method-assign]
        self.node.owner.submit = self.submit  # type: ignore[method-assign]
        self.link = PeerLink()
        with mock.patch.object(
            self.node.pool, 'accept', return_value=self.link
        ):
            self.node._accept()

    def refuse(self) -> None:
        """Note when callers are taken no more."""
        self.refused_at = self.node.clock.now()
        self.only_nested_calls()

    async def drain(self) -> None:
        """Note when the callers' connections are closed."""
        self.drained_at = self.node.clock.now()

    async def submit(self, req: RelayedRequest) -> RelayedAnswer:
        """Run a request that waits for its key and so in no queue."""
        await asyncio.sleep(RUN_S)
        return RelayedAnswer(200, b'', b'')

    def relay(self, name: str = 'r1') -> 'asyncio.Task[None]':
        """Let the peer's request come in."""
        now = self.node.clock.now()
        req = RelayedRequest(
            request=cast(Any, name),
            service=cast(Any, 'desk'),
            key=NO_KEY,
            route='desk',
            method=b'GET',
            path=b'/desk/',
            head=b'',
            body=b'',
            deadline=now + 2000,
            aim_at=now + 1000,
            priority=1,
            repeatable=True,
            fingerprint=cast(Any, 'f'),
        )
        call = SimpleNamespace(link=self.link, send=self.link.send)
        return asyncio.ensure_future(
            self.node._on_peer(cast(Any, call), relay_message(req, now))
        )


class TestCallers(LeavingCase):
    """How long a node that nobody asks goes on taking callers."""

    # Polls were counted for time: a node that was short of processor time
    # took callers until the end of its grace, and cut all of them.
    async def test_a_node_short_of_time_leaves_time_for_what_was_read(
        self,
    ) -> None:
        """Callers are taken for a part of the grace, whatever wakes take."""
        hog = asyncio.ensure_future(self.hog())
        await self.node._leave()
        hog.cancel()
        self.assertGreaterEqual(self.refused_at, 0)
        late_ms = 2 * (BUSY_S + WAKE_S) * MS_PER_SECOND
        self.assertLessEqual(self.refused_at, linger_ms(GRACE_MS) + late_ms)
        self.assertGreaterEqual(self.drained_at, self.refused_at)

    # Requests were taken 150 ms beyond the linger.
    async def test_last_callers_come_within_the_linger(self) -> None:
        """The time for callers on their way is a part of the linger."""
        await self.node._leave()
        self.assertGreaterEqual(self.refused_at, 0)
        self.assertLessEqual(self.refused_at, linger_ms(GRACE_MS))
        self.assertGreaterEqual(self.drained_at, self.refused_at)

    async def hog(self) -> None:
        """Take processor time whenever the node wakes."""
        loop = cast(Any, asyncio.get_running_loop())
        while True:
            await asyncio.sleep(WAKE_S)
            loop.advance(BUSY_S)


class TestGrace(LeavingCase):
    """Which grace counts."""

    # The settings file may change without a signal; the grace of the start
    # was kept, and a shorter one killed the process at its work.
    async def test_the_grace_in_force_at_the_end_counts(self) -> None:
        """A node reads its settings again when it is told to end."""
        self.settings = settings_of('n0', 'desk', grace_ms=SHORT_GRACE_MS)
        await self.node._leave()
        self.assertLess(self.node.clock.now(), SHORT_GRACE_MS)

    async def test_unreadable_settings_do_not_keep_a_node(self) -> None:
        """The settings of the start hold if there are no others."""
        self.node._reload = self.refuse_settings
        await self.node._leave()
        self.assertLess(self.node.clock.now(), GRACE_MS)

    def refuse_settings(self) -> MeshSettings:
        """Stand for a file that cannot be read."""
        raise ConfigurationError('no file')


class TestPeers(LeavingCase):
    """What a node that ends still does for its peers."""

    # The process ended before anybody had heard that it leaves.
    async def test_peers_have_heard_of_the_leave_before_the_end(self) -> None:
        """A node ends once its peers send it no more requests."""
        await self.node._leave()
        self.assertTrue(self.link.knows_of_leave())

    # A request that crossed the news of the leave was cut.
    async def test_request_that_crosses_the_news_is_answered(self) -> None:
        """What a peer sent before it heard of the leave is run."""
        ended = asyncio.ensure_future(self.node._leave())
        while not self.node.peers.leaving:
            await asyncio.sleep(WAKE_S / 10)
        await asyncio.sleep(WAY_S)
        self.assertFalse(ended.done())
        self.relay()
        await ended
        self.assertEqual(self.link.answers(), 1)

    # A request that waited for its key was not counted as at work; nobody
    # looked whether the answer had left the process.
    async def test_answer_has_reached_the_peer_before_the_end(self) -> None:
        """A node ends behind the answers of all that it was relayed."""
        self.node._unready_answers = 2
        self.relay()
        await self.node._leave()
        self.assertEqual(self.link.answers(), 1)

    # One dead peer must not cost the others the rest of the grace.
    async def test_silent_peer_does_not_keep_the_node(self) -> None:
        """The wait for a peer that does not answer has an end."""
        self.link.silent = True
        self.node._unready_answers = 2
        await self.node._leave()
        self.assertLess(self.node.clock.now(), GRACE_MS // 2)


class TestWhatIsRead(LeavingCase):
    """Requests that callers send while the node leaves."""

    async def asyncSetUp(self) -> None:
        """Let the target beside the node run one request at a time."""
        await super().asyncSetUp()
        node = self.node
        del node.owner.submit
        node.configs.routes = RouteTable(CONFIG)
        node.owner.on_report(target_report(node.settings.node, DESK, slots=1))
        node.owner.pool = cast(Any, SimpleNamespace(ask=self.run_long))
        self.callers: list[Caller] = []

    async def drain(self) -> None:
        """Wait until all callers have their answer."""
        await super().drain()
        for caller in self.callers:
            await asyncio.wait([caller.status])

    async def run_long(
        self,
        request: bytes,
        timeout_ms: float,
        answer_matches: Any,
        on_sent: Any,
    ) -> ClientAnswer:
        """Let the target work until the time that it was given is over."""
        on_sent()
        await asyncio.sleep(timeout_ms / MS_PER_SECOND)
        raise TimeoutError

    def ask(self, name: str) -> None:
        """Let a caller send a request."""
        fields = {
            b'host': b'h',
            NAMES.request_id.lower(): name.encode(),
            NAMES.deadline.lower(): b'%d' % GRACE_MS,
        }
        now = self.node.clock.now()
        headers = list(fields.items())
        caller = Caller(
            HttpRequest(b'GET', b'/desk/', headers, b'', now, fields)
        )
        self.callers.append(caller)
        self.node.ingress.handle(cast(Exchange, caller))

    # Requests that had more time than the process were cut at its end.
    async def test_all_that_is_read_has_an_answer_before_the_end(
        self,
    ) -> None:
        """One that runs and one that waits are answered in time."""
        ticks = asyncio.ensure_future(self.node.owner.tick())
        self.settings = settings_of('n0', 'desk', grace_ms=SHORT_GRACE_MS)
        ended = asyncio.ensure_future(self.node._leave())
        await asyncio.sleep(linger_ms(SHORT_GRACE_MS) / MS_PER_SECOND / 2)
        self.ask('runs')
        await asyncio.sleep(WAKE_S)
        self.ask('waits')
        await ended
        ticks.cancel()
        found = [caller.status.done() for caller in self.callers]
        self.assertEqual(found, [True, True])
        self.assertEqual(self.callers[1].status.result(), 503)

    # Requests of other nodes that waited were cut, as if they might have run.
    async def test_relayed_requests_are_refused_before_the_end(self) -> None:
        """A peer hears in time that a request that waits will not run."""
        self.link.way_s = WAKE_S / 2
        ticks = asyncio.ensure_future(self.node.owner.tick())
        self.settings = settings_of('n0', 'desk', grace_ms=SHORT_GRACE_MS)
        ended = asyncio.ensure_future(self.node._leave())
        await asyncio.sleep(linger_ms(SHORT_GRACE_MS) / MS_PER_SECOND / 2)
        self.relay('runs')
        await asyncio.sleep(WAKE_S)
        self.relay('waits')
        await ended
        ticks.cancel()
        found = [
            message.code
            for message in self.link.heard
            if isinstance(message, messages.RelayAnswer) and message.failed
        ]
        self.assertIn('busy', found)
        self.assertEqual(len(found), 2)

    # Runs failed since the calls that they still had to make were refused.
    async def test_runs_may_make_their_calls_until_they_end(self) -> None:
        """Calls of runs are taken while runs go on; callers go elsewhere."""
        self.node.owner.on_report(
            target_report(self.node.settings.node, DESK, slots=4)
        )
        self.node.owner.pool = cast(Any, SimpleNamespace(ask=self.run_calling))
        self.node._unready_answers = 2
        self.ask('parent')
        ended = asyncio.ensure_future(self.node._leave())
        await asyncio.sleep(RUN_S * 2)
        self.assertEqual(self.drained_at, -1)
        self.ask('other')
        await ended
        found = [caller.status.result() for caller in self.callers]
        self.assertEqual(found, [200, 200, 503])

    async def run_calling(
        self,
        request: bytes,
        timeout_ms: float,
        answer_matches: Any,
        on_sent: Any,
    ) -> ClientAnswer:
        """Run a request that makes a call after a while."""
        on_sent()
        await asyncio.sleep(RUN_S)
        if b'parent.1' not in request:
            if self.drained_at >= 0:
                return ClientAnswer(500, [], {}, b'')
            self.ask('parent.1')
            called = self.callers[-1].status
            await asyncio.wait([called])
            await asyncio.sleep(RUN_S)
            return ClientAnswer(called.result(), [], {}, b'')
        return ClientAnswer(200, [], {}, b'')


class TestStatuses(unittest.TestCase):
    """What others hold of a node that leaves."""

    # An earlier status that came later, on another link, made a node that was
    # about to end one that serves.
    def test_late_status_does_not_bring_a_leaving_node_back(self) -> None:
        """A life that leaves goes on leaving; the next one serves."""
        members = MemberTable(NodeId('n1'), Region('r'))
        for leaving, life, found in (
            (False, 1, False),
            (True, 1, True),
            (False, 1, True),
            (False, 2, False),
        ):
            with self.subTest(leaving=leaving, life=life):
                members.learn(status(leaving=leaving, life=life), 0)
                member = members.members[NodeId('n0')]
                self.assertEqual(member.status.leaving, found)


def status(*, leaving: bool, life: int) -> NodeStatus:
    """Return a status of a node."""
    return NodeStatus(
        node=NodeId('n0'),
        address='n0',
        service=DESK,
        zone=Zone('z'),
        region=Region('r'),
        slots=1,
        wait_ms=0,
        demand=0,
        keys=0,
        ready=True,
        leaving=leaving,
        life=life,
        silent=frozenset(),
    )


class TestNewsOfALeave(VirtualTimeCase):
    """What other nodes do as they hear that one leaves."""

    # All nodes fetched whole tables from a node as it left, over the link
    # that the answers of its last requests had to take.
    async def test_nothing_is_fetched_from_a_leaving_node(self) -> None:
        """Newer versions are asked of nodes that stay."""
        fleet = Fleet(3, seed=1)
        node, leaver = fleet.nodes[:2]
        configs, tables = mock.Mock(version=1), mock.Mock(tables={})
        node.peers._configs, node.peers._tables = configs, tables
        leaver.peers.leaving = True
        news = leaver.peers.status
        with mock.patch.multiple(
            leaver.peers,
            _configs=mock.Mock(version=2, store_reachable=True),
            _tables=mock.Mock(
                tables={'desk': mock.Mock(service='desk', version=5)},
                life=1,
                keys=int,
            ),
        ):
            node.peers._receive_update(news())
            self.assertFalse(configs.schedule_pull.called)
            self.assertFalse(tables.schedule_pull.called)
            leaver.peers.leaving = False
            node.peers._receive_update(news())
        self.assertTrue(configs.schedule_pull.called)
        self.assertTrue(tables.schedule_pull.called)
