"""A world of processes whose calls move, and an oracle that watches them.

Processes have real pools and links; what lies between them is held up, goes
silent, is reset, cut or slowed at random, for all connections of two
processes or for one of them, and processes are killed and started again.
"""

import asyncio
import dataclasses
import functools
import itertools
import random
import sys
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, cast
from unittest import mock

from savoryhold.core.errors import LinkError
from savoryhold.mesh.tests.virtual_time import run_virtual
from savoryhold.mesh.tests.simulated_network import Life, Path, Wires
from savoryhold.peer import PeerPool, messages, served_calls
from savoryhold.peer.link import Link
from savoryhold.peer.stream import LinkStream
from savoryhold.peer.served_calls import ServedCall

__all__ = ['Fault', 'World', 'faults_of']

Strike = Callable[['World', Path], float]

HOSTS = ('a', 'b', 'c')
PORT = 1
SECRET = b'a secret for tests'
MS_PER_SECOND = 1000
CALLS = 45
STRIKES = 14
KILLS = 2
RUN_S = 6.0
LIMIT_S = 4.0
LEAVE_RATE = 0.3
MAX_WORK_S = 1.5
ENDLESS_S = 8.0  # beyond all limits, but ends with the world
MAX_PARTS = 4
MAX_BODY = 600
PARTS_APART_S = (0.2, 0.2, 2.5)
MAX_DOWN_S = 0.3
SHORT_S = 0.3  # calls wait 0.8 s for their next connection
MAX_HELD_MS = 1500
MAX_CUT_S = 1.5
MAX_DELAY_MS = 40.0
LOOK_EVERY_S = 0.05
# What a strike may cost those who were dialling: the dial and its repetition.
SETTLE_S = 0.6
STOP_S = 1.0
# Until a call has moved, and its answer has come, on a path that is well.
MOVE_S = 2.0
# Small, so that answers are forgotten while they are still asked for.
KEPT_BYTES = (1000, 4_000_000, 4_000_000)
KEPT_S = (0.3, 5.0, 5.0)


@dataclasses.dataclass(frozen=True)
class Fault:
    """What the oracle objects to."""

    rule: str
    call: str
    at_s: float


@dataclasses.dataclass
class Call:
    """A call as its beginner knows it, and what became of it elsewhere."""

    name: str
    beginner: 'Process'
    server: str
    limit_s: float
    work_s: float
    parts: list[bytes]
    apart_s: float = 0
    until: float = 0.0
    gone_at: float | None = None
    reason: str = ''
    began_at: float = 0
    ended_at: float = 0
    heard: list[bytes] = dataclasses.field(default_factory=list)
    begun: list['Process'] = dataclasses.field(default_factory=list)
    task: 'asyncio.Task[None] | None' = None

    @property
    def pair(self) -> frozenset[str]:
        """Return the two hosts."""
        return frozenset((self.beginner.life.host, self.server))

    def leave(self) -> None:
        """Give the call up."""
        if self.task is not None:
            self.task.cancel()


