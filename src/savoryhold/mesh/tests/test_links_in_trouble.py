"""Requests under way on links that are slow, silent or broken.

Pattern: requests and answers are on their way between two nodes, both of
which live, when the connection below their link is held up, goes silent or
is reset; new connections work.
"""

import asyncio
from collections import Counter
from collections.abc import Callable

from savoryhold.mesh.tests.fleet import Caller, Fleet, VirtualTimeCase
from savoryhold.mesh.tests.wires import Path

DEADLINE_MS = 4000
LATE_S = 4.2  # after the deadline and what is allowed for the answer's way
HELD_MS = 1500
AT_WORK_S = 0.1
SHORT_MS = 250  # a run that ends while its link is in trouble
LONG_MS = 2000  # a run that outlasts the trouble of its link
FROM = 0
TO = 2  # the one node beside a target that runs what is asked


def hold(path: Path) -> None:
    """Hold up what is sent on the connections that exist."""
    path.hold(HELD_MS)


class LinkCase(VirtualTimeCase):
    """Two nodes with a link between them that has been used before."""

    async def asyncSetUp(self) -> None:
        """Start three nodes, two of which matter."""
        await self.begin(3, 1)

    async def begin(self, nodes: int, seed: int) -> None:
        """Start nodes and open their links."""
        self.fleet = Fleet(nodes, seed, wired=True)
        self.addAsyncCleanup(self.fleet.close)
        self.path = self.fleet.path(FROM, TO)
        self.target = self.fleet.nodes[TO].target
        for node in self.fleet.nodes:
            self.ask('/files/', f'first-{node.name}', node=node.name)
        await asyncio.sleep(1)
        self.fleet.arrivals.clear()

    def ask(self, path: str, name: str, node: str = 'n0') -> Caller:
        """Send a request to a node."""
        found = next(one for one in self.fleet.nodes if one.name == node)
        return found.ask(path, name, DEADLINE_MS)

    def runs(self) -> dict[str, int]:
        """Return how often each request has arrived at a target."""
        return dict(Counter(one.request for one in self.fleet.arrivals))

    def stopped(self) -> int:
        """Return how many runs their nodes have given up."""
        nodes = self.fleet.nodes
        return sum(node.owner.runs.stopped for node in nodes)

    async def check_in_trouble(
        self, work_ms: int, strike: Callable[[Path], None]
    ) -> None:
        """Strike a link while a lookup and a booking run over it."""
        self.target.work_ms = work_ms
        callers = [self.ask('/files/', 'f1'), self.ask('/book/', 'b1')]
        await asyncio.sleep(AT_WORK_S)
        self.assertEqual(self.fleet.running, {'f1', 'b1'})
        strike(self.path)
        await asyncio.sleep(LATE_S)
        self.assertEqual(heard(callers), [200, 200])
        self.assertEqual(self.runs(), {'f1': 1, 'b1': 1})
        self.assertEqual((self.fleet.stopped, self.stopped()), ({}, 0))


class TestLinksInTrouble(LinkCase):
    """What callers hear, and what runs, beside trouble of a link."""

    # Trouble in these tests came from the wires, not from what strikes them.
    async def test_no_trouble(self) -> None:
        """Nothing strikes, and nothing is amiss."""
        await self.check_in_trouble(LONG_MS, lambda path: None)

    # A slow link was taken for silent, and its calls were ended.
    async def test_answers_of_a_slow_link_are_heard(self) -> None:
        """Runs that end while their link is held up are answered once."""
        await self.check_in_trouble(SHORT_MS, hold)

    # The end of a slow link, once it arrived, ended the runs.
    async def test_runs_outlast_a_slow_link(self) -> None:
        """Runs that go on when their link moves again are not stopped."""
        await self.check_in_trouble(LONG_MS, hold)

    # What ended while its link was silent was never answered.
    async def test_answers_of_a_silent_link_come_by_a_new_one(self) -> None:
        """Runs that end behind a silent link are answered once."""
        await self.check_in_trouble(SHORT_MS, Path.silence)

    # A booking under way on a link that fell silent ended as 504.
    async def test_runs_outlast_a_silent_link(self) -> None:
        """Runs behind a silent link are answered by way of a new one."""
        await self.check_in_trouble(LONG_MS, Path.silence)

    # A connection that broke took the answers and runs of both nodes along.
    async def test_runs_outlast_a_reset(self) -> None:
        """Runs on a link that is reset are answered by way of a new one."""
        await self.check_in_trouble(LONG_MS, Path.reset)


def heard(callers: list[Caller]) -> list[int | None]:
    """Return what each caller was answered, None for nothing."""
    return [
        caller.status.result() if caller.status.done() else None
        for caller in callers
    ]
