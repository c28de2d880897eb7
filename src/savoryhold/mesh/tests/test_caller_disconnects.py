"""Callers that leave before their answer.

Pattern: callers give up within a fraction of their deadline, while targets
are slow and connections to them are still being opened.
"""

import asyncio

from savoryhold.mesh.tests.fleet import Fleet, VirtualTimeCase

LEAVE_S = 0.05
LONG_S = 1.2
LATE_S = 0.6  # after the deadline and what is allowed for the answer's way


class TestCallersLeave(VirtualTimeCase):
    """What targets see of requests whose callers have left."""

    # A booking was sent although its caller had left while it was dialled.
    async def test_booking_is_not_sent_behind_its_caller(self) -> None:
        """Nothing reaches the target if the caller left before the send."""
        fleet = Fleet(3, seed=1)
        for node in fleet.nodes:
            node.target.dial_ms = 300
        caller = fleet.nodes[0].ask('/book/', 'b1')
        await asyncio.sleep(LEAVE_S)
        caller.leave()
        await asyncio.sleep(LONG_S)
        self.assertEqual(fleet.arrivals, [])

    async def test_booking_that_was_sent_goes_on(self) -> None:
        """A booking that may have run is not broken off."""
        fleet = Fleet(3, seed=1)
        for node in fleet.nodes:
            node.target.work_ms = 300
        caller = fleet.nodes[0].ask('/book/', 'b1')
        await asyncio.sleep(LEAVE_S)
        caller.leave()
        await asyncio.sleep(LONG_S)
        self.assertEqual(len(fleet.arrivals), 1)
        self.assertEqual(fleet.stopped, {})

    # A run whose request was held up on its way outlived its deadline.
    async def test_run_ends_when_its_answer_is_given_up(self) -> None:
        """The node that stops waiting for an answer ends the run."""
        fleet = Fleet(3, seed=1)
        fleet.relay_ms = 400
        for node in fleet.nodes:
            node.target.work_ms = 5000
        caller = fleet.nodes[0].ask('/files/', 'f1', deadline_ms=500)
        await asyncio.sleep(LATE_S)
        self.assertTrue(caller.status.done())
        self.assertEqual(len(fleet.arrivals), 1)
        self.assertEqual(fleet.running, set())

    async def test_lookups_end_with_their_callers(self) -> None:
        """No run of an idempotent request outlives its caller."""
        fleet = Fleet(6, seed=1)
        for node in fleet.nodes:
            node.target.work_ms = 1000
        callers = [
            node.ask(path, f'{node.name}{path}')
            for node in fleet.nodes
            for path in ('/desk/', '/files/')
        ]
        await asyncio.sleep(LEAVE_S)
        self.assertEqual(len(fleet.running), len(callers))
        for caller in callers:
            caller.leave()
        await asyncio.sleep(LEAVE_S)
        self.assertEqual(fleet.running, set())
