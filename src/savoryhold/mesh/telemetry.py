"""What a node tells of its requests: log lines, counters, latencies."""

import os
from collections import Counter, deque
from functools import partial
from typing import TextIO, cast

import structlog

from savoryhold.core.clock import Clock
from savoryhold.core.errors import RequestError
from savoryhold.daemon.logs import Log
from savoryhold.mesh.requests import RelayedAnswer, RelayedRequest
from savoryhold.traffic import RetryDecision
from savoryhold.wire import HeaderNames, HttpRequest

__all__ = ['LineBuffer', 'Telemetry', 'set_up_mesh_logs']

SAMPLE = 64  # one in so many uneventful requests is logged
MAX_LINES = 2000  # lines that wait for a reader; further ones are counted
LINES_PER_SECOND = 200  # lines on requests, so that a rush stays bounded
BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1000, 2500)
SERVER_ERROR = 500
MS_PER_SECOND = 1000


class LineBuffer:
    """Lines for standard output, written without ever waiting."""

    def __init__(self, fileno: int) -> None:
        self.lost = 0
        self._fileno = fileno
        self._lines: deque[str] = deque()
        os.set_blocking(fileno, False)

    def write(self, line: str) -> None:
        """Take a line, or count it as lost if too many wait."""
        if len(self._lines) >= MAX_LINES:
            self.lost += 1
        else:
            self._lines.append(line)

    def flush(self) -> None:
        """Write what the reader takes now."""
        if not self._lines:
            return
        packed = ''.join(self._lines).encode()
        try:
            written = os.write(self._fileno, packed)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more.
            self.lost += len(self._lines)
            self._lines.clear()
            return
        self._lines.clear()
        if written < len(packed):
            self._lines.append(packed[written:].decode(errors='replace'))


def set_up_mesh_logs(fileno: int) -> LineBuffer:
    """Send log lines to a buffer.

    Parameters
    ----------
    fileno : int
        Open file that the buffer is flushed to.

    Returns
    -------
    LineBuffer
        To be flushed now and then.
    """
    lines = LineBuffer(fileno)
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.add_log_level,
            structlog.processors.LogfmtRenderer(
                key_order=['timestamp', 'level', 'event'],
                bool_as_flag=False,
            ),
        ],
        logger_factory=partial(_make_logger, lines),
        cache_logger_on_first_use=True,
    )
    return lines


def _make_logger(lines: LineBuffer, *names: str) -> structlog.WriteLogger:
    return structlog.WriteLogger(cast(TextIO, lines))


class Telemetry:
    """Counts requests by outcome and logs the eventful ones.

    Parameters
    ----------
    clock : Clock
        Source of time.
    log : Log
        Where lines go.
    """

    def __init__(self, clock: Clock, log: Log) -> None:
        self.log = log
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.latency: Counter[tuple[str, float]] = Counter()
        self.latency_sum: Counter[str] = Counter()
        self.repeats: Counter[tuple[str, str]] = Counter()
        self.unlogged = 0
        self._clock = clock
        self._seen = 0
        self._second = 0
        self._lines = 0

    def answered(
        self, req: RelayedRequest, answer: RelayedAnswer, read_at: int
    ) -> None:
        """Note an answer of a target."""
        took = self._clock.now() - read_at
        outcome = 'answered' if answer.status < SERVER_ERROR else 'failed'
        self.outcomes[(req.route, outcome)] += 1
        self._time(req.route, took)
        self._seen += 1
        late = self._clock.now() > req.aim_at
        eventful = outcome == 'failed' or late
        if (eventful or self._seen % SAMPLE == 0) and self.may_log():
            self.log.info(
                'request',
                request=req.request,
                route=req.route,
                key=req.key,
                status=answer.status,
                took_ms=took,
                late=late,
            )

    def refused(
        self, http: HttpRequest, names: HeaderNames, exc: RequestError
    ) -> None:
        """Note an answer of this node itself."""
        self.outcomes[(exc.code, exc.verdict.value)] += 1
        if self.may_log():
            self.log.info(
                'refused',
                request=_id(http, names),
                status=exc.status,
                code=exc.code,
                verdict=exc.verdict.value,
                reason=str(exc),
                retry_after_ms=exc.retry_after_ms,
                took_ms=self._clock.now() - http.read_at,
            )

    def gone(
        self,
        http: HttpRequest,
        names: HeaderNames,
        *,
        asked: str = '',
        left_ms: int = 0,
    ) -> None:
        """Note a caller that left before its answer."""
        self.outcomes[('gone', 'unknown')] += 1
        if self.may_log():
            self.log.info(
                'caller_gone',
                request=_id(http, names),
                took_ms=self._clock.now() - http.read_at,
                asked=asked,
                left_ms=left_ms,
            )

    def repeated(
        self, req: RelayedRequest, cause: str, spent: RetryDecision
    ) -> None:
        """Note whether a request may reach a target once more."""
        outcome = 'granted' if spent.granted else 'denied'
        self.repeats[(req.service, outcome)] += 1
        if self.may_log():
            self.log.info(
                'repeat',
                request=req.request,
                service=req.service,
                cause=cause,
                outcome=outcome,
                requests=spent.requests,
                repeats=spent.repeats,
                limit=round(spent.limit, 1),
                nodes=spent.nodes,
            )

    def render(self, gauges: dict[str, float]) -> bytes:
        """Return all figures in the text exposition format."""
        lines = ['# TYPE savoryhold_mesh_requests_total counter']
        for (what, outcome), count in sorted(self.outcomes.items()):
            lines.append(
                f'savoryhold_mesh_requests_total{{what="{what}",'
                f'outcome="{outcome}"}} {count}'
            )
        lines.append('# TYPE savoryhold_mesh_repeats_total counter')
        for (service, outcome), count in sorted(self.repeats.items()):
            lines.append(
                f'savoryhold_mesh_repeats_total{{service="{service}",'
                f'outcome="{outcome}"}} {count}'
            )
        lines.append('# TYPE savoryhold_mesh_request_ms histogram')
        for route in sorted(self.latency_sum):
            lines.extend(self._histogram(route))
        for name, level in sorted(gauges.items()):
            lines.append(f'savoryhold_mesh_{name} {level}')
        lines.append(f'savoryhold_mesh_lines_unlogged {self.unlogged}')
        return '\n'.join([*lines, '']).encode()

    def _histogram(self, route: str) -> list[str]:
        lines = []
        for bound in (*BUCKETS_MS, float('inf')):
            count = self.latency[(route, bound)]
            text = '+Inf' if bound == float('inf') else str(bound)
            lines.append(
                f'savoryhold_mesh_request_ms_bucket{{route="{route}",'
                f'le="{text}"}} {count}'
            )
        total = self.latency[(route, float('inf'))]
        lines.append(
            f'savoryhold_mesh_request_ms_sum{{route="{route}"}} '
            f'{self.latency_sum[route]}'
        )
        lines.append(
            f'savoryhold_mesh_request_ms_count{{route="{route}"}} {total}'
        )
        return lines

    def _time(self, route: str, took: int) -> None:
        self.latency_sum[route] += took
        for bound in (*BUCKETS_MS, float('inf')):
            if took <= bound:
                self.latency[(route, bound)] += 1

    def may_log(self) -> bool:
        """Return whether a line on a request may be written this second."""
        second = self._clock.now() // MS_PER_SECOND
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        if self._lines > LINES_PER_SECOND:
            self.unlogged += 1
            return False
        return True


def _id(http: HttpRequest, names: HeaderNames) -> str:
    return http.header(names.request_id.lower()).decode('latin-1')
