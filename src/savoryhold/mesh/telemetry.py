"""Telemetry of requests: log lines, counters and latency histograms."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import Any

from savoryhold.core.clock import Clock
from savoryhold.core.errors import RequestError
from savoryhold.core.ids import NodeId
from savoryhold.daemon.logs import Log
from savoryhold.mesh.requests import RelayedAnswer, RelayedRequest
from savoryhold.traffic import Choice, RetryDecision
from savoryhold.wire import HeaderNames, HttpRequest

__all__ = ['Telemetry']

# One in so many answers is logged even if it is neither failed nor late.
SAMPLE_EVERY = 64
MAX_SHOWN = 5  # targets in a line on a choice
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
        # Sums in ms of forecasts, run times and absolute errors, by route.
        self.forecasts: defaultdict[tuple[str, str], float] = defaultdict(float)
        self.unlogged_count = 0
        self._clock = clock
        self._answer_count = 0
        self._choice_count = 0
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

    def record_forecast(
        self, route: str, expected_ms: float, ran_ms: int
    ) -> None:
        """Record the forecast of a run time and the time that it took."""
        self.forecasts[(route, 'expected')] += expected_ms
        self.forecasts[(route, 'measured')] += ran_ms
        self.forecasts[(route, 'error')] += abs(ran_ms - expected_ms)

    def record_refusal(
        self,
        http: HttpRequest,
        names: HeaderNames,
        exc: RequestError,
        config_version: int,
        req: RelayedRequest | None = None,
    ) -> None:
        """Record a request that this node answered with an error.

        `req` is None if the request could not be read.
        """
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
                **({} if req is None else _forecast(req)),
            )

    def record_choice(
        self,
        req: RelayedRequest,
        choice: Choice,
        considered: Sequence[NodeId],
        *,
        again: bool,
    ) -> None:
        """Record the choice of a target: a sample, and all second tries."""
        self._choice_count += 1
        if not again and self._choice_count % SAMPLE_EVERY:
            return
        if not self.may_log():
            return
        found = sorted(zip(choice.costs, considered, strict=False))
        self.log.info(
            'chosen',
            request=req.request,
            route=req.route,
            chosen=choice.chosen.node,
            explored=choice.explored,
            again=again,
            expected_ms=round(req.expected_ms),
            pace=round(choice.chosen.pace, 2),
            acceptance=round(choice.chosen.acceptance, 2),
            news_ms=choice.chosen.age_ms,
            compared=len(considered),
            # Expected completion of the best ones in ms.
            best=' '.join(
                f'{node}:{cost:.0f}' for cost, node in found[:MAX_SHOWN]
            ),
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
        lines = [
            *_counter('requests_total', ('what', 'outcome'), self.outcomes),
            *_counter('repeats_total', ('service', 'outcome'), self.repeats),
            *_counter(
                'refusals_total', ('route', 'zone', 'reason'), self.refusals
            ),
            *_counter('forecast_ms_total', ('route', 'figure'), self.forecasts),
            '# TYPE savoryhold_mesh_request_ms histogram',
        ]
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


def _forecast(req: RelayedRequest) -> dict[str, float]:
    """Return the fields of a forecast, none if there is none."""
    if not req.expected_ms:
        return {}
    return {'expected_ms': round(req.expected_ms)}


def _request_id(http: HttpRequest, names: HeaderNames) -> str:
    return http.header(names.request_id.lower()).decode('latin-1')


def _counter(
    name: str, labels: Sequence[str], counts: Mapping[Any, float]
) -> list[str]:
    """Return the lines of one counter."""
    lines = [f'# TYPE savoryhold_mesh_{name} counter']
    for key, count in sorted(counts.items()):
        pairs = ','.join(
            f'{label}="{_label(text)}"'
            for label, text in zip(labels, key, strict=True)
        )
        lines.append(f'savoryhold_mesh_{name}{{{pairs}}} {count:.0f}')
    return lines


def _label(text: str) -> str:
    """Escape a text for use as the value of a label."""
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')
