"""A target that reports its load and its pace.

Load patterns: a pace that changes every 400 ms, and requests that the target
still runs after their callers have left.
"""

import random
import unittest

from savoryhold.traffic import (
    Capacity,
    ReportedLoad,
    TargetQueue,
    Ticket,
)
from savoryhold.traffic.tests.model import Kind, TargetModel

SLOTS = 5
SECONDS = 60
SEEDS = (1, 2, 3, 4)
SLOW = 3.0
EPISODE_MS = 400
USUAL_MS = 1600  # mean time between episodes, so that they take a fifth
AIM_MS = 500


class PacedModel(TargetModel):
    """A target that is slow in episodes, and whose header may be read."""

    def __init__(self, kinds: list[Kind], seed: int, *, reads: bool) -> None:
        super().__init__(SLOTS, kinds, seed)
        self.load = ReportedLoad()
        self.reads = reads
        rng = random.Random(seed)
        self.episodes: list[float] = []
        at = 0.0
        while at < (SECONDS + 20) * 1000:
            at += rng.expovariate(1 / USUAL_MS)
            self.episodes.append(at)
            at += EPISODE_MS

    def pace_at(self, now: float) -> float:
        """Return the pace of the target."""
        is_slow = any(0 <= now - at < EPISODE_MS for at in self.episodes)
        return SLOW if is_slow else 1.0

    def _capacity(self) -> Capacity:
        if not self.reads:
            return Capacity()
        return Capacity(
            pace=self.load.pace(self.now), slow_ms=self.load.slow_ms(self.now)
        )

    def _run_ms(self, kind: Kind) -> float:
        left, at = super()._run_ms(kind), float(self.now)
        while left > 0:
            left -= 5 / self.pace_at(at)
            at += 5
        return at - self.now

    def _on_end(self, ticket: Ticket, now: int) -> None:
        pace = round(100 * self.pace_at(now))
        running = len(self.queue.running)
        text = b'%d,0,%d,%d' % (running, SLOTS, pace)
        self.load.record(text, running, now)
        super()._on_end(ticket, now)


def simulated(load: float, seed: int, *, reads: bool) -> PacedModel:
    """Return a model after a load, relative to the capacity of the slots."""
    per_s = load * SLOTS * 1000 / (220 * 1.4)
    exam = Kind('exam', per_s, 220, AIM_MS, 4000, 0, 1.0, 0.6)
    model = PacedModel([exam], seed, reads=reads)
    model.simulate(SECONDS)
    return model


class TestChangingPace(unittest.TestCase):
    """What a pace that changes every 400 ms is worth acting on."""

    def test_fewer_late_answers(self) -> None:
        """The header lowers late answers, and costs none that are in time."""
        for load in (1.0, 1.3):
            in_aim = {True: 0, False: 0}
            late = {True: 0, False: 0}
            for reads in in_aim:
                for seed in SEEDS:
                    found = simulated(load, seed, reads=reads).outcomes['exam']
                    in_aim[reads] += found.in_aim
                    late[reads] += found.late
            with self.subTest(load=load):
                self.assertLess(late[True], late[False])
                self.assertGreaterEqual(in_aim[True], 0.99 * in_aim[False])

    def test_smoothed_pace_follows_no_single_episode(self) -> None:
        """Other nodes hear of the mean, which hardly moves in an episode."""
        model = simulated(1.0, 1, reads=True)
        mean = 1 + (SLOW - 1) * EPISODE_MS / (EPISODE_MS + USUAL_MS)
        self.assertAlmostEqual(model.load.mean_pace(model.now), mean, delta=0.6)
        load = ReportedLoad()
        for now in range(0, EPISODE_MS, 50):
            load.record(b'1,0,5,300', 1, now)
        self.assertLess(load.mean_pace(EPISODE_MS), 1.25)


class TestSurplusRuns(unittest.TestCase):
    """Requests that run at the target though nobody waits for them."""

    def setUp(self) -> None:
        """Let the queue ask for the reported load."""
        self.load = ReportedLoad()
        self.now = 1000
        self.queue = TargetQueue(SLOTS)
        self.queue.capacity = lambda: Capacity(
            occupied=self.load.surplus(self.now),
            occupied_ms=self.load.surplus(self.now) * 100,
        )

    def test_surplus_takes_slots_for_a_short_time(self) -> None:
        """A tight request is refused at once, and admitted after it."""
        self.load.record(b'5,4,5', 0, self.now)
        self.now += 40
        ticket = Ticket(1, 'exam', 0, self.now, self.now + 200, 9000)
        self.assertIsNotNone(self.queue.offer(ticket, self.now))
        self.now += EPISODE_MS
        self.assertEqual(self.queue.wait_ms(ticket, self.now), 0)

    # A header that cannot be read, or none, must change no decision.
    def test_invalid_or_absent_header_changes_nothing(self) -> None:
        """The last valid figures stay, and fade with their age."""
        self.load.record(b'2,0,5,250', 2, self.now)
        before = self.load.sample
        for text in (
            b'',
            b'2',
            b'a,0,5',
            b'1,0,0',
            b'-1,0,5',
            b'1,0,5,0',
            b'1,0,5,1e9',
            b'1,2,3,4,5',
            b'9' * 5000 + b',0,5',
            '\u0663,0,5'.encode(),
        ):
            with self.subTest(text=text[:20]):
                self.assertIs(self.load.record(text, 2, self.now), not text)
                self.assertIs(self.load.sample, before)
        self.assertEqual(self.load.pace(self.now + EPISODE_MS), 1)
        self.assertAlmostEqual(self.load.mean_pace(self.now + 60_000), 1, 3)
