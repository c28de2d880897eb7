"""Calls that outlive their connections, with one fault at a time."""

import asyncio

from savoryhold.core.errors import LinkError
from savoryhold.mesh.tests.call_fuzz import CallSimulation, SimulatedNode
from savoryhold.mesh.tests.virtual_time import VirtualTimeCase
from savoryhold.peer import messages
from savoryhold.peer.pool import LinkProgress
from savoryhold.peer.stream import LinkStream

ADDRESS = 'b:1'
WORK_S = 4.0
PART_MS = 500
MS_PER_SECOND = 1000
# Timeouts of a receive that end before, or after, a silent link is replaced.
BEFORE_REPLACEMENT_MS = 500
AFTER_REPLACEMENT_MS = 1500
SOON_S = 1.2
LATENCY_MS = 40.0
SECOND_PART_S = 0.1


class TestCallResumption(VirtualTimeCase):
    """Two nodes whose connections and runs must not leak."""

    async def asyncSetUp(self) -> None:
        """Start two nodes."""
        self.simulation = CallSimulation(0)
        self.serving = 0
        self.caller = SimulatedNode(self.simulation, 'a')
        self.server = SimulatedNode(self.simulation, 'b')
        self.server.pool.endpoint.handler = self.serve
        self.path = self.simulation.network.path('a', 'b')

    async def asyncTearDown(self) -> None:
        """Kill both."""
        for node in (self.caller, self.server):
            node.kill()
        await asyncio.sleep(0)

    async def serve(self, call: LinkStream, message: messages.Message) -> None:
        """Answer a probe, or a call in three messages."""
        if isinstance(message, messages.Probe):
            call.send(messages.Ack(ok=True))
            return
        self.serving += 1
        try:
            await self.work(call)
        finally:
            self.serving -= 1

    async def work(self, call: LinkStream) -> None:
        """Send two parts of an answer, and the last one much later."""
        call.send(messages.Chunk(body=b'1', more=True))
        await asyncio.sleep(SECOND_PART_S)
        call.send(messages.Chunk(body=b'2', more=True))
        await asyncio.sleep(WORK_S)
        call.send(messages.Chunk(body=b'3'))

    async def ask(self) -> LinkStream:
        """Make a call and receive the first part of its answer."""
        call = await self.caller.pool.open(ADDRESS)
        call.begin(messages.Relay)
        await call.receive(PART_MS)
        return call

    # The call was never released, and its run went on.
    async def test_abandon_within_an_answer_on_a_silent_link(self) -> None:
        """A call that is abandoned within its answer ends at both ends."""
        for timeout_ms in (BEFORE_REPLACEMENT_MS, AFTER_REPLACEMENT_MS):
            with self.subTest(timeout_ms=timeout_ms):
                self.caller.process.run(
                    asyncio.create_task, self.abandon(timeout_ms)
                )
                await asyncio.sleep(timeout_ms / MS_PER_SECOND + SOON_S)
                self.assertEqual(self.serving, 0)
                self.assertEqual(len(self.open_transports()), 1)

    def open_transports(self) -> list[object]:
        """Return the open connections of the calling node."""
        return [
            transport
            for transport in self.caller.process.transports
            if not transport.is_closing()
        ]

    async def abandon(self, timeout_ms: float) -> None:
        """Receive a part of an answer, time out on the next, and cancel."""
        call = await self.ask()
        self.path.silence()
        try:
            await call.receive(timeout_ms)
        except LinkError:
            call.cancel_at_peer()
        call.close()

    # A part of the answer in flight was taken for the confirmation of the
    # cancellation.
    async def test_answer_that_crosses_a_cancellation(self) -> None:
        """A part that crosses the cancellation does not confirm it."""
        self.path.delay_ms = LATENCY_MS
        self.caller.spawn(self.cancel_in_flight())
        await asyncio.sleep(3 * SOON_S)
        self.assertEqual(self.serving, 0)
        self.assertEqual(len(self.open_transports()), 1)

    async def cancel_in_flight(self) -> None:
        """Cancel while a part is in flight; the cancellation is lost."""
        call = await self.ask()
        await asyncio.sleep(SECOND_PART_S - LATENCY_MS / MS_PER_SECOND / 2)
        self.path.silence()
        call.cancel_at_peer()
        call.close()

    # The connection stayed open at both ends, unused.
    async def test_dialling_task_is_cancelled(self) -> None:
        """A connection whose dialling call was cancelled serves the next."""
        self.path.delay_ms = LATENCY_MS
        task = self.caller.spawn(self.open())
        await asyncio.sleep(LATENCY_MS / MS_PER_SECOND)
        task.cancel()
        await asyncio.sleep(SOON_S)
        await self.caller.spawn(self.open())
        self.assertEqual(len(self.open_transports()), 1)

    # Two tasks dialled at once, and one of the connections was not closed.
    async def test_two_tasks_dial_at_once(self) -> None:
        """Of a connection dialled by a probe and one for a call, one stays."""
        self.path.delay_ms = LATENCY_MS
        self.caller.spawn(self.open())
        await asyncio.sleep(SOON_S)
        link = self.caller.pool._links[ADDRESS]
        self.caller.spawn(
            self.caller.pool._replace(ADDRESS, link, LinkProgress(link))
        )
        await asyncio.sleep(2 * LATENCY_MS / MS_PER_SECOND)
        link.abort(ConnectionResetError('reset'))
        self.caller.spawn(self.open())
        await asyncio.sleep(SOON_S)
        self.assertEqual(len(self.open_transports()), 1)

    async def open(self) -> None:
        """Open a call and close it without sending."""
        call = await self.caller.pool.open(ADDRESS)
        call.close()
