"""Open-loop load generator; checks outcomes against the targets' journals."""

import asyncio
import collections
import dataclasses
import random
import time

import aiohttp

from savoryhold.standins.fleet import Fleet, Host

__all__ = ['Load', 'Outcome', 'Verdicts', 'percentile']

MS_PER_SECOND = 1000
STATUS_OK = 200
PATIENTS = 500
CALL_LIMIT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How one request ended."""

    request: str
    patient: str
    verdict: str
    status: int
    sent_at: float
    took_ms: float
    is_order: bool
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Verdicts:
    """Counts of outcomes, checked against the targets' journals.

    ``doubled`` counts orders that ran more than once, ``lied`` requests
    that were refused as not run but ran, and ``lost`` requests that were
    answered but never ran.
    """

    done: int
    not_run: int
    may_have_run: int
    broken: int
    doubled: int
    lied: int
    lost: int
    slowest_ms: float

    @property
    def is_sound(self) -> bool:
        """Return whether all guarantees to callers held."""
        return not (self.doubled or self.lied or self.lost)

    def line(self) -> str:
        """Return the counts as one line of text."""
        return (
            f'done={self.done} not_run={self.not_run} '
            f'may_have_run={self.may_have_run} broken={self.broken} '
            f'doubled={self.doubled} lied={self.lied} lost={self.lost} '
            f'slowest_ms={self.slowest_ms:.0f} '
            f'sound={"yes" if self.is_sound else "no"}'
        )


class Load:
    """Sends lookups and orders at a fixed rate through all live daemons.

    Parameters
    ----------
    fleet : Fleet
        Daemons that receive the requests.
    session : aiohttp.ClientSession
        Session without a limit on connections.
    rate : float
        Requests a second over all daemons.
    order_share : float
        Share of requests that are not idempotent.
    """

    def __init__(
        self,
        fleet: Fleet,
        session: aiohttp.ClientSession,
        rate: float,
        order_share: float = 0.3,
    ) -> None:
        self.outcomes: list[Outcome] = []
        self.avoid: set[str] = set()
        self.timeout_ms = 0
        self._fleet = fleet
        self._session = session
        self._rate = rate
        self._order_share = order_share
        self._random = random.Random(7)
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Send at the rate for some seconds, and wait for all answers."""
        started = time.monotonic()
        sent = 0
        while time.monotonic() - started < seconds:
            due = int((time.monotonic() - started) * self._rate)
            for _ in range(due - sent):
                self.send_one()
            sent = max(sent, due)
            await asyncio.sleep(0.002)
        if self._tasks:
            await asyncio.wait(self._tasks)

    def send_one(self) -> None:
        """Start one request in a task."""
        self._count += 1
        hosts = [
            host
            for host in self._fleet.live_hosts()
            if host.plan.name not in self.avoid
        ]
        host = self._random.choice(hosts)
        patient = f'p{self._random.randrange(PATIENTS)}'
        is_order = self._random.random() < self._order_share
        request = f'r{self._count}'
        task = asyncio.create_task(
            self.request(host, patient, request, is_order=is_order)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def request(
        self, host: Host, patient: str, request: str, *, is_order: bool
    ) -> Outcome:
        """Send one request and record its outcome."""
        sent_at = time.monotonic()
        verdict, status, detail = await self._call(
            host, patient, request, is_order
        )
        took_ms = (time.monotonic() - sent_at) * MS_PER_SECOND
        outcome = Outcome(
            request,
            patient,
            verdict,
            status,
            sent_at,
            took_ms,
            is_order,
            detail,
        )
        self.outcomes.append(outcome)
        return outcome

    def verdicts(self) -> Verdicts:
        """Return the counts so far, checked against the journals."""
        runs = collections.Counter(
            line.request_id for line in self._fleet.journal()
        )
        counts = collections.Counter(one.verdict for one in self.outcomes)
        orders = {one.request for one in self.outcomes if one.is_order}
        return Verdicts(
            counts['done'],
            counts['not-run'],
            counts['may-have-run'],
            counts['broken'],
            sum(1 for order in orders if runs[order] > 1),
            self._count_runs(runs, 'not-run', ran=True),
            self._count_runs(runs, 'done', ran=False),
            max((one.took_ms for one in self.outcomes), default=0),
        )

    def latencies(self) -> list[float]:
        """Return the latencies of all requests that were done, in ms."""
        return [one.took_ms for one in self.outcomes if one.verdict == 'done']

    def _count_runs(
        self, runs: collections.Counter[str], verdict: str, *, ran: bool
    ) -> int:
        last = {one.request: one.verdict for one in self.outcomes}
        return sum(
            1
            for request, ended in last.items()
            if ended == verdict and bool(runs[request]) is ran
        )

    async def _call(
        self, host: Host, patient: str, request: str, is_order: bool
    ) -> tuple[str, int, str]:
        method, page = ('POST', 'bookings') if is_order else ('GET', 'slots')
        url = f'{host.caller_url}/booking/patients/{patient}/{page}'
        headers = {'Idempotency-Key': request}
        if self.timeout_ms:
            headers['X-Savoryhold-Timeout-Ms'] = str(self.timeout_ms)
        timeout = aiohttp.ClientTimeout(total=CALL_LIMIT_S)
        try:
            async with self._session.request(
                method, url, headers=headers, timeout=timeout
            ) as answer:
                body = await answer.read()
                verdict = answer.headers.get('X-Savoryhold-Verdict', 'none')
                if verdict == 'done' and request.encode() not in body:
                    return 'wrong', answer.status, ''
                detail = '' if verdict == 'done' else body.decode()
                return verdict, answer.status, detail
        except aiohttp.ClientConnectorError:
            # The daemon does not listen, so the request was never sent.
            return 'unreached', 0, ''
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 'broken', 0, ''


def percentile(numbers: list[float], share: float) -> float:
    """Return the percentile at `share` of the numbers, 0 for no numbers."""
    if not numbers:
        return 0
    ordered = sorted(numbers)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]
