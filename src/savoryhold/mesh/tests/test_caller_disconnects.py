"""Callers that disconnect before their answer.

Targets are slow, or connections to them are still being opened, when the
callers disconnect well before their deadlines.  No request may then be sent
or go on for nothing, except one that must not run twice and was sent already.
"""

import asyncio

from savoryhold.mesh.tests.fleet import Fleet, VirtualTimeCase

DISCONNECT_S = 0.05
LONG_AFTER_S = 1.2
LATE_S = 0.6  # after the deadline and the time allowed for network delay


class TestCallersLeave(VirtualTimeCase):
    """Requests at targets whose callers have disconnected."""

    # A booking was sent although its caller had disconnected while the
    # connection to the target was being opened.
    async def test_booking_is_not_sent_after_disconnect(self) -> None:
        """Nothing reaches the target if the caller left before the send."""
        fleet = Fleet(3, seed=1)
        for node in fleet.nodes:
            node.target.dial_ms = 300
        caller = fleet.nodes[0].ask('/book/', 'b1')
        await asyncio.sleep(DISCONNECT_S)
        caller.disconnect()
        await asyncio.sleep(LONG_AFTER_S)
        self.assertEqual(fleet.arrivals, [])

    async def test_booking_that_was_sent_is_not_cancelled(self) -> None:
        """A non-idempotent request runs to its end once it was sent."""
        fleet = Fleet(3, seed=1)
        for node in fleet.nodes:
            node.target.work_ms = 300
        caller = fleet.nodes[0].ask('/book/', 'b1')
        await asyncio.sleep(DISCONNECT_S)
        caller.disconnect()
        await asyncio.sleep(LONG_AFTER_S)
        self.assertEqual(len(fleet.arrivals), 1)
        self.assertEqual(fleet.stopped, {})

    # A run went on past its deadline if its request was delayed between
    # nodes.
    async def test_run_ends_when_its_ingress_stops_waiting(self) -> None:
        """The ingress node cancels the run when it stops waiting for it."""
        fleet = Fleet(3, seed=1)
        fleet.relay_ms = 400
        for node in fleet.nodes:
            node.target.work_ms = 5000
        caller = fleet.nodes[0].ask('/files/', 'f1', deadline_ms=500)
        await asyncio.sleep(LATE_S)
        self.assertTrue(caller.status.done())
        self.assertEqual(len(fleet.arrivals), 1)
        self.assertEqual(fleet.running, set())

    async def test_idempotent_runs_end_on_disconnect(self) -> None:
        """A run of an idempotent request ends when its caller disconnects."""
        fleet = Fleet(6, seed=1)
        for node in fleet.nodes:
            node.target.work_ms = 1000
        callers = [
            node.ask(path, f'{node.name}{path}')
            for node in fleet.nodes
            for path in ('/desk/', '/files/')
        ]
        await asyncio.sleep(DISCONNECT_S)
        self.assertEqual(len(fleet.running), len(callers))
        for caller in callers:
            caller.disconnect()
        await asyncio.sleep(DISCONNECT_S)
        self.assertEqual(fleet.running, set())