class Process:
    """One life of a process that begins and serves calls."""

    def __init__(self, world: 'World', host: str) -> None:
        self.world = world
        self.born_at = _now()
        self.died_at = 0.0
        self.life = Life(host, world.wires)
        self.pool = PeerPool(host, SECRET, self.serve)
        self.newest: dict[Process, int] = {}
        world.wires.listen(self.life, PORT, self.pool.accept)
        self.watch = self.spawn(self.pool.probe_silent_links())

    def spawn(self, work: Coroutine[Any, Any, None]) -> 'asyncio.Task[None]':
        """Begin a task of this process."""
        loop = asyncio.get_running_loop()
        return cast('asyncio.Task[None]', self.life.run(loop.create_task, work))

    def kill(self) -> None:
        """End it as a signal does."""
        self.died_at = _now()
        self.life.kill()

    # Beginning --------------------------------------------------------------

    async def ask(self, call: Call) -> None:
        """Begin a call and wait for its whole answer."""
        call.began_at = _now()
        try:
            await self._ask(call)
        finally:
            call.ended_at = _now()

    async def _ask(self, call: Call) -> None:
        try:
            stream = await self._send(call)
        except LinkError as exc:
            self.world.check(not exc.sent, 'unsent says sent', call)
            call.reason = 'unsent'
            return
        except asyncio.CancelledError:
            call.reason = 'left'
            raise
        try:
            await self._receive(call, stream)
        except LinkError as exc:
            self.world.check(exc.sent, 'sent says unsent', call)
            call.gone_at, call.reason = _now(), str(exc)
            stream.cancel_at_peer()
        except asyncio.CancelledError:
            call.gone_at, call.reason = _now(), 'left'
            stream.cancel_at_peer()
            raise
        finally:
            stream.close()

    async def _send(self, call: Call) -> LinkStream:
        stream = await self.pool.open(f'{call.server}:{PORT}')
        try:
            stream.begin(lambda: messages.Relay(request_id=call.name))
        except LinkError:
            stream.close()
            raise
        return stream

    async def _receive(self, call: Call, stream: LinkStream) -> None:
        call.until = _now() + call.limit_s
        while True:
            left_s = call.until - _now()
            part = await stream.receive(max(left_s, 0) * MS_PER_SECOND)
            call.heard.append(part.body)
            if not part.more:
                call.reason = 'answered'
                return

    # Serving ----------------------------------------------------------------

    async def serve(
        self, stream: LinkStream, message: messages.Message
    ) -> None:
        """Answer a probe, or a call in several messages."""
        if isinstance(message, messages.Probe):
            stream.send(messages.Ack(ok=True))
            return
        call = self.world.calls[message.request_id]
        self._note(call, cast(ServedCall, stream))
        run = Run(call, self, stream)
        self.world.running.append(run)
        try:
            await self._answer(call, stream)
        finally:
            self.world.running.remove(run)

    async def _answer(self, call: Call, stream: LinkStream) -> None:
        await asyncio.sleep(call.work_s)
        for place, body in enumerate(call.parts, start=1):
            more = place < len(call.parts)
            stream.send(messages.Chunk(body=body, more=more))
            if more:
                await asyncio.sleep(call.apart_s)

    def _note(self, call: Call, stream: ServedCall) -> None:
        check = self.world.check
        check(not call.begun, 'begun twice', call)
        check(call.reason != 'unsent', 'an unsent call is begun', call)
        newest = self.newest.get(call.beginner, 0)
        check(stream.order >= newest, 'begun on a replaced connection', call)
        self.newest[call.beginner] = max(newest, stream.order)
        call.begun.append(self)


@dataclasses.dataclass(eq=False)
class Run:
    """A call that is being served."""

    call: Call
    server: Process
    stream: LinkStream

    @property
    def is_untold(self) -> bool:
        """Return whether nothing can tell that the beginner has died.

        Notes
        -----
        The served end does not probe: it hears of the end of a process from
        the kernel, but not through a connection that loses everything.
        """
        end = cast(Link, self.stream.link)._transport
        is_silent = getattr(end, 'is_silent', False)
        return is_silent and self.call.beginner.life.is_over


