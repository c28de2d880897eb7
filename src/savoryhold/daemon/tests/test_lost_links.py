"""Lost links and owners while requests run at the owner's target.

Each test runs a router and an owner over simulated links.  While a request
runs, the owner's record ends or the link to it is cut.
"""

import asyncio
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any, cast

from savoryhold.core.configuration import AcceptedConfig, ServiceClass
from savoryhold.core.errors import LinkError, RequestError, UncertainError
from savoryhold.core.routed_request import RoutedAnswer, RoutedRequest
from savoryhold.core.ids import (
    NodeId,
    Region,
    RequestId,
    ServiceName,
    ShardId,
    ShardKey,
)
from savoryhold.core.poison import Fingerprint
from savoryhold.core.services import ConfigTable
from savoryhold.core.verdict import Verdict
from savoryhold.daemon.owner import OwnerTask
from savoryhold.daemon.peers import PeerTask
from savoryhold.daemon.router import RouterTask
from savoryhold.declare import unkeyed_service
from savoryhold.mesh.tests.fleet import VirtualTimeCase
from savoryhold.peer import messages
from savoryhold.settings import LimitSettings
from savoryhold.target import Announcement, TargetTracker

__all__ = ['TestLostLinks']

MS_PER_SECOND = 1000
OWNER = NodeId('far.1')
OTHER_OWNER = NodeId('other.1')
FILES = ServiceName('files')
SHARD = ShardKey(FILES, ShardId(3))
REGION = Region('sofia')
WORK_MS = 1000
DEADLINE_MS = 30_000
RUN_STARTED_S = 0.3  # by then the target runs the request
OUTAGE_S = 1.0  # longer than a dial may take


class _LoopClock:
    def now(self) -> int:
        """Return the loop's time in ms."""
        return round(asyncio.get_running_loop().time() * MS_PER_SECOND)


class _Target:
    """Stands in for `TargetClient`."""

    def __init__(self) -> None:
        self.runs = 0
        self.pause_ms = 0
        self.parts = 1

    async def call(self, *args: Any) -> RoutedAnswer:
        """Count a run and answer after `WORK_MS`."""
        self.runs += 1
        may_send = args[-1]
        may_send()
        await asyncio.sleep(WORK_MS / MS_PER_SECOND)
        rest = self._late_rest() if self.pause_ms else None
        return RoutedAnswer(200, (), b'whole', rest)

    async def _late_rest(self) -> AsyncIterator[bytes]:
        await asyncio.sleep(self.pause_ms / MS_PER_SECOND)
        for _ in range(self.parts):
            yield b' rest'

    async def cancel(self, address: str, request: str) -> None:
        """Ignore the cancellation."""


class _StreamEnd:
    """One end of a call between two nodes."""

    def __init__(self, peer: NodeId, link: SimpleNamespace) -> None:
        self.peer = peer
        self.link = link
        self.is_silent = False
        self.inbox: asyncio.Queue[messages.Message] = asyncio.Queue()

    async def receive(self, timeout_ms: float) -> messages.Message:
        """Return the next message."""
        limit_ms = 0 if self.link.closed else timeout_ms
        getting = asyncio.ensure_future(self.inbox.get())
        await asyncio.sleep(0)
        await asyncio.wait({getting}, timeout=limit_ms / MS_PER_SECOND)
        if getting.done():
            return getting.result()
        getting.cancel()
        raise LinkError('link closed or no reply', sent=True)

    def close(self) -> None:
        """Do nothing."""


