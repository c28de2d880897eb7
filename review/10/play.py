"""A backend that fails bookings with a 503 of its own, after it has begun."""

import asyncio

from rig import STABLE_S, trouble

ROUTE = {
    'path_prefix': '/book/',
    'service': 'desk',
    'kind': 'non_idempotent',
    'timeout_ms': 2000,
    'target_latency_ms': 800,
    'priority': 1,
    'max_attempts': 2,
}
PLACES = (('north', 'north-a'), ('north', 'north-b'), ('south', 'south-a'))
PROMISES = frozenset({408, 421, 429, 503})
FAILING_SHARE = 0.45  # of the requests of one backend
GAP_S = 0.05
PLAY_S = 6.5
ATTEMPTS = 2


async def book(rig, host, key):
    """Book as a requester does: once more only after a promise.

    Returns the ids of the attempts.
    """
    requests = []
    for _ in range(ATTEMPTS):
        request, status = await rig.send(
            host, '/book/a', method='POST', key=key
        )
        requests.append(request)
        if status not in PROMISES:
            break
        await asyncio.sleep(0.1)
    return requests


async def play(rig):
    for number, (region, zone) in enumerate(PLACES):
        rig.add(f'd{number}', 'desk', zone, region, sharded=True)
    rig.put_config({'desk': True}, [ROUTE])
    await rig.start()
    await rig.wait_served('/book/a', keys=(0, 30000, 65535))
    await asyncio.sleep(STABLE_S)
    backend = rig.hosts[0].backend

    def fail(method, path, headers, body):
        if trouble() and rig.rng.random() < FAILING_SHARE:
            return 503
        return None

    backend.check = fail
    bookings = []
    for number in range(round(PLAY_S / GAP_S)):
        host = rig.hosts[number % len(rig.hosts)]
        key = rig.rng.randrange(65536)
        bookings.append(asyncio.create_task(book(rig, host, key)))
        await asyncio.sleep(GAP_S)
    attempts = await asyncio.gather(*bookings)
    refused = [
        request
        for request, status in rig.answers.items()
        if status in PROMISES and request in rig.runs
    ]
    doubled = [
        requests
        for requests in attempts
        if sum(request in rig.runs for request in requests) > 1
    ]
    rig.note('refused-and-run', count=len(refused), doubled=len(doubled))
    if not refused:
        return []
    return [
        f'REFUSED: {len(refused)} bookings were answered with a promise that '
        f'they have not run, and have run, the first of them {refused[0]}; '
        f'{len(doubled)} were sent again and have run twice'
    ]
