"""Best of two choices against random and round robin, in virtual time.

Simulates four targets with six slots each, one of them four times slower,
under Poisson arrivals.  The seed is fixed, so that each policy gets the same
arrivals and service times.

Usage: python -m benchmarks.selection
"""

import heapq
import itertools
import random
import sys
from collections.abc import Callable, Sequence

from benchmarks.load import percentile
from savoryhold.core.ids import NodeId
from savoryhold.core.selection import LatencyTable, best_of_two

__all__ = ['main']

NODES = [NodeId(f'media-{num}') for num in range(4)]
SLOTS = 6
MEAN_MS = 20.0
SLOW_FACTOR = 4.0
RATE_PER_MS = 0.5
REQUESTS = 30_000

Chooser = Callable[[Sequence[NodeId], LatencyTable], NodeId]


def simulate(choose: Chooser) -> list[float]:
    """Return the latencies of all requests under a policy, in ms."""
    source = random.Random(5)
    table = LatencyTable()
    free_at = {node: [0.0 for _ in range(SLOTS)] for node in NODES}
    ends: list[tuple[float, NodeId, float]] = []
    times = []
    now = 0.0
    for _ in range(REQUESTS):
        now += source.expovariate(RATE_PER_MS)
        while ends and ends[0][0] <= now:
            _, done, took_ms = heapq.heappop(ends)
            table.end(done, took_ms)
        node = choose(NODES, table)
        table.begin(node)
        slow = SLOW_FACTOR if node == NODES[0] else 1.0
        work = source.expovariate(1 / MEAN_MS) * slow
        start = max(now, free_at[node][0])
        heapq.heapreplace(free_at[node], start + work)
        heapq.heappush(ends, (start + work, node, start + work - now))
        times.append(start + work - now)
    return times


def main() -> None:
    """Print one row for each policy."""
    source = random.Random(6)
    turns = itertools.cycle(NODES)
    policies: dict[str, Chooser] = {
        'best-of-two': lambda nodes, table: (
            best_of_two(nodes, table, source.random) or nodes[0]
        ),
        'random': lambda nodes, table: source.choice(list(nodes)),
        'round-robin': lambda nodes, table: next(turns),
    }
    for name, choose in policies.items():
        times = simulate(choose)
        sys.stdout.write(
            f'policy={name:12} p50_ms={percentile(times, 0.5):8.1f} '
            f'p99_ms={percentile(times, 0.99):10.1f}\n'
        )


if __name__ == '__main__':
    main()
