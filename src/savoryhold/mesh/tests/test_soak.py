"""The soak's oracle detects each violation; a short seeded soak passes."""

import asyncio
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).parents[4]
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / 'platform'))

from soak.events import (  # noqa: E402
    Begun,
    Ended,
    Event,
    Granted,
    Leaving,
    Sent,
    format_line,
    parse_line,
)
from soak.oracle import Oracle, Span  # noqa: E402

ALL = (0, 65_535, 1024)
CI_SEED = 1


def make_oracle(*seen: Event | Sent) -> Oracle:
    """Return an oracle that has observed some events and requests."""
    found = Oracle(drain_ms=1000)
    for event in seen:
        if isinstance(event, Sent):
            found.sent[event.request] = event
        else:
            found.events.append(event)
    return found


def make_sent(status: int, *, once: bool = True, key: int | None = 7) -> Sent:
    """Return a request that was answered."""
    return Sent('r1', '/x', key, once, 100, status, ended_at=200)


class TestOracle(unittest.TestCase):
    """Each guarantee is checked, and sound runs are accepted."""

    def assert_violated(self, oracle: Oracle, guarantee: str) -> None:
        """Check that one guarantee is violated, and no other."""
        self.assertEqual(
            [line.partition(':')[0] for line in oracle.check()], [guarantee]
        )

    def test_sound_run(self) -> None:
        """One run by the holder that is answered violates nothing."""
        oracle = make_oracle(
            Granted(10, 'a', (ALL,), 3000),
            Begun(120, 'a', 'r1', 7),
            make_sent(200),
        )
        self.assertEqual(oracle.check(), [])

    def test_run_twice(self) -> None:
        """A non-idempotent request ran twice."""
        oracle = make_oracle(
            Begun(120, 'a', 'r1', 7), Begun(150, 'a', 'r1', 7), make_sent(502)
        )
        self.assert_violated(oracle, 'twice')

    def test_refused_and_run(self) -> None:
        """A request that was refused as not run ran later."""
        self.assert_violated(
            make_oracle(make_sent(503, once=False), Begun(900, 'a', 'r1', 7)),
            'refused',
        )

    def test_answer_of_another_request(self) -> None:
        """A success has the body of another request."""
        one = make_sent(200)
        one.whole = False
        self.assert_violated(
            make_oracle(one, Begun(120, 'a', 'r1', 7)), 'mixed'
        )

    def test_unsent_request(self) -> None:
        """A request ran that no caller sent."""
        self.assert_violated(make_oracle(Begun(120, 'a', 'r9', 7)), 'unasked')

    def test_two_holders(self) -> None:
        """A target runs a request whose key another target holds."""
        rows = ((0, 9, 2048),)
        oracle = make_oracle(
            Granted(10, 'a', ((0, 9, 1024),), 3000),
            Granted(20, 'b', rows, 3000),
            Begun(120, 'b', 'r1', 7),
            make_sent(200),
        )
        self.assert_violated(oracle, 'owner')
        oracle.ended_at['a'].append(90)
        self.assertEqual(oracle.check(), [])

    def test_fence_not_increasing(self) -> None:
        """A key's next holder got the fencing token of the last one."""
        oracle = make_oracle(
            Granted(10, 'a', (ALL,), 50), Granted(60, 'b', (ALL,), 3000)
        )
        self.assert_violated(oracle, 'fence')

    def test_work_for_a_target_that_left(self) -> None:
        """A request arrives after the drain time of a leaving target."""
        oracle = make_oracle(
            Leaving(10, 'a'), Begun(1400, 'a', 'r1', None), make_sent(200)
        )
        self.assert_violated(oracle, 'drain')

    def test_lost_answer_without_a_fault(self) -> None:
        """A request that ran got no answer although there was no fault."""
        oracle = make_oracle(Begun(120, 'a', 'r1', 7), make_sent(0))
        self.assert_violated(oracle, 'lost')
        oracle.fault_spans.append(Span(0, 50))
        self.assertEqual(oracle.check(), [])

    def test_events_as_lines(self) -> None:
        """The lines that a target prints are parsed back."""
        for event in (
            Granted(1, 'a', (ALL,), 9),
            Begun(1, 'a', 'r', None),
            Ended(2, 'a', 'r'),
            Leaving(3, 'a'),
        ):
            with self.subTest(event=event):
                self.assertEqual(parse_line(format_line(event)), event)


class TestShortSoak(unittest.IsolatedAsyncioTestCase):
    """Real processes with the faults of one seed."""

    async def test_fixed_seed(self) -> None:
        """No guarantee is violated, and all is served again in the end."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'soak',
            f'--seed={CI_SEED}',
            '--seconds=5',
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        out, _ = await process.communicate()
        self.assertEqual(process.returncode, 0, out.decode())
