"""A poisoned request during a rolling restart of the nodes."""

import asyncio
import contextlib

from poison import MOST_RETRIES, POISON_PATH, Crashes, send_poison
from rig import STABLE_S, trouble

POISON_GAP_S = 0.8
LEARN_S = 12.0  # until all backends are back, and the request is refused
ROUTE = {
    'path_prefix': '/media/',
    'service': 'media',
    'kind': 'idempotent',
    'timeout_ms': 1500,
    'target_latency_ms': 500,
    'priority': 1,
    'max_attempts': 2,
}
PLACES = (('north', 'north-a'), ('north', 'north-b'), ('south', 'south-a'))


async def play(rig):
    for number in range(7):
        region, zone = PLACES[number % len(PLACES)]
        rig.add(f'm{number}', 'media', zone, region)
    rig.put_config({'media': False}, [ROUTE])
    await rig.start()
    await rig.wait_served('/media/reel-1')
    await asyncio.sleep(STABLE_S)
    crashes = Crashes(rig, lambda method, path, *_: path == POISON_PATH)
    poison = asyncio.create_task(
        send_poison(rig, crashes, rig.hosts, POISON_GAP_S)
    )
    await asyncio.sleep(LEARN_S)
    for host in rig.hosts:
        if trouble():
            await host.restart()
        # The machine is back in touch before the next one stops.
        await asyncio.sleep(STABLE_S + 3.5)
    await asyncio.sleep(10.0)
    poison.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await poison
    late = crashes.late_retries()
    rig.note('late-retries', count=len(late))
    if len(late) > MOST_RETRIES:
        return [
            f'BUDGET: the request reached backends in {len(late)} retries '
            f'later than {STABLE_S} s after its third crash'
        ]
    return []

