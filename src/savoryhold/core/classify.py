"""Classification of routes as short or long by measured service time."""

from savoryhold.core.configuration import ServiceClass

__all__ = ['RouteClassifier']

SMOOTHING = 0.2
LONG_FACTOR = 8.0
MIN_LONG_MS = 50.0


class RouteClassifier:
    """Compares the smoothed service time of each route with the others.

    Notes
    -----
    A route counts as long when its mean exceeds both `MIN_LONG_MS` and
    `LONG_FACTOR` times the median over the routes seen.
    """

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def observe(self, route: str, took_ms: float) -> None:
        """Record one service time in ms."""
        mean = self._means.get(route, took_ms)
        self._means[route] = mean + SMOOTHING * (took_ms - mean)

    def resolve(self, route: str, declared: ServiceClass) -> ServiceClass:
        """Return ``SHORT`` or ``LONG`` for a request of a route."""
        if declared is not ServiceClass.LEARNED:
            return declared
        mean = self._means.get(route, 0)
        ordered = sorted(self._means.values())
        median = ordered[(len(ordered) - 1) // 2] if ordered else 0
        is_long = mean > max(MIN_LONG_MS, LONG_FACTOR * median)
        return ServiceClass.LONG if is_long else ServiceClass.SHORT
