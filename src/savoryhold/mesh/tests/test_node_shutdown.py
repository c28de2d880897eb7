"""Graceful shutdown of a node, in virtual time, with stubs of its peers.

The node is told to stop while requests are on their way to it, run at its
target, or are on their way back.  None of them may be cut off.
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
from savoryhold.daemon.logs import set_up_logs
from savoryhold.mesh.codec import relay_message
from savoryhold.mesh.config import ConfigCheck
from savoryhold.mesh.members import MemberTable, NodeStatus
from savoryhold.mesh.node import MeshNode, linger_ms
from savoryhold.mesh.requests import NO_KEY, RelayedAnswer, RelayedRequest
from savoryhold.mesh.settings import MeshSettings
from savoryhold.mesh.tests.fleet import (
    CONFIG,
    DESK,
    NAMES,
    Caller,
    Fleet,
    LoopClock,
    VirtualTimeCase,
    mesh_settings,
    target_report,
)
from savoryhold.peer import messages
from savoryhold.traffic import RouteTable
from savoryhold.wire import ClientAnswer, Exchange, HttpRequest

GRACE_MS = 6000
SHORT_GRACE_MS = 1500  # less than requests may take
BUSY_S = 0.06  # of other work each time that the node wakes
WAKE_S = 0.02
LATENCY_S = 0.1  # between the peer and the node, one way
RUN_S = 0.4
MS_PER_SECOND = 1000


class PeerLink:
    """Stub of the node's end of a link that a peer has opened."""

    peer = 'peer'
    closed = False

    def __init__(self) -> None:
        self.transit = TransitDelay()
        self.received: list[messages.Message] = []
        self.silent = False
        self.latency_s = LATENCY_S

    def open(self) -> Any:
        """Open a call of the node."""
        return SimpleNamespace(send=self.send, close=lambda: None)

    def send(self, message: messages.Message) -> None:
        """Deliver a message to the peer."""
        asyncio.get_running_loop().call_later(
            self.latency_s, self.received.append, message
        )

    async def call(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Deliver a message, and return an answer."""
        self.send(message)
        if self.silent:
            await asyncio.sleep(timeout_ms / MS_PER_SECOND)
            raise LinkError('no reply in time', sent=True)
        await asyncio.sleep(self.latency_s * 2)
        return messages.Ack(ok=True)

    def has_received_leave(self) -> bool:
        """Return whether the peer has received that the node leaves."""
        return any(getattr(found, 'leaving', False) for found in self.received)

    def answers(self) -> int:
        """Return how many relayed requests the node has answered."""
        return sum(
            isinstance(found, messages.RelayAnswer) for found in self.received
        )


class ShutdownCase(VirtualTimeCase):
    """A node with one peer, whose target runs relayed requests."""

    async def asyncSetUp(self) -> None:
        """Create the node; it listens nowhere."""
        adapter = SimpleNamespace(names=NAMES, store=None)
        self.settings = mesh_settings('n0', 'desk', grace_ms=GRACE_MS)
        with mock.patch('savoryhold.mesh.node.BootClock', LoopClock):
            self.node = MeshNode(
                self.settings,
                cast(Any, adapter),
                set_up_logs(os.open(os.devnull, os.O_WRONLY)),
                lambda: self.settings,
            )
        self.drained_at = -1
        self.refused_at = -1
        self.accept_only_nested = self.node.ingress.accept_only_nested
        self.node.ingress.accept_only_nested = (  # type: ignore[method-assign]
            self.record_refusal
        )
        self.node.caller_server.drain = (  # type: ignore[method-assign]
            self.drain
        )
        self.node.owner.submit = self.submit  # type: ignore[method-assign]
        self.link = PeerLink()
        with mock.patch.object(
            self.node.pool, 'accept', return_value=self.link
        ):
            self.node._accept()

    def record_refusal(self) -> None:
        """Record when the node stops accepting callers."""
        self.refused_at = self.node.clock.now()
        self.accept_only_nested()

    async def drain(self) -> None:
        """Record when the callers' connections are closed."""
        self.drained_at = self.node.clock.now()

    async def submit(self, req: RelayedRequest) -> RelayedAnswer:
        """Run a request that waits for its key, and thus in no queue."""
        await asyncio.sleep(RUN_S)
        return RelayedAnswer(200, b'', b'')

    def relay(self, name: str = 'r1') -> 'asyncio.Task[None]':
        """Receive a request from the peer."""
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


class TestCallers(ShutdownCase):
    """How long a node without requests goes on accepting callers."""

    # Time was measured by counting polls: a node short of processor time
    # accepted callers until the end of its grace period, and cut them all off.
    async def test_busy_node_stops_accepting_callers_in_time(
        self,
    ) -> None:
        """Accepting callers ends on time however long each wake-up takes."""
        load = asyncio.ensure_future(self.occupy_processor())
        await self.node._leave()
        load.cancel()
        self.assertGreaterEqual(self.refused_at, 0)
        late_ms = 2 * (BUSY_S + WAKE_S) * MS_PER_SECOND
        self.assertLessEqual(self.refused_at, linger_ms(GRACE_MS) + late_ms)
        self.assertGreaterEqual(self.drained_at, self.refused_at)

    # Requests were accepted for 150 ms beyond the linger time.
    async def test_last_callers_are_accepted_within_the_linger(self) -> None:
        """The time allowed for callers on their way is part of the linger."""
        await self.node._leave()
        self.assertGreaterEqual(self.refused_at, 0)
        self.assertLessEqual(self.refused_at, linger_ms(GRACE_MS))
        self.assertGreaterEqual(self.drained_at, self.refused_at)

    async def occupy_processor(self) -> None:
        """Use processor time each time that the node wakes."""
        loop = cast(Any, asyncio.get_running_loop())
        while True:
            await asyncio.sleep(WAKE_S)
            loop.advance(BUSY_S)


class TestGrace(ShutdownCase):
    """Which grace period applies."""

    # The settings file may change without a signal. The node kept the grace
    # period of its start, and was killed at work if the new one was shorter.
    async def test_grace_is_read_again_at_shutdown(self) -> None:
        """A node reads its settings again when it is told to stop."""
        self.settings = mesh_settings('n0', 'desk', grace_ms=SHORT_GRACE_MS)
        await self.node._leave()
        self.assertLess(self.node.clock.now(), SHORT_GRACE_MS)

    async def test_unreadable_settings_do_not_prevent_shutdown(self) -> None:
        """The previous settings apply if the file cannot be read."""
        self.node._reload = self.fail_to_reload
        await self.node._leave()
        self.assertLess(self.node.clock.now(), GRACE_MS)

    def fail_to_reload(self) -> MeshSettings:
        """Fail as for a file that cannot be read."""
        raise ConfigurationError('no file')


class TestPeers(ShutdownCase):
    """What a node that stops still does for its peers."""

    # The process ended before any peer knew that it leaves.
    async def test_peers_know_of_the_leave_before_the_end(self) -> None:
        """A node ends only once its peers send it no more requests."""
        await self.node._leave()
        self.assertTrue(self.link.has_received_leave())

    # A request that a peer sent before it knew of the leave was cut off.
    async def test_request_that_crosses_the_announcement_is_answered(
        self,
    ) -> None:
        """A request that a peer sent before it knew of the leave is run."""
        ended = asyncio.ensure_future(self.node._leave())
        while not self.node.peers.leaving:
            await asyncio.sleep(WAKE_S / 10)
        await asyncio.sleep(LATENCY_S)
        self.assertFalse(ended.done())
        self.relay()
        await ended
        self.assertEqual(self.link.answers(), 1)

    # A request that waited for its key was not counted as running, and the
    # process did not wait until its answers had been sent.
    async def test_answer_reaches_the_peer_before_the_end(self) -> None:
        """A node ends after all relayed requests are answered."""
        self.node._unready_answers = 2
        self.relay()
        await self.node._leave()
        self.assertEqual(self.link.answers(), 1)

    # One dead peer must not use up the grace period of the others.
    async def test_silent_peer_does_not_delay_shutdown(self) -> None:
        """The wait for a peer that does not answer is limited."""
        self.link.silent = True
        self.node._unready_answers = 2
        await self.node._leave()
        self.assertLess(self.node.clock.now(), GRACE_MS // 2)


class TestRequestsDuringShutdown(ShutdownCase):
    """Requests that arrive while the node stops."""

    async def asyncSetUp(self) -> None:
        """Let the node's target run one request at a time."""
        await super().asyncSetUp()
        node = self.node
        del node.owner.submit
        node.configs.routes = RouteTable(CONFIG)
        node.owner.on_report(target_report(node.settings.node, DESK, slots=1))
        node.owner.target.pool = cast(
            Any, SimpleNamespace(ask=self.run_until_timeout)
        )
        self.callers: list[Caller] = []

    async def drain(self) -> None:
        """Wait until all callers have an answer."""
        await super().drain()
        for caller in self.callers:
            await asyncio.wait([caller.status])

    async def run_until_timeout(
        self,
        request: bytes,
        timeout_ms: float,
        answer_matches: Any,
        on_sent: Any,
        request_id: bytes,
    ) -> ClientAnswer:
        """Let a request run into its timeout."""
        on_sent()
        await asyncio.sleep(timeout_ms / MS_PER_SECOND)
        raise TimeoutError

    def ask(self, name: str) -> None:
        """Send a caller's request to the node."""
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

    # Requests whose deadline lay beyond the end of the process were cut off.
    async def test_all_received_requests_are_answered_before_the_end(
        self,
    ) -> None:
        """A running request and a queued one are answered in time."""
        ticks = asyncio.ensure_future(self.node.owner.tick())
        self.settings = mesh_settings('n0', 'desk', grace_ms=SHORT_GRACE_MS)
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

    # Queued requests of other nodes were cut off, so that callers could not
    # tell that they had not run.
    async def test_relayed_requests_are_refused_before_the_end(self) -> None:
        """A peer is told in time that a queued request will not run."""
        self.link.latency_s = WAKE_S / 2
        ticks = asyncio.ensure_future(self.node.owner.tick())
        self.settings = mesh_settings('n0', 'desk', grace_ms=SHORT_GRACE_MS)
        ended = asyncio.ensure_future(self.node._leave())
        await asyncio.sleep(linger_ms(SHORT_GRACE_MS) / MS_PER_SECOND / 2)
        self.relay('runs')
        await asyncio.sleep(WAKE_S)
        self.relay('waits')
        await ended
        ticks.cancel()
        found = [
            message.code
            for message in self.link.received
            if isinstance(message, messages.RelayAnswer) and message.failed
        ]
        self.assertIn('busy', found)
        self.assertEqual(len(found), 2)

    # Runs failed because the node refused their nested calls.
    async def test_runs_may_make_nested_calls_until_they_end(self) -> None:
        """Nested calls are accepted to the end, other requests refused."""
        self.node.owner.on_report(
            target_report(self.node.settings.node, DESK, slots=4)
        )
        self.node.owner.target.pool = cast(
            Any, SimpleNamespace(ask=self.run_with_nested_call)
        )
        self.node._unready_answers = 2
        self.ask('parent')
        ended = asyncio.ensure_future(self.node._leave())
        await asyncio.sleep(RUN_S * 2)
        self.assertEqual(self.drained_at, -1)
        self.ask('other')
        await ended
        found = [caller.status.result() for caller in self.callers]
        self.assertEqual(found, [200, 200, 503])

    async def run_with_nested_call(
        self,
        request: bytes,
        timeout_ms: float,
        answer_matches: Any,
        on_sent: Any,
        request_id: bytes,
    ) -> ClientAnswer:
        """Run a request that makes a nested call after a while."""
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
    """How other nodes see a node that leaves."""

    # An earlier status that arrived later, on another link, made a node that
    # was about to end count as serving.
    def test_late_status_does_not_bring_a_leaving_node_back(self) -> None:
        """Leaving is final for a process; only its successor serves again."""
        members = MemberTable(NodeId('n1'), Region('r'))
        for leaving, life, found in (
            (False, 1, False),
            (True, 1, True),
            (False, 1, True),
            (False, 2, False),
        ):
            with self.subTest(leaving=leaving, life=life):
                members.learn(make_status(leaving=leaving, life=life), 0)
                member = members.members[NodeId('n0')]
                self.assertEqual(member.status.leaving, found)


def make_status(*, leaving: bool, life: int) -> NodeStatus:
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


class TestLeaveAnnouncement(VirtualTimeCase):
    """What other nodes do once they know that a node leaves."""

    # All nodes fetched whole tables from a node that was leaving, over the
    # link that its last answers needed.
    async def test_nothing_is_fetched_from_a_leaving_node(self) -> None:
        """Newer versions are fetched only from nodes that stay."""
        fleet = Fleet(3, seed=1)
        node, leaver = fleet.nodes[:2]
        configs, tables = mock.Mock(version=1), mock.Mock(tables={})
        node.peers._configs, node.peers._tables = configs, tables
        leaver.peers.leaving = True
        make_message = leaver.peers.status_message
        with mock.patch.multiple(
            leaver.peers,
            _configs=mock.Mock(
                version=2, store_reachable=True, checked=ConfigCheck(0, 0)
            ),
            _tables=mock.Mock(
                tables={'desk': mock.Mock(service='desk', version=5)},
                life=1,
                owned_key_count=int,
            ),
        ):
            node.peers._receive_update(make_message())
            configs.follower.on_announced.assert_called_once_with(
                2, leaver.name, ''
            )
            self.assertFalse(tables.schedule_pull.called)
            leaver.peers.leaving = False
            node.peers._receive_update(make_message())
        configs.follower.on_announced.assert_called_with(
            2, leaver.name, leaver.address
        )
        self.assertTrue(tables.schedule_pull.called)


class TestFailedTask(ShutdownCase):
    """A background task that ends with an exception."""

    # The end of a task was logged before it was acted on: as long as log calls
    # raised, the node lived on without the task.
    async def test_node_leaves_even_if_the_log_fails(self) -> None:
        """The node stops, and knows why."""
        task = asyncio.ensure_future(asyncio.wait_for(asyncio.sleep(1), 0))
        await asyncio.wait([task])
        log = SimpleNamespace(error=mock.Mock(side_effect=UnicodeError))
        self.node.log = cast(Any, log)
        with self.assertRaises(UnicodeError):
            self.node._on_task_end(task)
        self.assertTrue(self.node._leave_requested.is_set())
        self.assertIn('TimeoutError', self.node._failure)
