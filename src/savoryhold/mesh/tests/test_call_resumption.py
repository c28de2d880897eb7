"""Calls that outlive their connections, one trouble at a time."""

import asyncio

from savoryhold.core.errors import LinkError
from savoryhold.mesh.tests.call_fuzz import Process, World
from savoryhold.mesh.tests.virtual_time import VirtualTimeCase
from savoryhold.peer import messages
from savoryhold.peer.pool import LinkProgress
from savoryhold.peer.stream import LinkStream

ADDRESS = 'b:1'
WORK_S = 4.0
PART_MS = 500
MS_PER_SECOND = 1000
BEFORE_MS = 500  # before a silent connection is replaced
BEHIND_MS = 1500  # and behind that
SOON_S = 1.2
FAR_MS = 40.0
NEXT_S = 0.1


class TestMovingCalls(VirtualTimeCase):
    """Two processes, and what is kept once their calls have ended."""

    async def asyncSetUp(self) -> None:
        """Start two processes."""
        self.world = World(0)
        self.serving = 0
        self.here = Process(self.world, 'a')
        self.there = Process(self.world, 'b')
        self.there.pool.endpoint.handler = self.serve
        self.path = self.world.wires.path('a', 'b')

    async def asyncTearDown(self) -> None:
        """End both."""
        for process in (self.here, self.there):
            process.kill()
        await asyncio.sleep(0)

    async def serve(self, call: LinkStream, message: messages.Message) -> None:
        """Answer a probe, or a call in two messages."""
        if isinstance(message, messages.Probe):
            call.send(messages.Ack(ok=True))
            return
        self.serving += 1
        try:
            await self.work(call)
        finally:
            self.serving -= 1

    async def work(self, call: LinkStream) -> None:
        """Send two parts of an answer, and the last one later."""
        call.send(messages.Chunk(body=b'1', more=True))
        await asyncio.sleep(NEXT_S)
        call.send(messages.Chunk(body=b'2', more=True))
        await asyncio.sleep(WORK_S)
        call.send(messages.Chunk(body=b'3'))

    async def ask(self) -> LinkStream:
        """Begin a call and hear the first part of its answer."""
        call = await self.here.pool.open(ADDRESS)
        call.begin(messages.Relay)
        await call.receive(PART_MS)
        return call

    # The call was kept for ever, and its run went on.
    async def test_part_of_an_answer_and_silence(self) -> None:
        """A call that is given up within its answer ends at both ends."""
        for left_ms in (BEFORE_MS, BEHIND_MS):
            with self.subTest(left_ms=left_ms):
                self.here.life.run(asyncio.create_task, self.leave(left_ms))
                await asyncio.sleep(left_ms / MS_PER_SECOND + SOON_S)
                self.assertEqual(self.serving, 0)
                self.assertEqual(len(self.open_ends()), 1)

    def open_ends(self) -> list[object]:
        """Return the open connections of the beginner."""
        return [end for end in self.here.life.ends if not end.is_closing()]

    async def leave(self, left_ms: float) -> None:
        """Hear some of an answer, no more, and give up."""
        call = await self.ask()
        self.path.silence()
        try:
            await call.receive(left_ms)
        except LinkError:
            call.cancel_at_peer()
        call.close()

    # What was on its way was taken for the peer's word that it has stopped.
    async def test_part_of_an_answer_on_its_way(self) -> None:
        """A part that crosses the word does not confirm it."""
        self.path.delay_ms = FAR_MS
        self.here.spawn(self.cross())
        await asyncio.sleep(3 * SOON_S)
        self.assertEqual(self.serving, 0)
        self.assertEqual(len(self.open_ends()), 1)

    async def cross(self) -> None:
        """Give up while a part is on its way, with the word lost."""
        call = await self.ask()
        await asyncio.sleep(NEXT_S - FAR_MS / MS_PER_SECOND / 2)
        self.path.silence()
        call.cancel_at_peer()
        call.close()

    # The connection stayed open at both ends, used by nobody.
    async def test_who_dials_leaves(self) -> None:
        """A connection whose dialler has left serves the next call."""
        self.path.delay_ms = FAR_MS
        task = self.here.spawn(self.open())
        await asyncio.sleep(FAR_MS / MS_PER_SECOND)
        task.cancel()
        await asyncio.sleep(SOON_S)
        await self.here.spawn(self.open())
        self.assertEqual(len(self.open_ends()), 1)

    # Two dialled at once, and the connection of one was not closed.
    async def test_two_dial_at_once(self) -> None:
        """Of a probe's connection and a call's, one remains."""
        self.path.delay_ms = FAR_MS
        self.here.spawn(self.open())
        await asyncio.sleep(SOON_S)
        link = self.here.pool._links[ADDRESS]
        self.here.spawn(
            self.here.pool._replace(ADDRESS, link, LinkProgress(link))
        )
        await asyncio.sleep(2 * FAR_MS / MS_PER_SECOND)
        link.abort(ConnectionResetError('reset'))
        self.here.spawn(self.open())
        await asyncio.sleep(SOON_S)
        self.assertEqual(len(self.open_ends()), 1)

    async def open(self) -> None:
        """Open a call and leave it at that."""
        call = await self.here.pool.open(ADDRESS)
        call.close()
