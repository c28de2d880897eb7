"""Counters and gauges that ``/metrics`` exposes."""

from collections.abc import Mapping

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ['Metrics']

LATENCY_BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class Metrics:
    """All metrics of one daemon."""

    def __init__(self) -> None:
        self._registry = Registry()
        self.requests = self._counter(
            'savoryhold_requests_total', 'Callers requests by outcome.'
        )
        self.latency = Histogram(
            'savoryhold_request_ms',
            'Time from request to first byte of the answer, in ms.',
            buckets=list(LATENCY_BUCKETS_MS),
            registry=self._registry,
        )
        self.moves = self._counter(
            'savoryhold_shard_changes_total', 'Shards taken and given.'
        )
        self.events = self._counter(
            'savoryhold_events_total', 'Rejoins, strikes, replaced links.'
        )
        self._gauges: dict[str, Gauge] = {}

    def gauge(self, name: str, doc: str, level: float, **labels: str) -> None:
        """Set a gauge; the first call of a name creates it."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(name, doc, registry=self._registry)
            self._gauges[name] = gauge
        gauge.set(dict(labels), level)

    def render(self, accept: list[str]) -> tuple[bytes, Mapping[str, str]]:
        """Return the metrics in an accepted format, and the HTTP headers."""
        content, headers = render(self._registry, accept)
        return content, headers

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self._registry)