class World:
    """Processes, their calls, and trouble between them.

    Parameters
    ----------
    seed : int
        What happens follows from it.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.wires = Wires()
        self.calls: dict[str, Call] = {}
        self.running: list[Run] = []
        self.faults: list[Fault] = []
        self.well_at: dict[frozenset[str], float] = {}
        self.troubles: list[tuple[frozenset[str], float, float]] = []
        self.hosts = HOSTS[: self.rng.choice((2, 3))]
        self.lives: list[Process] = []
        self.up: dict[str, Process] = {}

    async def run(self) -> list[Fault]:
        """Let all happen, heal it, and return what the oracle objects to."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_exception)
        for host in self.hosts:
            self._start(host)
        watch = asyncio.create_task(self._watch())
        self._plan()
        await asyncio.sleep(RUN_S + MAX_CUT_S)
        await asyncio.sleep(LIMIT_S + SETTLE_S + STOP_S + MOVE_S)
        watch.cancel()
        for call in self.calls.values():
            self._check_end(call)
        await self._check_kept()
        for process in self.lives:
            process.kill()
        await asyncio.sleep(LOOK_EVERY_S)
        return self.faults

    def check(self, fine: bool, rule: str, call: Call | str) -> None:
        """Note a fault unless all is well."""
        if not fine:
            name = call if isinstance(call, str) else call.name
            self.faults.append(Fault(rule, name, round(_now(), 3)))

    def trouble(self, pair: frozenset[str], lasts_s: float) -> None:
        """Note that a path is not well for a time."""
        until = _now() + lasts_s + SETTLE_S
        is_cut = self.wires.path(*sorted(pair)).is_cut
        self.troubles.append((pair, _now(), lasts_s if is_cut else 0))
        self.well_at[pair] = max(self.well_at.get(pair, 0), until)

    def outcomes(self) -> Counter[str]:
        """Return how often calls ended how, to see what the worlds cover."""
        return Counter(
            f'{call.reason} begun={len(call.begun)} heard={len(call.heard) > 0}'
            for call in self.calls.values()
        )

    # What happens -----------------------------------------------------------

    def _plan(self) -> None:
        loop, rng = asyncio.get_running_loop(), self.rng
        for number in range(CALLS):
            loop.call_later(rng.uniform(0, RUN_S), self._ask, f'{number}')
        for _ in range(rng.randint(0, STRIKES)):
            loop.call_later(rng.uniform(0, RUN_S), self._strike)
        for _ in range(rng.randint(0, KILLS)):
            loop.call_later(rng.uniform(0, RUN_S), self._kill)

    def _start(self, host: str) -> None:
        self.up[host] = Process(self, host)
        self.lives.append(self.up[host])

    def _ask(self, name: str) -> None:
        rng = self.rng
        host, server = rng.sample(self.hosts, 2)
        sizes = [rng.randrange(MAX_BODY) for _ in range(rng.randint(1, 2))]
        if rng.random() < 1 / MAX_PARTS:
            sizes = [rng.randrange(MAX_BODY) for _ in range(MAX_PARTS)]
        call = Call(
            name=f'{name} {host}-{server}',
            beginner=self.up[host],
            server=server,
            limit_s=rng.uniform(LIMIT_S / 2, LIMIT_S),
            work_s=rng.choice((0, rng.uniform(0, MAX_WORK_S), ENDLESS_S)),
            parts=[],
        )
        if call.work_s < ENDLESS_S:
            call.apart_s = rng.choice(PARTS_APART_S)
        call.parts = [
            f'{call.name} {place}'.encode().ljust(size, b'.')
            for place, size in enumerate(sizes)
        ]
        leave_s = rng.uniform(0, MAX_WORK_S)
        leaves = rng.random() < LEAVE_RATE
        if call.beginner.life.is_over:
            return
        self.calls[call.name] = call
        call.task = call.beginner.spawn(call.beginner.ask(call))
        if leaves:
            asyncio.get_running_loop().call_later(leave_s, call.leave)

    def _strike(self) -> None:
        pair = frozenset(self.rng.sample(self.hosts, 2))
        path = self.wires.path(*sorted(pair))
        strike = self.rng.choice(STRIKES_KNOWN)
        self.trouble(pair, strike(self, path))

    def _kill(self) -> None:
        host = self.rng.choice(self.hosts)
        down_s = self.rng.choice((0, self.rng.uniform(0, MAX_DOWN_S)))
        if self.up[host].life.is_over:
            return
        self.up[host].kill()
        for other in self.hosts:
            if other != host:
                self.trouble(frozenset((host, other)), down_s)
        asyncio.get_running_loop().call_later(down_s, self._start, host)

    # What must hold ---------------------------------------------------------

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            for run in self.running:
                self._check_run(run)

    def _check_run(self, run: Run) -> None:
        """See that nothing is served for nobody."""
        call = run.call
        gone_at = call.gone_at
        if call.beginner.life.is_over:
            gone_at = min(gone_at or _now(), call.beginner.died_at)
        if gone_at is None or run.is_untold:
            return
        stopped_by = max(gone_at, self.well_at.get(call.pair, 0)) + STOP_S
        self.check(_now() <= stopped_by, 'served for nobody', call)

    def _check_end(self, call: Call) -> None:
        if call.beginner.life.is_over or call.reason == 'left':
            return
        whole = call.heard == call.parts
        self.check(bool(call.reason), 'never ended', call)
        self.check(
            call.parts[: len(call.heard)] == call.heard, 'wrong answer', call
        )
        if call.reason == 'answered':
            self.check(whole, 'answer not whole', call)
        elif call.reason == 'no reply in time':
            self._check_silence(call)
        elif call.reason != 'unsent':
            self._check_error(call)

    def _check_silence(self, call: Call) -> None:
        """See that a path that is well brings an answer, or tells why not.

        Notes
        -----
        A call of which something was heard does not move.
        """
        takes_s = call.work_s + len(call.parts) * call.apart_s + MOVE_S
        began = max(call.until - call.limit_s, self.well_at.get(call.pair, 0))
        in_time = began + takes_s <= call.until
        self.check(not in_time or bool(call.heard), 'silence', call)

    def _check_error(self, call: Call) -> None:
        """See that one short trouble ends no call that nobody has answered.

        Notes
        -----
        A call of which something was heard does not move, answers are kept
        only so long, and what a process has begun ends with it.
        """
        since = call.began_at - MOVE_S
        cuts_s = [
            cut_s
            for pair, at, cut_s in self.troubles
            if pair == call.pair and since <= at <= call.ended_at
        ]
        is_short = len(cuts_s) < 2 and sum(cuts_s) <= SHORT_S
        is_kept = (
            served_calls.KEPT_S >= MOVE_S
            and served_calls.MAX_KEPT_BYTES > KEPT_BYTES[0]
        )
        there = self.up[call.server].born_at == 0
        fine = not (is_short and is_kept and there) or bool(call.heard)
        self.check(fine, f'ended by little: {call.reason}', call)

    async def _check_kept(self) -> None:
        """See that nothing is left behind once all has ended."""
        await asyncio.sleep(served_calls.KEPT_S + STOP_S)
        self.check(not self.running, 'still served', 'end')
        for process in self.up.values():
            self._check_process(process)
        # The first may find out that a process behind a silence is no more.
        await self._ask_all('first')
        for call in await self._ask_all('last'):
            self.check(call.reason == 'answered', 'not answered', call)
        for process in self.up.values():
            kept = len(process.pool.endpoint.served)
            self.check(kept < 2 * len(self.hosts), 'calls kept', str(kept))

    async def _ask_all(self, name: str) -> list[Call]:
        asked = []
        for host, server in itertools.permutations(self.hosts, 2):
            process = self.up[host]
            title = f'{name} {host}-{server}'
            call = Call(title, process, server, MOVE_S, 0, [b''])
            self.calls[title] = call
            process.spawn(process.ask(call))
            asked.append(call)
        await asyncio.sleep(MOVE_S + STOP_S)
        for call in asked:
            self._check_end(call)
        return asked

    def _check_process(self, process: Process) -> None:
        host = process.life.host
        pool = process.pool
        busy = [task for task in process.life.tasks if not task.done()]
        names = sorted(
            str(task.get_coro()) for task in busy if task is not process.watch
        )
        self.check(not names, 'tasks kept', f'{host} {names}')
        known = [*pool._probing, *pool._dialling, *pool._moves]
        self.check(not known, 'entries kept', host)
        for end in process.life.ends:
            if end.is_closing():
                continue
            link = cast(Link, end.protocol)
            kept = [*link._calls, *link._served]
            self.check(not kept, 'streams kept', f'{host} {kept}')
            if link.dialled:
                is_used = link in pool._links.values()
                self.check(is_used, 'connection kept', host)

    def _on_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        told = context.get('exception') or context.get('message')
        self.check(False, 'exception', repr(told))