class _IngressEnd(_StreamEnd):
    """The ingress end of a call; the owner handles its messages at once."""

    def __init__(self, world: 'World') -> None:
        super().__init__(
            world.peer, SimpleNamespace(closed=False, call=self.probe)
        )
        self._world = world
        self._owner_end = _OwnerEnd(self)
        self._serving: asyncio.Task[None] | None = None

    def send(self, message: messages.Message) -> None:
        """Pass a forwarded request, or credit, to the owner."""
        if isinstance(message, messages.Forward):
            serving = self._world.peers.handle(
                cast(Any, self._owner_end), message
            )
            self._serving = asyncio.ensure_future(serving)
            self._world.calls.append(self)
        elif self.link.closed:
            raise LinkError('link closed', sent=False)
        elif isinstance(message, messages.Credit):
            self._owner_end.inbox.put_nowait(message)

    async def probe(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Answer a probe, unless the owner is silent."""
        if self.is_silent:
            await asyncio.sleep(timeout_ms / MS_PER_SECOND)
            raise LinkError('no reply in time', sent=True)
        return messages.Ack(ok=True)

    def cut(self) -> None:
        """Close the link at both ends."""
        self.link.closed = True
        if self._serving is not None:
            self._serving.cancel()


class _OwnerEnd(_StreamEnd):
    """The owner's end of a call."""

    def __init__(self, call: _IngressEnd) -> None:
        super().__init__(NodeId('here.1'), call.link)
        self._call = call

    def send(self, message: messages.Message) -> None:
        """Deliver a message to the ingress, unless the owner is silent."""
        if not self._call.is_silent:
            self._call.inbox.put_nowait(message)


class World:
    """A router, its links, and one node that owns all requests."""

    def __init__(self) -> None:
        self.clock = _LoopClock()
        self.peer = OWNER
        self.calls: list[_IngressEnd] = []
        self.is_unreachable = False
        self.is_live = True
        self.target = _Target()
        tracker = TargetTracker(self.clock)
        tracker.announce(
            Announcement.model_validate(
                {'service': FILES, 'address': '127.0.0.1:1', 'slots': 4}
            )
        )
        self.configs = ConfigTable()
        self.configure()
        limits = LimitSettings(leave_ms=1000)  # type: ignore[call-arg]
        machine = SimpleNamespace(
            may_admit=lambda shard, now: True,
            may_send=lambda shard, now: True,
            holder=SimpleNamespace(is_listed=lambda shard: True, held={}),
            node=OWNER,
        )
        self.owner = OwnerTask(
            cast(Any, machine),
            self.configs,
            tracker,
            self.clock,
            limits,
            _no_replication,
        )
        self.owner._client = cast(Any, self.target)
        directory = SimpleNamespace(
            is_live=lambda node: self.is_live or node == OTHER_OWNER,
            route=lambda shard: SimpleNamespace(owner=OWNER),
            offering=lambda service: [
                SimpleNamespace(
                    node=OWNER if self.is_live else OTHER_OWNER,
                    profile=SimpleNamespace(region=REGION),
                )
            ],
        )
        node = SimpleNamespace(
            node=NodeId('here.1'),
            machine=SimpleNamespace(directory=directory),
            address_of=self.address_of,
            pool=self,
            settings=SimpleNamespace(
                limits=limits, node=SimpleNamespace(region=REGION)
            ),
        )
        self.router = RouterTask(cast(Any, node), cast(Any, None), self.clock)
        unused = cast(Any, None)
        self.peers = PeerTask(
            cast(Any, node), self.owner, unused, unused, unused, self.clock
        )

    def configure(self) -> None:
        """Configure the service at the owner."""
        config = unkeyed_service(FILES).config
        accepted = AcceptedConfig(revision=1, service=config, audit=())
        self.configs.accept(accepted)

    def address_of(self, node: NodeId) -> str | None:
        """Return a node's address while its record is live."""
        return node if self.is_live or node == OTHER_OWNER else None

    async def open(self, address: str) -> _IngressEnd:
        """Start a call to the owner."""
        if self.is_unreachable:
            raise LinkError('owner is unreachable', sent=False)
        return _IngressEnd(self)

    def send_request(
        self, shard: ShardKey | None = None, *, idempotent: bool = False
    ) -> 'asyncio.Task[RoutedAnswer]':
        """Route a caller's request in a task."""
        req = RoutedRequest(
            RequestId('r1'),
            FILES,
            shard,
            '',
            'GET' if idempotent else 'POST',
            '/a',
            (),
            b'',
            self.clock.now() + DEADLINE_MS,
            idempotent,
            ServiceClass.SHORT,
            Fingerprint(1),
            REGION,
        )
        return asyncio.ensure_future(self.router.handle(req))

    def cut(self) -> None:
        """Cut all links."""
        for call in self.calls:
            call.cut()


class TestLostLinks(VirtualTimeCase):
    """Answers to requests whose owner or link is lost while they run."""

    # A leaving owner deletes its record before its last runs have ended.
    # Their callers received 504.
    async def test_unkeyed_run_outlives_its_owner_s_record(self) -> None:
        """The router waits for an owner that still answers probes."""
        for idempotent in (True, False):
            world = World()
            run = world.send_request(idempotent=idempotent)
            await asyncio.sleep(RUN_STARTED_S)
            world.is_live = False
            self.assertEqual((await run).body, b'whole')
            self.assertEqual(world.target.runs, 1)

    async def test_idempotent_request_of_a_lost_owner_runs_elsewhere(
        self,
    ) -> None:
        """The router tries another owner if a lost one answers no probe."""
        world = World()
        run = world.send_request(idempotent=True)
        await asyncio.sleep(RUN_STARTED_S)
        world.is_live = False
        world.calls[0].is_silent = True
        self.assertEqual((await run).body, b'whole')
        self.assertEqual(world.target.runs, 2)

    # The owner goes on running an order whose link is lost.  The caller
    # received 504.
    async def test_unkeyed_order_outlives_its_link(self) -> None:
        """The owner's ledger joins the repeated request to the first run."""
        world = World()
        run = world.send_request()
        await asyncio.sleep(RUN_STARTED_S)
        world.cut()
        self.assertEqual((await run).body, b'whole')
        self.assertEqual(world.target.runs, 1)

    # The owner can't be dialled again at once after a link is lost.  The
    # callers of its orders received 504.
    async def test_order_outlives_an_unreachable_owner(self) -> None:
        """The router repeats the request until the deadline."""
        for shard in (SHARD, None):
            world = World()
            run = world.send_request(shard)
            await asyncio.sleep(RUN_STARTED_S)
            world.is_unreachable = True
            world.cut()
            await asyncio.sleep(OUTAGE_S)
            world.is_unreachable = False
            self.assertEqual((await run).body, b'whole')
            self.assertEqual(world.target.runs, 1)

    # The owner refused the repeat of a running order as "not run", because
    # its target was draining.
    async def test_running_order_is_answered_while_its_target_drains(
        self,
    ) -> None:
        """The owner looks up the ledger before it checks its target."""
        for shard in (SHARD, None):
            world = World()
            run = world.send_request(shard)
            await asyncio.sleep(RUN_STARTED_S)
            announced = world.owner.tracker.announced
            assert announced is not None
            world.owner.tracker.announce(
                announced.model_copy(update={'state': 'draining'})
            )
            world.cut()
            self.assertEqual((await run).body, b'whole')
            self.assertEqual(world.target.runs, 1)

    async def test_order_is_not_repeated_at_a_restarted_owner(self) -> None:
        """A restarted process has no ledger and would run the order again."""
        world = World()
        run = world.send_request()
        await asyncio.sleep(RUN_STARTED_S)
        world.peer = NodeId('far.2')
        world.cut()
        with self.assertRaises(UncertainError):
            await run
        self.assertEqual(world.target.runs, 1)

    # An owner that had not received a new service's configuration yet
    # answered 404.
    async def test_owner_without_the_configuration_is_retried(
        self,
    ) -> None:
        """A request that its ingress accepted waits for the owner's copy."""
        world = World()
        world.configs.remove(FILES)
        run = world.send_request()
        await asyncio.sleep(RUN_STARTED_S)
        self.assertFalse(run.done())
        world.configure()
        self.assertEqual((await run).body, b'whole')

    # The router broke off a download whose target paused for 10 s within
    # the body.
    async def test_silence_within_an_answer_does_not_end_it(self) -> None:
        """The router waits for the rest of an answer until the deadline."""
        world = World()
        world.target.pause_ms = DEADLINE_MS // 2
        answer = await world.send_request(idempotent=True)
        assert answer.rest is not None
        parts = [part async for part in answer.rest]
        self.assertEqual(b''.join(parts), b' rest')

    # An owner left after it had sent a whole answer.  The router broke off
    # the part that the caller had not read yet.
    async def test_received_answer_outlives_its_link(self) -> None:
        """A slow caller receives all that was sent before the link closed."""
        world = World()
        world.target.pause_ms = 1
        world.target.parts = 6
        answer = await world.send_request(idempotent=True)
        assert answer.rest is not None
        await asyncio.sleep(RUN_STARTED_S)
        world.cut()
        parts = [part async for part in answer.rest]
        self.assertEqual(b''.join(parts), b' rest' * world.target.parts)

    # The router refused a running order as "not run" at its deadline, after
    # the owner's record had been claimed.
    async def test_order_of_a_claimed_owner_may_have_run(self) -> None:
        """Only an owner whose ledger has the id may answer "not run"."""
        world = World()
        run = world.send_request(SHARD)
        await asyncio.sleep(RUN_STARTED_S)
        world.is_live = False
        world.cut()
        with self.assertRaises(RequestError) as caught:
            await run
        self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)


async def _no_replication(
    key: ShardKey, request: RequestId, limit_ms: float
) -> None:
    """Confirm a request id without a standby."""
