"""Runs the Bulgarian layout on loopback, kills one host and counts outcomes.

Exits with a status other than 0 if a request was lost, ran twice, was
refused as not run but ran, or received the answer to another request.
"""

import asyncio
import collections
import pathlib
import sys
import time

import aiohttp

from savoryhold.standins.fleet import Fleet, Host, HostPlan

ZONES = (
    ('sofia', 'sofia-a'),
    ('sofia', 'sofia-b'),
    ('plovdiv', 'plovdiv-a'),
    ('plovdiv', 'plovdiv-b'),
)
BOOKING_TARGETS = 5
MEDIA_TARGETS = 4
SHARDS = 60
ROUNDS = 60
PATIENTS = 200
PAUSE_S = 0.05
KILL_ROUND = 20
LOST_HOST = 'booking-2'
MS_PER_SECOND = 1000
STATUS_OK = 200
EXIT_BROKEN = 1


class Tally:
    """Outcomes of the demo's requests."""

    def __init__(self) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.slowest_ms = 0.0
        self.done: list[str] = []
        self.refused: list[str] = []
        self.wrong = 0
        self.orders: set[str] = set()


def plans() -> list[HostPlan]:
    """Return the hosts of the layout, distributed over the zones."""
    hosts = []
    for kind, count in (('booking', BOOKING_TARGETS), ('media', MEDIA_TARGETS)):
        for num in range(count):
            region, zone = ZONES[num % len(ZONES)]
            hosts.append(HostPlan(f'{kind}-{num}', region, zone, kind))
    return hosts


def print_line(text: str) -> None:
    """Print and flush one line."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


async def send(
    session: aiohttp.ClientSession,
    tally: Tally,
    method: str,
    url: str,
    request: str,
) -> None:
    """Send one request and count its outcome."""
    started = time.monotonic()
    headers = {'Idempotency-Key': request}
    try:
        async with session.request(method, url, headers=headers) as answer:
            body = await answer.read()
            verdict = answer.headers.get('X-Savoryhold-Verdict', 'none')
    except aiohttp.ClientError:
        verdict = 'broken-connection'
        body = b''
    took_ms = (time.monotonic() - started) * MS_PER_SECOND
    tally.slowest_ms = max(tally.slowest_ms, took_ms)
    tally.outcomes[verdict] += 1
    if verdict == 'done':
        tally.done.append(request)
        tally.wrong += request.encode() not in body
    if verdict == 'not-run':
        tally.refused.append(request)


def start_round(
    fleet: Fleet, session: aiohttp.ClientSession, tally: Tally, num: int
) -> list[asyncio.Task[None]]:
    """Send a lookup, an order and a video request to each live daemon."""
    tasks = []
    for place, host in enumerate(fleet.live_hosts()):
        patient = f'p{(num * 7 + place * 31) % PATIENTS}'
        base = f'{host.caller_url}/booking/patients/{patient}'
        order = f'order-{num}-{place}'
        tally.orders.add(order)
        calls = (
            ('GET', f'{base}/slots', f'look-{num}-{place}'),
            ('POST', f'{base}/bookings', order),
            ('GET', f'{host.caller_url}/media/videos/7', f'vid-{num}-{place}'),
        )
        tasks.extend(
            asyncio.create_task(send(session, tally, *call)) for call in calls
        )
    return tasks


async def key_of_lost_host(session: aiohttp.ClientSession, host: Host) -> str:
    """Return a patient whose owner is the host that will be killed."""
    for num in range(PATIENTS):
        url = f'{host.admin_url}/admin/owner?service=booking&key=p{num}'
        async with session.get(url) as answer:
            fields = await answer.json()
        if str(fields['owner']).startswith(f'{LOST_HOST}.'):
            return f'p{num}'
    raise LookupError(f'{LOST_HOST} owns none of the patients')


async def measure_gap(
    session: aiohttp.ClientSession, host: Host, patient: str
) -> float:
    """Return the time until a key of the lost host is served, in ms."""
    started = time.monotonic()
    url = f'{host.caller_url}/booking/patients/{patient}/slots'
    headers = {'X-Savoryhold-Timeout-Ms': '100'}
    while time.monotonic() - started < 20:
        async with session.get(url, headers=headers) as answer:
            await answer.read()
            if answer.status == STATUS_OK:
                break
    return (time.monotonic() - started) * MS_PER_SECOND


async def drive(fleet: Fleet, session: aiohttp.ClientSession) -> int:
    """Send the load, kill one host, and return the exit status."""
    tally = Tally()
    tasks: list[asyncio.Task[None]] = []
    gap: asyncio.Task[float] | None = None
    for num in range(ROUNDS):
        if num == KILL_ROUND:
            patient = await key_of_lost_host(session, fleet.hosts[0])
            print_line(
                f'killing host {LOST_HOST}, which owns patient {patient}'
            )
            fleet.host(LOST_HOST).kill()
            gap = asyncio.create_task(
                measure_gap(session, fleet.hosts[0], patient)
            )
        tasks.extend(start_round(fleet, session, tally, num))
        await asyncio.sleep(PAUSE_S)
        if num % KILL_ROUND == 0:
            print_line(
                f'round {num} of {ROUNDS}: {sum(tally.outcomes.values())} ended'
            )
    await asyncio.gather(*tasks)
    gap_ms = await gap if gap is not None else 0
    return report(fleet, tally, gap_ms)


def report(fleet: Fleet, tally: Tally, gap_ms: float) -> int:
    """Print the table and return the exit status."""
    runs = collections.Counter(line.request_id for line in fleet.journal())
    doubled = sum(1 for order in tally.orders if runs[order] > 1)
    lost = sum(1 for request in tally.done if not runs[request])
    lied = sum(1 for request in tally.refused if runs[request])
    rows = (
        ('answered', tally.outcomes['done']),
        ('refused as not run', tally.outcomes['not-run']),
        ('may have run', tally.outcomes['may-have-run']),
        ('broken connections', tally.outcomes['broken-connection']),
        ('lost (answered, never ran)', lost),
        ('doubled (orders run twice)', doubled),
        ('refused as not run, but ran', lied),
        ('answers to another request', tally.wrong),
        ('slowest, ms', round(tally.slowest_ms)),
        ('lost host: keys unavailable, ms', round(gap_ms)),
    )
    print_line('')
    for name, count in rows:
        print_line(f'{name:34}{count:>8}')
    broken = lost or doubled or lied or tally.wrong
    return EXIT_BROKEN if broken else 0


async def run(fleet: Fleet) -> int:
    """Configure the started fleet and run the load on it."""
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        await fleet.wait_store(session)
        print_line('store stand-in is up; applying examples/bulgaria.py')
        script = pathlib.Path(__file__).with_name('bulgaria.py')
        await asyncio.to_thread(
            fleet.apply_script, script, 'first configuration'
        )
        started = time.monotonic()
        await fleet.wait_ready(session, {'booking': SHARDS})
        took_s = time.monotonic() - started
        print_line(
            f'9 daemons ready, {SHARDS} shards owned, after {took_s:.1f} s'
        )
        return await drive(fleet, session)


def main() -> None:
    """Run the demo."""
    fleet = Fleet(plans())
    print_line('starting the store, 9 targets and 9 daemons')
    with fleet.running():
        status = asyncio.run(run(fleet))
    sys.exit(status)


if __name__ == '__main__':
    main()
