"""Links and records that are lost while requests run at their owner.

Pattern: an owner leaves, or the link to it is cut and comes back, while its
target is at work.
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
FAR = NodeId('far.1')
OTHER = NodeId('other.1')
FILES = ServiceName('files')
SHARD = ShardKey(FILES, ShardId(3))
REGION = Region('sofia')
WORK_MS = 1000
DEADLINE_MS = 30_000
EARLY_S = 0.3  # the run has begun
AWAY_S = 1.0  # longer than a dial may take


class _LoopClock:
    def now(self) -> int:
        """Return the loop's time in ms."""
        return round(asyncio.get_running_loop().time() * MS_PER_SECOND)


class _Target:
    """In place of the connections to the target."""

    def __init__(self) -> None:
        self.runs = 0
        self.pause_ms = 0
        self.parts = 1

    async def call(self, *args: Any) -> RoutedAnswer:
        """Run a request."""
        self.runs += 1
        may_send = args[-1]
        may_send()
        await asyncio.sleep(WORK_MS / MS_PER_SECOND)
        rest = self._pause() if self.pause_ms else None
        return RoutedAnswer(200, (), b'whole', rest)

    async def _pause(self) -> AsyncIterator[bytes]:
        await asyncio.sleep(self.pause_ms / MS_PER_SECOND)
        for _ in range(self.parts):
            yield b' rest'

    async def cancel(self, address: str, request: str) -> None:
        """Take note of nothing."""


class _End:
    """One end of a call."""

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
        """Forget the call."""


