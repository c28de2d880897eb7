"""Telemetry of requests: log lines, counters and latency histograms."""

from collections import Counter

from savoryhold.core.clock import Clock
from savoryhold.core.errors import RequestError
from savoryhold.daemon.logs import Log
from savoryhold.mesh.requests import RelayedAnswer, RelayedRequest
from savoryhold.traffic import RetryDecision
from savoryhold.wire import HeaderNames, HttpRequest

__all__ = ['Telemetry']

# One in so many answers is logged even if it is neither failed nor late.
SAMPLE_EVERY = 64
LINES_PER_SECOND = 200  # limits the lines on requests in a burst
BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1000, 2500)
SERVER_ERROR = 500
MS_PER_SECOND = 1000


class Telemetry:
    """Counts requests by outcome; logs failed, late and sampled ones.

    Parameters
    ----------
    clock : Clock
        Source of time.
    log : Log
        Logger of this node.
    """

    def __init__(self, clock: Clock, log: Log) -> None:
        self.log = log
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.latency: Counter[tuple[str, float]] = Counter()
        self.latency_sum: Counter[str] = Counter()
        self.repeats: Counter[tuple[str, str]] = Counter()
        # By route, zone of the owner and reason.
        self.refusals: Counter[tuple[str, str, str]] = Counter()
        self.unlogged_count = 0
        self._clock = clock
        self._answer_count = 0
        self._current_second = 0
        self._lines_in_second = 0

    def record_answer(
        self, req: RelayedRequest, answer: RelayedAnswer, read_at: int
    ) -> None:
        """Record a target's answer."""
        took = self._clock.now() - read_at
        outcome = 'answered' if answer.status < SERVER_ERROR else 'failed'
        self.outcomes[(req.route, outcome)] += 1
        self._record_latency(req.route, took)
        self._answer_count += 1
        late = self._clock.now() > req.aim_at
        notable = outcome == 'failed' or late
        if (
            notable or self._answer_count % SAMPLE_EVERY == 0
        ) and self.may_log():
            self.log.info(
                'request',
                request=req.request,
                route=req.route,
                key=req.key,
                status=answer.status,
                took_ms=took,
                late=late,
            )

    def record_refusal(
        self,
        http: HttpRequest,
        names: HeaderNames,
        exc: RequestError,
        config_version: int,
    ) -> None:
        """Record a request that this node answered with an error."""
        self.outcomes[(exc.code, exc.verdict.value)] += 1
        if self.may_log():
            self.log.info(
                'refused',
                request=_request_id(http, names),
                status=exc.status,
                code=exc.code,
                verdict=exc.verdict.value,
                reason=str(exc),
                retry_after_ms=exc.retry_after_ms,
                took_ms=self._clock.now() - http.read_at,
                config_version=config_version,
            )

    def record_disconnect(
        self,
        http: HttpRequest,
        names: HeaderNames,
        *,
        asked: str = '',
        left_ms: int = 0,
    ) -> None:
        """Record a caller that disconnected before its answer."""
        self.outcomes[('gone', 'unknown')] += 1
        if self.may_log():
            self.log.info(
                'caller_gone',
                request=_request_id(http, names),
                took_ms=self._clock.now() - http.read_at,
                asked=asked,
                left_ms=left_ms,
            )

    def record_retry(
        self, req: RelayedRequest, cause: str, decision: RetryDecision
    ) -> None:
        """Record whether a retry was granted."""
        outcome = 'granted' if decision.granted else 'denied'
        self.repeats[(req.service, outcome)] += 1
        if self.may_log():
            self.log.info(
                'repeat',
                request=req.request,
                service=req.service,
                cause=cause,
                outcome=outcome,
                requests=decision.requests,
                repeats=decision.repeats,
                limit=round(decision.limit, 1),
                nodes=decision.nodes,
            )

    def render(self, gauges: dict[str, float]) -> bytes:
        """Return all metrics in the Prometheus text exposition format."""
        lines = ['# TYPE savoryhold_mesh_requests_total counter']
        for (what, outcome), count in sorted(self.outcomes.items()):
            lines.append(
                f'savoryhold_mesh_requests_total{{what="{_label(what)}",'
                f'outcome="{outcome}"}} {count}'
            )
        lines.append('# TYPE savoryhold_mesh_repeats_total counter')
        for (service, outcome), count in sorted(self.repeats.items()):
            lines.append(
                f'savoryhold_mesh_repeats_total{{service="{_label(service)}",'
                f'outcome="{outcome}"}} {count}'
            )
        for (route, zone, reason), count in sorted(self.refusals.items()):
            lines.append(
                f'savoryhold_mesh_refusals_total{{route="{_label(route)}",'
                f'zone="{_label(zone)}",reason="{_label(reason)}"}} {count}'
            )
        lines.append('# TYPE savoryhold_mesh_request_ms histogram')
        for route in sorted(self.latency_sum):
            lines.extend(self._histogram(route))
        for name, level in sorted(gauges.items()):
            lines.append(f'savoryhold_mesh_{name} {level}')
        lines.append(f'savoryhold_mesh_lines_unlogged {self.unlogged_count}')
        return '\n'.join([*lines, '']).encode(errors='backslashreplace')

    def _histogram(self, route: str) -> list[str]:
        lines = []
        name = _label(route)
        for bound in (*BUCKETS_MS, float('inf')):
            count = self.latency[(route, bound)]
            text = '+Inf' if bound == float('inf') else str(bound)
            lines.append(
                f'savoryhold_mesh_request_ms_bucket{{route="{name}",'
                f'le="{text}"}} {count}'
            )
        total = self.latency[(route, float('inf'))]
        lines.append(
            f'savoryhold_mesh_request_ms_sum{{route="{name}"}} '
            f'{self.latency_sum[route]}'
        )
        lines.append(
            f'savoryhold_mesh_request_ms_count{{route="{name}"}} {total}'
        )
        return lines

    def _record_latency(self, route: str, took: int) -> None:
        self.latency_sum[route] += took
        for bound in (*BUCKETS_MS, float('inf')):
            if took <= bound:
                self.latency[(route, bound)] += 1

    def may_log(self) -> bool:
        """Return whether this second's limit allows another request line."""
        second = self._clock.now() // MS_PER_SECOND
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second > LINES_PER_SECOND:
            self.unlogged_count += 1
            return False
        return True


def _request_id(http: HttpRequest, names: HeaderNames) -> str:
    return http.header(names.request_id.lower()).decode('latin-1')


def _label(text: str) -> str:
    """Escape a text for use as the value of a label."""
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')
