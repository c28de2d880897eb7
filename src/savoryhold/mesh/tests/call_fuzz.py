"""Fuzz test of calls between nodes, with an oracle that checks each of them.

Nodes have real pools and links on a simulated network. At random times all
connections between two nodes, or one of them, stall, silently lose data, are
reset, cut or slowed down, and nodes are killed and restarted. Calls must then
resume on another connection, and still run at most once.

Run ``python -m savoryhold.mesh.tests.call_fuzz FIRST END`` to play the seeds
from FIRST up to, but without, END.
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
from savoryhold.mesh.tests.simulated_network import (
    NetworkPath,
    SimulatedNetwork,
    SimulatedProcess,
)
from savoryhold.mesh.tests.virtual_time import run_virtual
from savoryhold.peer import PeerPool, messages, served_calls
from savoryhold.peer.link import Link
from savoryhold.peer.served_calls import ServedCall
from savoryhold.peer.stream import LinkStream

__all__ = ['CallSimulation', 'Violation', 'violations_of']

FaultInjector = Callable[['CallSimulation', NetworkPath], float]

HOSTS = ('a', 'b', 'c')
PORT = 1
SECRET = b'a secret for tests'
MS_PER_SECOND = 1000
CALLS = 45
MAX_FAULTS = 14
MAX_KILLS = 2
RUN_S = 6.0
TIMEOUT_S = 4.0
CANCEL_RATE = 0.3
MAX_WORK_S = 1.5
UNBOUNDED_S = 8.0  # beyond all timeouts, but ends within the simulation
MAX_CHUNKS = 4
MAX_BODY = 600
CHUNK_INTERVALS_S = (0.2, 0.2, 2.5)
MAX_DOWNTIME_S = 0.3
SHORT_CUT_S = 0.3  # a call waits up to 0.8 s for its next connection
MAX_STALL_MS = 1500
MAX_CUT_S = 1.5
MAX_DELAY_MS = 40.0
CHECK_INTERVAL_S = 0.05
# A node that dials during a fault may fail twice: at first and on its retry.
SETTLE_S = 0.6
STOP_S = 1.0  # within which the run of an abandoned call must stop
# Enough for a call to resume and be answered on a healthy path.
RESUME_S = 2.0
# The small values make nodes discard answers that are still requested.
KEPT_BYTES = (1000, 4_000_000, 4_000_000)
KEPT_S = (0.3, 5.0, 5.0)


@dataclasses.dataclass(frozen=True)
class Violation:
    """A rule that was broken, by which call and when."""

    rule: str
    call: str
    at_s: float


@dataclasses.dataclass
class Call:
    """A call as its caller sees it, and the nodes that have served it."""

    name: str
    caller: 'SimulatedNode'
    server: str
    timeout_s: float
    work_s: float
    chunks: list[bytes]
    chunk_interval_s: float = 0
    deadline: float = 0.0
    abandoned_at: float | None = None
    outcome: str = ''
    started_at: float = 0
    ended_at: float = 0
    received: list[bytes] = dataclasses.field(default_factory=list)
    served_by: list['SimulatedNode'] = dataclasses.field(default_factory=list)
    task: 'asyncio.Task[None] | None' = None

    @property
    def pair(self) -> frozenset[str]:
        """Return the hosts of the caller and of the server."""
        return frozenset((self.caller.process.host, self.server))

    def cancel(self) -> None:
        """Abandon the call."""
        if self.task is not None:
            self.task.cancel()


class SimulatedNode:
    """A node, from start to kill, that makes and serves calls."""

    def __init__(self, simulation: 'CallSimulation', host: str) -> None:
        self.simulation = simulation
        self.started_at = _now()
        self.killed_at = 0.0
        self.process = SimulatedProcess(host, simulation.network)
        self.pool = PeerPool(host, SECRET, self.serve)
        self.newest_order: dict[SimulatedNode, int] = {}
        simulation.network.listen(self.process, PORT, self.pool.accept)
        self.probe_task = self.spawn(self.pool.probe_silent_links())

    def spawn(self, work: Coroutine[Any, Any, None]) -> 'asyncio.Task[None]':
        """Start a task of this process."""
        loop = asyncio.get_running_loop()
        return cast(
            'asyncio.Task[None]', self.process.run(loop.create_task, work)
        )

    def kill(self) -> None:
        """End the process as SIGKILL does."""
        self.killed_at = _now()
        self.process.kill()

    # Calls that this node makes ---------------------------------------------

    async def ask(self, call: Call) -> None:
        """Make a call and wait for its whole answer."""
        call.started_at = _now()
        try:
            await self._ask(call)
        finally:
            call.ended_at = _now()

    async def _ask(self, call: Call) -> None:
        try:
            stream = await self._send(call)
        except LinkError as exc:
            self.simulation.check(
                not exc.sent, 'unsent call reported as sent', call
            )
            call.outcome = 'unsent'
            return
        except asyncio.CancelledError:
            call.outcome = 'cancelled'
            raise
        try:
            await self._receive(call, stream)
        except LinkError as exc:
            self.simulation.check(
                exc.sent, 'sent call reported as unsent', call
            )
            call.abandoned_at, call.outcome = _now(), str(exc)
            stream.cancel_at_peer()
        except asyncio.CancelledError:
            call.abandoned_at, call.outcome = _now(), 'cancelled'
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
        call.deadline = _now() + call.timeout_s
        while True:
            left_s = call.deadline - _now()
            chunk = await stream.receive(max(left_s, 0) * MS_PER_SECOND)
            call.received.append(chunk.body)
            if not chunk.more:
                call.outcome = 'answered'
                return

    # Calls that this node serves --------------------------------------------

    async def serve(
        self, stream: LinkStream, message: messages.Message
    ) -> None:
        """Answer a probe with one message, a call with one or more."""
        if isinstance(message, messages.Probe):
            stream.send(messages.Ack(ok=True))
            return
        call = self.simulation.calls[message.request_id]
        self._record_start(call, cast(ServedCall, stream))
        run = Run(call, self, stream)
        self.simulation.running_calls.append(run)
        try:
            await self._answer(call, stream)
        finally:
            self.simulation.running_calls.remove(run)

    async def _answer(self, call: Call, stream: LinkStream) -> None:
        await asyncio.sleep(call.work_s)
        for place, body in enumerate(call.chunks, start=1):
            more = place < len(call.chunks)
            stream.send(messages.Chunk(body=body, more=more))
            if more:
                await asyncio.sleep(call.chunk_interval_s)

    def _record_start(self, call: Call, stream: ServedCall) -> None:
        check = self.simulation.check
        check(not call.served_by, 'run twice', call)
        check(call.outcome != 'unsent', 'unsent call was run', call)
        newest_order = self.newest_order.get(call.caller, 0)
        check(
            stream.order >= newest_order,
            'started on a replaced connection',
            call,
        )
        self.newest_order[call.caller] = max(newest_order, stream.order)
        call.served_by.append(self)


@dataclasses.dataclass(eq=False)
class Run:
    """A call that is being served."""

    call: Call
    server: SimulatedNode
    stream: LinkStream

    @property
    def is_caller_exit_hidden(self) -> bool:
        """Return whether the serving node cannot learn that the caller died.

        Notes
        -----
        The serving end does not probe. It learns of the end of a process
        when the kernel closes the connection, but a silent connection loses
        that, too.
        """
        transport = cast(Link, self.stream.link)._transport
        is_silent = getattr(transport, 'is_silent', False)
        return is_silent and self.call.caller.process.has_exited


class CallSimulation:
    """Nodes, their calls, and random faults between them.

    Parameters
    ----------
    seed : int
        Determines all calls and faults.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.network = SimulatedNetwork()
        self.calls: dict[str, Call] = {}
        self.running_calls: list[Run] = []
        self.violations: list[Violation] = []
        self.healthy_at: dict[frozenset[str], float] = {}
        self.recorded_faults: list[tuple[frozenset[str], float, float]] = []
        self.hosts = HOSTS[: self.rng.choice((2, 3))]
        self.all_nodes: list[SimulatedNode] = []
        self.running_nodes: dict[str, SimulatedNode] = {}

    async def run(self) -> list[Violation]:
        """Play calls and faults, end the faults, and return all violations."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_exception)
        for host in self.hosts:
            self._start(host)
        watch = asyncio.create_task(self._watch_running_calls())
        self._plan()
        await asyncio.sleep(RUN_S + MAX_CUT_S)
        await asyncio.sleep(TIMEOUT_S + SETTLE_S + STOP_S + RESUME_S)
        watch.cancel()
        for call in self.calls.values():
            self._check_outcome(call)
        await self._check_leaks()
        for node in self.all_nodes:
            node.kill()
        await asyncio.sleep(CHECK_INTERVAL_S)
        return self.violations

    def check(self, holds: bool, rule: str, call: Call | str) -> None:
        """Record a violation of `rule` unless it `holds`."""
        if not holds:
            name = call if isinstance(call, str) else call.name
            self.violations.append(Violation(rule, name, round(_now(), 3)))

    def record_fault(self, pair: frozenset[str], duration_s: float) -> None:
        """Record that a path is unhealthy for a time."""
        healthy_at = _now() + duration_s + SETTLE_S
        is_cut = self.network.path(*sorted(pair)).is_cut
        self.recorded_faults.append((pair, _now(), duration_s if is_cut else 0))
        self.healthy_at[pair] = max(self.healthy_at.get(pair, 0), healthy_at)

    def outcomes(self) -> Counter[str]:
        """Count the outcomes of calls, to see what the simulations cover."""
        return Counter(
            f'{call.outcome} runs={len(call.served_by)} '
            f'received={len(call.received) > 0}'
            for call in self.calls.values()
        )

    # Calls and faults -------------------------------------------------------

    def _plan(self) -> None:
        loop, rng = asyncio.get_running_loop(), self.rng
        for number in range(CALLS):
            loop.call_later(rng.uniform(0, RUN_S), self._ask, f'{number}')
        for _ in range(rng.randint(0, MAX_FAULTS)):
            loop.call_later(rng.uniform(0, RUN_S), self._inject_fault)
        for _ in range(rng.randint(0, MAX_KILLS)):
            loop.call_later(rng.uniform(0, RUN_S), self._kill)

    def _start(self, host: str) -> None:
        self.running_nodes[host] = SimulatedNode(self, host)
        self.all_nodes.append(self.running_nodes[host])

    def _ask(self, name: str) -> None:
        rng = self.rng
        host, server = rng.sample(self.hosts, 2)
        sizes = [rng.randrange(MAX_BODY) for _ in range(rng.randint(1, 2))]
        if rng.random() < 1 / MAX_CHUNKS:
            sizes = [rng.randrange(MAX_BODY) for _ in range(MAX_CHUNKS)]
        call = Call(
            name=f'{name} {host}-{server}',
            caller=self.running_nodes[host],
            server=server,
            timeout_s=rng.uniform(TIMEOUT_S / 2, TIMEOUT_S),
            work_s=rng.choice((0, rng.uniform(0, MAX_WORK_S), UNBOUNDED_S)),
            chunks=[],
        )
        if call.work_s < UNBOUNDED_S:
            call.chunk_interval_s = rng.choice(CHUNK_INTERVALS_S)
        call.chunks = [
            f'{call.name} {place}'.encode().ljust(size, b'.')
            for place, size in enumerate(sizes)
        ]
        cancel_s = rng.uniform(0, MAX_WORK_S)
        is_cancelled = rng.random() < CANCEL_RATE
        if call.caller.process.has_exited:
            return
        self.calls[call.name] = call
        call.task = call.caller.spawn(call.caller.ask(call))
        if is_cancelled:
            asyncio.get_running_loop().call_later(cancel_s, call.cancel)

    def _inject_fault(self) -> None:
        pair = frozenset(self.rng.sample(self.hosts, 2))
        path = self.network.path(*sorted(pair))
        inject = self.rng.choice(FAULT_INJECTORS)
        self.record_fault(pair, inject(self, path))

    def _kill(self) -> None:
        host = self.rng.choice(self.hosts)
        downtime_s = self.rng.choice((0, self.rng.uniform(0, MAX_DOWNTIME_S)))
        if self.running_nodes[host].process.has_exited:
            return
        self.running_nodes[host].kill()
        for other in self.hosts:
            if other != host:
                self.record_fault(frozenset((host, other)), downtime_s)
        asyncio.get_running_loop().call_later(downtime_s, self._start, host)

    # Invariants -------------------------------------------------------------

    async def _watch_running_calls(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for run in self.running_calls:
                self._check_orphan(run)

    def _check_orphan(self, run: Run) -> None:
        """Check that the run of an abandoned call stops in time."""
        call = run.call
        abandoned_at = call.abandoned_at
        if call.caller.process.has_exited:
            abandoned_at = min(abandoned_at or _now(), call.caller.killed_at)
        if abandoned_at is None or run.is_caller_exit_hidden:
            return
        stopped_by = (
            max(abandoned_at, self.healthy_at.get(call.pair, 0)) + STOP_S
        )
        self.check(_now() <= stopped_by, 'served for nobody', call)

    def _check_outcome(self, call: Call) -> None:
        if call.caller.process.has_exited or call.outcome == 'cancelled':
            return
        is_complete = call.received == call.chunks
        self.check(bool(call.outcome), 'never ended', call)
        self.check(
            call.chunks[: len(call.received)] == call.received,
            'wrong answer',
            call,
        )
        if call.outcome == 'answered':
            self.check(is_complete, 'answer incomplete', call)
        elif call.outcome == 'no reply in time':
            self._check_silence(call)
        elif call.outcome != 'unsent':
            self._check_error(call)

    def _check_silence(self, call: Call) -> None:
        """Check that a call over a healthy path does not time out.

        Notes
        -----
        A call of which a part was received is not resumed.
        """
        takes_s = (
            call.work_s + len(call.chunks) * call.chunk_interval_s + RESUME_S
        )
        began = max(
            call.deadline - call.timeout_s, self.healthy_at.get(call.pair, 0)
        )
        in_time = began + takes_s <= call.deadline
        self.check(
            not in_time or bool(call.received),
            'timeout on a healthy path',
            call,
        )

    def _check_error(self, call: Call) -> None:
        """Check that one short fault fails no call.

        Notes
        -----
        Exempt are calls of which a part was received, as they are not
        resumed, simulations that keep answers too briefly, and calls to a
        process that was restarted, since its runs end with it.
        """
        since = call.started_at - RESUME_S
        cuts_s = [
            cut_s
            for pair, at, cut_s in self.recorded_faults
            if pair == call.pair and since <= at <= call.ended_at
        ]
        is_short = len(cuts_s) < 2 and sum(cuts_s) <= SHORT_CUT_S
        keeps_answers = (
            served_calls.KEPT_S >= RESUME_S
            and served_calls.MAX_KEPT_BYTES > KEPT_BYTES[0]
        )
        is_first_process = self.running_nodes[call.server].started_at == 0
        fine = not (is_short and keeps_answers and is_first_process) or bool(
            call.received
        )
        self.check(fine, f'failed by one short fault: {call.outcome}', call)

    async def _check_leaks(self) -> None:
        """Check that nothing is leaked once all calls have ended."""
        await asyncio.sleep(served_calls.KEPT_S + STOP_S)
        self.check(not self.running_calls, 'run leaked', 'end')
        for node in self.running_nodes.values():
            self._check_node_leaks(node)
        # The first round may only detect that a process has died behind a
        # silent connection.
        await self._ask_all_pairs('first')
        for call in await self._ask_all_pairs('last'):
            self.check(call.outcome == 'answered', 'not answered', call)
        for node in self.running_nodes.values():
            kept = len(node.pool.endpoint.served)
            self.check(kept < 2 * len(self.hosts), 'calls leaked', str(kept))

    async def _ask_all_pairs(self, name: str) -> list[Call]:
        asked = []
        for host, server in itertools.permutations(self.hosts, 2):
            node = self.running_nodes[host]
            title = f'{name} {host}-{server}'
            call = Call(title, node, server, RESUME_S, 0, [b''])
            self.calls[title] = call
            node.spawn(node.ask(call))
            asked.append(call)
        await asyncio.sleep(RESUME_S + STOP_S)
        for call in asked:
            self._check_outcome(call)
        return asked

    def _check_node_leaks(self, node: SimulatedNode) -> None:
        host = node.process.host
        pool = node.pool
        busy = [task for task in node.process.tasks if not task.done()]
        names = sorted(
            str(task.get_coro()) for task in busy if task is not node.probe_task
        )
        self.check(not names, 'tasks leaked', f'{host} {names}')
        known = [*pool._probing, *pool._dialling, *pool._moves]
        self.check(not known, 'pool entries leaked', host)
        for transport in node.process.transports:
            if transport.is_closing():
                continue
            link = cast(Link, transport.protocol)
            kept = [*link._calls, *link._served]
            self.check(not kept, 'streams leaked', f'{host} {kept}')
            if link.dialled:
                is_used = link in pool._links.values()
                self.check(is_used, 'connection leaked', host)

    def _on_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        error = context.get('exception') or context.get('message')
        self.check(False, 'exception', repr(error))


# Fault injectors; each returns how long its fault lasts, in seconds.


def stall(simulation: CallSimulation, path: NetworkPath) -> float:
    """Delay what is sent on the present connections."""
    stall_ms = simulation.rng.uniform(0, MAX_STALL_MS)
    path.stall(stall_ms)
    return stall_ms / MS_PER_SECOND


def silence(simulation: CallSimulation, path: NetworkPath) -> float:
    """Lose all that is sent on the present connections."""
    path.silence()
    return 0


def reset(simulation: CallSimulation, path: NetworkPath) -> float:
    """Reset the present connections."""
    path.reset()
    return 0


def cut(simulation: CallSimulation, path: NetworkPath) -> float:
    """Deliver nothing for a while, on new connections neither."""
    duration_s = simulation.rng.uniform(0, MAX_CUT_S)
    path.cut()
    asyncio.get_running_loop().call_later(duration_s, path.restore)
    return duration_s


def silence_and_cut(simulation: CallSimulation, path: NetworkPath) -> float:
    """Silence the present connections, and let none open for a while."""
    path.silence()
    return cut(simulation, path)


def reset_and_cut(simulation: CallSimulation, path: NetworkPath) -> float:
    """Reset the present connections, and let none open for a while."""
    path.reset()
    return cut(simulation, path)


def stall_and_silence(simulation: CallSimulation, path: NetworkPath) -> float:
    """Delay what is sent now, and lose what is sent later."""
    duration_s = stall(simulation, path)
    delay_s = simulation.rng.uniform(0, duration_s)
    asyncio.get_running_loop().call_later(delay_s, path.silence)
    return duration_s


def slow(simulation: CallSimulation, path: NetworkPath) -> float:
    """Increase the latency for the rest of the simulation."""
    path.delay_ms = simulation.rng.uniform(1, MAX_DELAY_MS)
    return 0


def fault_one_connection(
    simulation: CallSimulation, path: NetworkPath
) -> float:
    """Stall, silence or reset one connection of several."""
    near = simulation.rng.choice(path._transports or [None])
    if near is None or near.remote is None:
        return 0
    duration_s = simulation.rng.uniform(0, MAX_STALL_MS) / MS_PER_SECOND
    kind = simulation.rng.choice(('stall', 'silence', 'reset', 'half-reset'))
    if kind == 'half-reset':
        # A middlebox has dropped the connection and resets one end only.
        near.remote.is_silent = True
        near.reset()
        return 0
    for transport in (near, near.remote):
        if kind == 'stall':
            transport.stalled_until = _now() + duration_s
        elif kind == 'silence':
            transport.is_silent = True
        else:
            transport.reset()
    return duration_s


FAULT_INJECTORS: tuple[FaultInjector, ...] = (
    stall,
    silence,
    reset,
    cut,
    silence_and_cut,
    reset_and_cut,
    stall_and_silence,
    slow,
    fault_one_connection,
    fault_one_connection,
)


def violations_of(seed: int) -> list[Violation]:
    """Simulate one seed, and return what violates a rule."""
    rng = random.Random(seed)
    patch = functools.partial(mock.patch.object, served_calls)
    kept_bytes, kept_s = rng.choice(KEPT_BYTES), rng.choice(KEPT_S)
    with patch('MAX_KEPT_BYTES', kept_bytes), patch('KEPT_S', kept_s):
        return run_virtual(CallSimulation(seed).run())


def _now() -> float:
    return asyncio.get_running_loop().time()


def main() -> None:
    """Print the first violation of each seed in a range."""
    first, end = (int(word) for word in sys.argv[1:])
    rules: Counter[str] = Counter()
    for seed in range(first, end):
        found = violations_of(seed)
        rules.update({violation.rule for violation in found})
        if found:
            print(seed, found[0], flush=True)  # noqa: WPS421
    print(end - first, 'seeds', dict(rules))  # noqa: WPS421


if __name__ == '__main__':
    main()
