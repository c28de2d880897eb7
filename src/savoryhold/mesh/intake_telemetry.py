"""Metrics and log lines of the memory budget and the limits on callers."""

from collections import Counter

from savoryhold.daemon.logs import Log
from savoryhold.wire import HttpServer, MemoryBudget
from savoryhold.wire.memory_budget import Part

__all__ = ['IntakeLog', 'intake_gauges']

BYTES_PER_MB = 1_000_000


def intake_gauges(budget: MemoryBudget, server: HttpServer) -> dict[str, float]:
    """Return the metrics of the budget and of the callers' server."""
    found = {
        'memory_budget_bytes': float(budget.limit),
        'memory_waiting': float(budget.waiting),
        'callers_connected': float(server.counts.open),
        'callers_unfinished': float(server.counts.unfinished),
    }
    for part in Part:
        name = f'memory_used_bytes{{part="{part.name.lower()}"}}'
        found[name] = float(budget.parts[part])
    for limit, count in budget.refusals.items():
        found[f'callers_limited_total{{limit="{limit}"}}'] = float(count)
    return found


class IntakeLog:
    """Logs refusals by limit, at most one line a call.

    Parameters
    ----------
    log : Log
        Logger of this node.
    budget : MemoryBudget
        The budget, which counts the refusals.
    """

    def __init__(self, log: Log, budget: MemoryBudget) -> None:
        self._log = log
        self._budget = budget
        self._logged: Counter[str] = Counter()

    def write(self) -> None:
        """Log what was refused and closed since the last line."""
        new = self._budget.refusals - self._logged
        if not new:
            return
        self._logged = self._budget.refusals.copy()
        self._log.warning(
            'callers_limited',
            limits=' '.join(f'{name}={new[name]}' for name in sorted(new)),
            used_mb=round(self._budget.used / BYTES_PER_MB, 1),
            budget_mb=round(self._budget.limit / BYTES_PER_MB, 1),
            waiting=self._budget.waiting,
        )