# Trouble; each returns how long it lasts.


def hold(world: World, path: Path) -> float:
    """Hold up what is sent on the connections that exist."""
    held_ms = world.rng.uniform(0, MAX_HELD_MS)
    path.hold(held_ms)
    return held_ms / MS_PER_SECOND


def silence(world: World, path: Path) -> float:
    """Lose all that is sent on the connections that exist."""
    path.silence()
    return 0


def reset(world: World, path: Path) -> float:
    """End the connections that exist."""
    path.reset()
    return 0


def cut(world: World, path: Path) -> float:
    """Let nothing pass for a while."""
    lasts_s = world.rng.uniform(0, MAX_CUT_S)
    path.cut()
    asyncio.get_running_loop().call_later(lasts_s, path.mend)
    return lasts_s


def silence_and_cut(world: World, path: Path) -> float:
    """Lose what exists, with nothing new for a while."""
    path.silence()
    return cut(world, path)


def reset_and_cut(world: World, path: Path) -> float:
    """End what exists, with nothing new for a while."""
    path.reset()
    return cut(world, path)


def hold_and_silence(world: World, path: Path) -> float:
    """Hold up what is sent now, and lose what follows."""
    lasts_s = hold(world, path)
    delay_s = world.rng.uniform(0, lasts_s)
    asyncio.get_running_loop().call_later(delay_s, path.silence)
    return lasts_s