class _Call(_End):
    """The asking end, which has its messages served at once."""

    def __init__(self, world: 'World') -> None:
        super().__init__(
            world.peer, SimpleNamespace(closed=False, call=self.probe)
        )
        self._world = world
        self._far = _FarEnd(self)
        self._serving: asyncio.Task[None] | None = None

    def send(self, message: messages.Message) -> None:
        """Have the owner serve a forwarded request."""
        if isinstance(message, messages.Forward):
            serving = self._world.peers.handle(cast(Any, self._far), message)
            self._serving = asyncio.ensure_future(serving)
            self._world.calls.append(self)
        elif self.link.closed:
            raise LinkError('link closed', sent=False)
        elif isinstance(message, messages.Credit):
            self._far.inbox.put_nowait(message)

    async def probe(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Answer a probe of the link."""
        if self.is_silent:
            await asyncio.sleep(timeout_ms / MS_PER_SECOND)
            raise LinkError('no reply in time', sent=True)
        return messages.Ack(ok=True)

    def cut(self) -> None:
        """Close the link at both ends."""
        self.link.closed = True
        if self._serving is not None:
            self._serving.cancel()


class _FarEnd(_End):
    """The end of the owner."""

    def __init__(self, call: _Call) -> None:
        super().__init__(NodeId('here.1'), call.link)
        self._call = call

    def send(self, message: messages.Message) -> None:
        """Bring a message to the asking end."""
        if not self._call.is_silent:
            self._call.inbox.put_nowait(message)


class World:
    """A router, its links, and the owner of all requests."""

    def __init__(self) -> None:
        self.clock = _LoopClock()
        self.peer = FAR
        self.calls: list[_Call] = []
        self.is_away = False
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
            node=FAR,
        )
        self.owner = OwnerTask(
            cast(Any, machine),
            self.configs,
            tracker,
            self.clock,
            limits,
            _keep,
        )
        self.owner._client = cast(Any, self.target)
        directory = SimpleNamespace(
            is_live=lambda node: self.is_live or node == OTHER,
            route=lambda shard: SimpleNamespace(owner=FAR),
            offering=lambda service: [
                SimpleNamespace(
                    node=FAR if self.is_live else OTHER,
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
        """Put the service in force at the owner."""
        config = unkeyed_service(FILES).config
        accepted = AcceptedConfig(revision=1, service=config, audit=())
        self.configs.accept(accepted)

    def address_of(self, node: NodeId) -> str | None:
        """Return a node's address while it has a record."""
        return node if self.is_live or node == OTHER else None

    async def open(self, address: str) -> _Call:
        """Begin a call to the owner."""
        if self.is_away:
            raise LinkError('not reached', sent=False)
        return _Call(self)

    def ask(
        self, shard: ShardKey | None = None, *, idempotent: bool = False
    ) -> 'asyncio.Task[RoutedAnswer]':
        """Have a caller's request routed."""
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
    """What callers get whose requests were promised to an owner."""

    # A leaving owner's record went first, and what it still ran ended as 504.
    async def test_run_without_keys_outlives_its_owner_s_record(self) -> None:
        """An owner that still answers is waited for."""
        for idempotent in (True, False):
            world = World()
            run = world.ask(idempotent=idempotent)
            await asyncio.sleep(EARLY_S)
            world.is_live = False
            self.assertEqual((await run).body, b'whole')
            self.assertEqual(world.target.runs, 1)

    async def test_lookup_at_a_dead_owner_runs_elsewhere(self) -> None:
        """A link that answers nothing is not waited for until the end."""
        world = World()
        run = world.ask(idempotent=True)
        await asyncio.sleep(EARLY_S)
        world.is_live = False
        world.calls[0].is_silent = True
        self.assertEqual((await run).body, b'whole')
        self.assertEqual(world.target.runs, 2)

    # One lost link ended an order that its owner went on to run: 504.
    async def test_order_without_keys_outlives_its_link(self) -> None:
        """The owner's ledger joins the second question to the first run."""
        world = World()
        run = world.ask()
        await asyncio.sleep(EARLY_S)
        world.cut()
        self.assertEqual((await run).body, b'whole')
        self.assertEqual(world.target.runs, 1)

    # An owner that could not be dialled at once lost its orders: 504.
    async def test_order_outlives_a_path_that_is_away(self) -> None:
        """The owner is asked again until the deadline."""
        for shard in (SHARD, None):
            world = World()
            run = world.ask(shard)
            await asyncio.sleep(EARLY_S)
            world.is_away = True
            world.cut()
            await asyncio.sleep(AWAY_S)
            world.is_away = False
            self.assertEqual((await run).body, b'whole')
            self.assertEqual(world.target.runs, 1)

    # A draining target's owner said "not run" of an order that it ran.
    async def test_known_order_is_answered_by_a_draining_owner(self) -> None:
        """The ledger is asked before anything else."""
        for shard in (SHARD, None):
            world = World()
            run = world.ask(shard)
            await asyncio.sleep(EARLY_S)
            announced = world.owner.tracker.announced
            assert announced is not None
            world.owner.tracker.announce(
                announced.model_copy(update={'state': 'draining'})
            )
            world.cut()
            self.assertEqual((await run).body, b'whole')
            self.assertEqual(world.target.runs, 1)

    async def test_another_life_of_the_owner_is_not_asked(self) -> None:
        """A process without the ledger would run the order again."""
        world = World()
        run = world.ask()
        await asyncio.sleep(EARLY_S)
        world.peer = NodeId('far.2')
        world.cut()
        with self.assertRaises(UncertainError):
            await run
        self.assertEqual(world.target.runs, 1)

    # An owner that heard later of a new service answered 404.
    async def test_owner_with_an_older_configuration_is_waited_for(
        self,
    ) -> None:
        """What one daemon has taken no other calls unknown."""
        world = World()
        world.configs.remove(FILES)
        run = world.ask()
        await asyncio.sleep(EARLY_S)
        self.assertFalse(run.done())
        world.configure()
        self.assertEqual((await run).body, b'whole')

    # A download whose target paused for 10 s in its body was broken off.
    async def test_silence_within_an_answer_does_not_end_it(self) -> None:
        """The rest of an answer is waited for until the deadline."""
        world = World()
        world.target.pause_ms = DEADLINE_MS // 2
        answer = await world.ask(idempotent=True)
        assert answer.rest is not None
        parts = [part async for part in answer.rest]
        self.assertEqual(b''.join(parts), b' rest')

    # A whole answer was broken off, as its owner had left after sending it.
    async def test_answer_that_has_arrived_outlives_its_link(self) -> None:
        """A slow caller gets all that was sent before the link closed."""
        world = World()
        world.target.pause_ms = 1
        world.target.parts = 6
        answer = await world.ask(idempotent=True)
        assert answer.rest is not None
        await asyncio.sleep(EARLY_S)
        world.cut()
        parts = [part async for part in answer.rest]
        self.assertEqual(b''.join(parts), b' rest' * world.target.parts)

    # An order of a claimed owner was refused as "not run" at its deadline.
    async def test_order_of_a_claimed_owner_may_have_run(self) -> None:
        """Only an owner that knows the id may say that it did not run."""
        world = World()
        run = world.ask(SHARD)
        await asyncio.sleep(EARLY_S)
        world.is_live = False
        world.cut()
        with self.assertRaises(RequestError) as caught:
            await run
        self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)


async def _keep(key: ShardKey, request: RequestId, limit_ms: float) -> None:
    """Keep nothing."""
