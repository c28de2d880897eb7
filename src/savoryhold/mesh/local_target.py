"""State of the local target: its reports, its leave and its end."""

import asyncio
import dataclasses
from collections import deque
from collections.abc import Callable

from savoryhold.core.clock import Clock
from savoryhold.core.ids import NodeId, ServiceName
from savoryhold.core.poison import Fingerprint, PoisonGuard, Strike
from savoryhold.daemon.logs import Log
from savoryhold.mesh.interface import TargetReport
from savoryhold.mesh.requests import RelayedRequest
from savoryhold.ranges import TargetLife
from savoryhold.wire import ClientPool

__all__ = ['LocalTarget']

MS_PER_SECOND = 1000
DEAD_AFTER_REPORTS = 1.5  # report intervals; then a refused connection counts
CRASH_SPREAD_MS = 200  # a crash breaks all connections within this time
MAX_REPORT_DELAY_MS = 2000  # reports are rarely delayed for longer
MAX_INTERRUPTED = 64
PROBE_MS = 300  # a local port accepts or refuses far sooner


class LocalTarget:
    """The target beside a node, as far as its reports and its port show.

    Parameters
    ----------
    node : NodeId
        Name of this node.
    clock : Clock
        Source of time.
    log : Log
        Logger of this node.
    report_ms : int
        Interval of the target's reports.
    drain_ms : int
        Time for which a leaving target still accepts requests.
    """

    def __init__(
        self,
        node: NodeId,
        clock: Clock,
        log: Log,
        report_ms: int,
        drain_ms: int,
    ) -> None:
        self.report: TargetReport | None = None
        self.reported_at = 0
        self.leaving_since: int | None = None
        self.dead = False
        self.pool: ClientPool | None = None
        self.poison = PoisonGuard()
        self.on_strike: Callable[[Strike], None] = lambda strike: None
        self.on_acquitted: Callable[[Fingerprint], None] = lambda digest: None
        self.on_dead: Callable[[], None] = lambda: None
        self._node = node
        self._clock = clock
        self._log = log
        self._report_ms = report_ms
        self._drain_ms = drain_ms
        self._former_ended = False
        self._interrupted: deque[tuple[RelayedRequest, int]] = deque(
            maxlen=MAX_INTERRUPTED
        )
        # Those that the target may have reset because it was full.
        self._reset: deque[tuple[RelayedRequest, int]] = deque(
            maxlen=MAX_INTERRUPTED
        )

    def is_ready(self) -> bool:
        """Return whether the target accepts new requests."""
        return (
            self.report is not None
            and not self.dead
            and self.leaving_since is None
        )

    def has_ended(self) -> bool:
        """Return whether the process that reported last is known to have ended.

        Notes
        -----
        When a process ends, its port refuses connections, and all connections
        that it had are closed.
        """
        if self.dead:
            return True
        emptied_at = None if self.pool is None else self.pool.emptied_at
        return emptied_at is not None and emptied_at >= self.reported_at

    @property
    def former_ended(self) -> bool:
        """Return whether the incarnation before this one surely has ended."""
        return self._former_ended

    def serves(self, service: ServiceName) -> bool:
        """Return whether the local target runs a service."""
        return self.report is not None and self.report.service == service

    def may_send(self) -> bool:
        """Return whether requests may be sent to the target now."""
        if self.report is None or self.dead:
            return False
        if self.leaving_since is None:
            return True
        return self._clock.now() - self.leaving_since < self._drain_ms * 3 // 4

    def on_report(self, report: TargetReport) -> bool:
        """Process a report; return whether it is of a new incarnation."""
        now = self._clock.now()
        previous = self.report
        is_new = previous is None or previous.keys.life != report.keys.life
        if is_new:
            self._on_new_life(report)
        else:
            self._drop_survived(now)
        self.report = report
        self.reported_at = now
        self.dead = False
        if report.draining:
            self.begin_leave('draining')
        return is_new

    def begin_leave(self, reason: str, *, ago_ms: int = 0) -> None:
        """Record that the target announced some time ago that it leaves."""
        if self.leaving_since is None:
            self.leaving_since = self._clock.now() - ago_ms
            self._log.info('target_leaving', reason=reason)

    def forget(self) -> None:
        """Use no target until the next report that is accepted."""
        self.report = None
        if self.pool is not None:
            self.pool.retire()

    def next_report_in(self, now: int) -> int:
        """Return the time until the target's next report, in ms."""
        return max(0, self.reported_at + self._report_ms - now)

    def life(self) -> TargetLife | None:
        """Return the current incarnation of the target."""
        return None if self.report is None else self.report.keys.life

    def record_interrupted(
        self, req: RelayedRequest, *, full: bool = False
    ) -> None:
        """Record a request whose connection broke while it ran."""
        entries = self._reset if full else self._interrupted
        # The fingerprint identifies it; its body is not kept.
        bodiless = dataclasses.replace(req, body=b'')
        entries.append((bodiless, self._clock.now()))

    def record_answer(self) -> None:
        """Forget resets that the target has survived, as it answers.

        Notes
        -----
        An answer that arrives this long after a break was sent after it.
        """
        now = self._clock.now()
        while self._reset and now - self._reset[0][1] > CRASH_SPREAD_MS:
            self._reset.popleft()

    def is_quarantined(self, req: RelayedRequest) -> bool:
        """Return whether a request crashes its targets."""
        now = self._clock.now()
        return any(
            self.poison.is_quarantined(fingerprint, now)
            for fingerprint in req.fingerprints
        )

    def acquit(self, req: RelayedRequest) -> None:
        """Clear the strikes of a request that has run to its end."""
        now = self._clock.now()
        for fingerprint in req.fingerprints:
            if self.poison.record_completion(fingerprint, now):
                self._log.info('acquitted', request=req.request)
                self.on_acquitted(fingerprint)

    def declare_dead_if_silent(self) -> None:
        """Declare the target dead if it is silent and refuses connections."""
        pool = self.pool
        silent = self._clock.now() - self.reported_at
        if pool is None or self.dead or pool.refused < 2:
            return
        if silent > self._report_ms * DEAD_AFTER_REPORTS:
            self.dead = True
            self._log.warning('target_dead', silent_ms=silent)
            self._strike_interrupted()
            self.on_dead()

    async def watch(self) -> None:
        """Probe the port of a silent target, until cancelled."""
        while True:
            await asyncio.sleep(self._report_ms / MS_PER_SECOND / 2)
            silent = self._clock.now() - self.reported_at
            if self.report is None or self.dead or self.pool is None:
                continue
            if silent > self._report_ms * DEAD_AFTER_REPORTS:
                await _probe_port(self.pool)
                self.declare_dead_if_silent()

    def _drop_survived(self, now: int) -> None:
        """Forget interrupted requests that the target has survived."""
        for entries in (self._interrupted, self._reset):
            while entries and now - entries[0][1] > MAX_REPORT_DELAY_MS:
                entries.popleft()

    def _strike_interrupted(self) -> None:
        """Record a strike against each request that a crash interrupted."""
        life = self.life()
        broken = sorted((*self._interrupted, *self._reset), key=_broken_at)
        if life is None or not broken:
            return
        ended_at = broken[-1][1]
        incident = f'{self._node}/{life.target}/{life.born}'
        for req, broken_at in broken:
            if ended_at - broken_at <= CRASH_SPREAD_MS:
                self._strike(req, incident, ended_at)
        self._interrupted.clear()
        self._reset.clear()

    def _strike(
        self, req: RelayedRequest, incident: str, crashed_at: int
    ) -> None:
        """Record a strike against a request that a crash interrupted."""
        now = self._clock.now()
        ago_ms = now - crashed_at
        for fingerprint in req.fingerprints:
            strike = Strike(fingerprint, incident, ago_ms)
            if not self.poison.strike(strike, now):
                continue
            self._log.warning(
                'strike',
                request=req.request,
                path=req.path.decode('latin-1'),
                key=req.key,
                incident=incident,
                fingerprint=f'{fingerprint:016x}',
                ago_ms=ago_ms,
            )
            self.on_strike(strike)

    def _on_new_life(self, report: TargetReport) -> None:
        self._log.info(
            'target_up',
            target=report.keys.life.target,
            born=report.keys.life.born,
            service=report.service,
            slots=report.slots,
        )
        self._strike_interrupted()
        self._former_ended = self.has_ended()
        if self.pool is not None:
            # Running requests may still complete, and the report may be wrong.
            self.pool.retire()
        self.pool = ClientPool(report.address, self._clock.now)
        self.leaving_since = None


def _broken_at(entry: tuple[RelayedRequest, int]) -> int:
    return entry[1]


async def _probe_port(pool: ClientPool) -> None:
    """Count a refused connection if the target's port is closed."""
    host, _, port = pool.address.rpartition(':')
    try:
        async with asyncio.timeout(PROBE_MS / MS_PER_SECOND):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        pool.refused += 1
    except (OSError, TimeoutError):
        # Other failures do not show that the target has ended.
        return
    else:
        writer.close()
        pool.refused = 0
