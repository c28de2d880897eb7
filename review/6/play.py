"""A late report of a backend's former life, after the backend has left."""

import asyncio
import contextlib
import time

from rig import DRAIN_MS, STABLE_S, trouble

ROUTES = [
    {
        'path_prefix': f'/{name}/',
        'service': 'media',
        'kind': kind,
        'timeout_ms': 2000,
        'target_latency_ms': 800,
        'priority': 1,
        'max_attempts': 2,
    }
    for name, kind in (('look', 'idempotent'), ('book', 'non_idempotent'))
]
PLACES = (('north', 'north-a'), ('north', 'north-b'), ('south', 'south-a'))
WORK_S = 0.6
GAP_S = 0.05
DOWN_S = 1.0  # of the backend that has crashed
LIFE_S = 1.5  # of its next life, before it leaves
LATE_S = 5.3  # after its last report, the late one arrives
STAY_S = 10.0  # from the confirmed leave to the end of the backend


async def send_all(rig, ingress):
    """Send requests at one machine after the other, for ever."""
    pending = set()
    number = 0
    while True:
        host = rig.hosts[number % len(rig.hosts)]
        path, method = (('/look/a', 'GET'), ('/book/a', 'POST'))[number % 2]
        number += 1
        task = asyncio.create_task(
            rig.send(
                host,
                path,
                method=method,
                on_id=lambda request, host=host: ingress.update(
                    {request: host}
                ),
            )
        )
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(GAP_S)


async def play(rig):
    for number in range(3):
        region, zone = PLACES[number]
        rig.add(f'm{number}', 'media', zone, region)
    rig.put_config({'media': False}, ROUTES)
    await rig.start()
    await rig.wait_served('/look/a')
    await asyncio.sleep(STABLE_S)
    host = rig.hosts[0]
    backend = host.backend
    for other in rig.hosts:
        other.backend.work_s = lambda req: WORK_S
    ingress = {}
    sending = asyncio.create_task(send_all(rig, ingress))
    # One report of the backend is held up on its way; then it crashes.
    held_up = []

    def hold_up(name, fields):
        held_up.append({**fields, 'of': backend.id})
        rig.note('report-held-up', backend=backend.id, born=fields['born'])
        return None

    backend.on_call = hold_up
    while not held_up:
        await asyncio.sleep(0.02)
    backend.crash()
    backend.on_call = lambda name, fields: fields
    await asyncio.sleep(DOWN_S)
    # It is back under its id, and leaves soon after.
    await backend.start(same_id=True)
    await asyncio.sleep(LIFE_S)
    await backend.leave()
    left_at = time.monotonic()
    confirmed = rig.now()
    await asyncio.sleep(LATE_S)
    if trouble():
        rig.note('report-arrives', backend=backend.id, born=held_up[0]['born'])
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            status, _ = await backend.send_call(
                'instances.heartbeat', held_up[0]
            )
            rig.note('report-answered', status=status)
    await asyncio.sleep(max(0.0, left_at + STAY_S - time.monotonic()))
    backend.crash()
    await asyncio.sleep(2.5)
    sending.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await sending
    late = [
        (request, at - confirmed)
        for request, runs in rig.runs.items()
        for at, name in runs
        if name == backend.id
        and at - confirmed > DRAIN_MS / 1000
        and host.in_touch(rig.started + at)
        and ingress[request].in_touch(rig.started + at)
    ]
    cut = [request for request, _ in late if rig.answers.get(request) != 200]
    rig.note('late-requests', count=len(late), not_answered_with_200=len(cut))
    if not late:
        return []
    first = min(late, key=lambda entry: entry[1])
    return [
        f'DRAIN: {len(late)} requests reached {backend.id} later than '
        f'{DRAIN_MS} ms after the confirmation that it leaves, the first '
        f'({first[0]}) {first[1]:.1f} s after it; {len(cut)} of them got no 200'
    ]
