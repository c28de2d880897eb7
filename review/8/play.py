"""A draining backend gets requests again after its node's restart."""

import asyncio
import signal
import time

from rig import DRAIN_MS, STABLE_S, trouble

ROUTES = [
    {
        'path_prefix': f'/{name}/',
        'service': 'desk',
        'kind': kind,
        'timeout_ms': 2000,
        'target_latency_ms': 800,
        'priority': 1,
        'max_attempts': 2,
    }
    for name, kind in (('look', 'idempotent'), ('book', 'non_idempotent'))
]
WORK_S = 0.4
GAP_S = 0.05
NODE_DOWN_S = 0.4
HELD_UP_S = 4.4  # reports of the backend, from the kill of its node on
STAY_S = 5.6  # from the confirmation to the end of the backend


async def send_all(rig, ingress):
    """Send requests at one machine after the other, for ever."""
    pending = set()
    number = 0
    while True:
        host = rig.hosts[number % len(rig.hosts)]
        path, method = (('/look/a', 'GET'), ('/book/a', 'POST'))[
            number // 3 % 2
        ]
        number += 1
        task = asyncio.create_task(
            rig.send(
                host,
                path,
                method=method,
                key=rig.rng.randrange(65536),
                on_id=lambda request, host=host: ingress.update(
                    {request: host}
                ),
            )
        )
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(GAP_S)


async def play(rig):
    host = rig.add('d0', 'desk', 'north-a', 'north', sharded=True)
    rig.add('m0', 'media', 'north-a', 'north')
    rig.add('m1', 'media', 'south-a', 'south')
    rig.put_config({'desk': True, 'media': False}, ROUTES)
    await rig.start()
    await rig.wait_served('/look/a', keys=(0, 30000, 65535))
    await asyncio.sleep(STABLE_S)
    backend = host.backend
    backend.work_s = lambda req: WORK_S
    ingress = {}
    sending = asyncio.create_task(send_all(rig, ingress))
    await asyncio.sleep(2.0)
    confirmed = asyncio.Event()
    backend.on_acknowledged = lambda state: (
        confirmed.set() if state == 'draining' else None
    )
    backend.state = 'draining'
    await confirmed.wait()
    at_s = rig.now()
    started = time.monotonic()
    if trouble():
        # The node is killed after its confirmation; the reports of its backend
        # are held up for some seconds.
        host.signal(signal.SIGKILL)
        backend.on_call = lambda name, fields: None
        await host.wait_exit(2.0)
        await asyncio.sleep(NODE_DOWN_S)
        host.start_node()
        await asyncio.sleep(max(0.0, started + HELD_UP_S - time.monotonic()))
        backend.on_call = lambda name, fields: fields
        rig.note('reports-pass-again')
    await asyncio.sleep(max(0.0, started + STAY_S - time.monotonic()))
    backend.crash()
    await asyncio.sleep(1.0)
    sending.cancel()
    late = [
        (request, at - at_s)
        for request, runs in rig.runs.items()
        for at, name in runs
        if name == backend.id
        and at - at_s > DRAIN_MS / 1000
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
        f'{DRAIN_MS} ms after the confirmation that it drains, the first '
        f'({first[0]}) {first[1]:.1f} s after it; {len(cut)} of them got no 200'
    ]
