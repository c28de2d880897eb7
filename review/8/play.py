"""A poisoned request beside a sound one of another caller, on the same path."""

import asyncio
import contextlib

from poison import MOST_RETRIES, POISON_PATH, Crashes, send_poison
from rig import STABLE_S, trouble

POISON_GAP_S = 2.5
SOUND_GAP_S = 0.1
PLAY_S = 45.0
CALLER = 'x-savoryhold-caller-service'
ROUTE = {
    'path_prefix': '/media/',
    'service': 'media',
    'kind': 'idempotent',
    'timeout_ms': 1500,
    'target_latency_ms': 500,
    'priority': 1,
    'max_attempts': 1,
}
PLACES = (('north', 'north-a'), ('north', 'north-b'), ('south', 'south-a'))


def is_poison(method, path, headers, body):
    return path == POISON_PATH and headers.get(CALLER) == 'desk'


async def send_sound(rig, hosts):
    """Send sound requests with the same path from machines of `media`."""
    pending = set()
    number = 0
    while True:
        host = hosts[number % len(hosts)]
        number += 1
        task = asyncio.create_task(rig.send(host, POISON_PATH))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(SOUND_GAP_S)


async def play(rig):
    for number in range(4):
        region, zone = PLACES[number % len(PLACES)]
        rig.add(f'm{number}', 'media', zone, region)
    for number in range(3):
        region, zone = PLACES[number % len(PLACES)]
        rig.add(f'd{number}', 'desk', zone, region)
    rig.put_config({'media': False, 'desk': False}, [ROUTE])
    await rig.start()
    await rig.wait_served('/media/reel-1')
    await asyncio.sleep(STABLE_S)
    media = [host for host in rig.hosts if host.service == 'media']
    desk = [host for host in rig.hosts if host.service == 'desk']
    crashes = Crashes(rig, is_poison)
    tasks = [asyncio.create_task(send_sound(rig, media))]
    if trouble():
        tasks.append(
            asyncio.create_task(send_poison(rig, crashes, desk, POISON_GAP_S))
        )
    await asyncio.sleep(PLAY_S)
    for task in tasks:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    late = crashes.late_retries()
    rig.note('late-retries', count=len(late))
    if len(late) > MOST_RETRIES:
        return [
            f'BUDGET: the request reached backends in {len(late)} retries '
            f'later than {STABLE_S} s after its third crash'
        ]
    return []