def slow(world: World, path: Path) -> float:
    """Take longer on the way from now on."""
    path.delay_ms = world.rng.uniform(1, MAX_DELAY_MS)
    return 0


def strike_one(world: World, path: Path) -> float:
    """Hold up, silence or reset one connection of several."""
    near = world.rng.choice(path._ends or [None])
    if near is None or near.far is None:
        return 0
    lasts_s = world.rng.uniform(0, MAX_HELD_MS) / MS_PER_SECOND
    kind = world.rng.choice(('hold', 'silence', 'reset', 'forget'))
    if kind == 'forget':
        # Something between has forgotten it, and tells one end only.
        near.far.is_silent = True
        near.reset()
        return 0
    for end in (near, near.far):
        if kind == 'hold':
            end.held_until = _now() + lasts_s
        elif kind == 'silence':
            end.is_silent = True
        else:
            end.reset()
    return lasts_s


STRIKES_KNOWN: tuple[Strike, ...] = (
    hold,
    silence,
    reset,
    cut,
    silence_and_cut,
    reset_and_cut,
    hold_and_silence,
    slow,
    strike_one,
    strike_one,
)


def faults_of(seed: int) -> list[Fault]:
    """Return what the oracle objects to in the world of a seed."""
    rng = random.Random(seed)
    patch = functools.partial(mock.patch.object, served_calls)
    kept_bytes, kept_s = rng.choice(KEPT_BYTES), rng.choice(KEPT_S)
    with patch('MAX_KEPT_BYTES', kept_bytes), patch('KEPT_S', kept_s):
        return run_virtual(World(seed).run())


def _now() -> float:
    return asyncio.get_running_loop().time()


def main() -> None:
    """Print what the oracle objects to in a range of seeds."""
    first, end = (int(word) for word in sys.argv[1:])
    rules: Counter[str] = Counter()
    for seed in range(first, end):
        found = faults_of(seed)
        rules.update({fault.rule for fault in found})
        if found:
            print(seed, found[0], flush=True)  # noqa: WPS421
    print(end - first, 'seeds', dict(rules))  # noqa: WPS421


if __name__ == '__main__':
    main()
