"""The store gives some machines no answer while the configuration changes."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig.deployment import TWO_REGIONS, Deployment, route, run_case, trouble
from rig.target import now_ms

SILENT = ('n00', 'n01', 'n02', 'n03')  # of twelve machines
SILENT_S = 9.0
STABLE_S = 3.0  # stable_window_ms
CONFIG_APPLY_S = 2.0  # config_apply_ms
CALM_S = 33.0  # a watch waits for 30 s at most, so that none is of the start
WATCH_S = 8.0  # after the store has been calm for long enough
ROUTES = [
    route('/desk/', 'desk', 'idempotent'),
    route('/media/', 'media', 'download'),
    route('/moved/', 'media', 'idempotent'),
]
LATER = [*ROUTES[:2], route('/moved/', 'records', 'idempotent')]


async def case(record):
    services = {'desk': (True, 4), 'media': (False, 4), 'records': (False, 4)}
    fleet = Deployment(record, services, ROUTES, places=TWO_REGIONS)
    try:
        await fleet.start()
        await fleet.wait_served([('/desk/look', 9), ('/media/x', None), ('/moved/x', None)])
        await asyncio.sleep(CALM_S)
        if trouble():
            fleet.store.silence(SILENT, silent=True)
            record('silent', machines=SILENT)
        silent_at = now_ms()
        await asyncio.sleep(1)
        fleet.routes = LATER
        fleet.put_config(9)
        record('config', version=9)
        await asyncio.sleep(SILENT_S - 1)
        fleet.store.silence(SILENT, silent=False)
        record('served_again', machines=SILENT)
        await asyncio.sleep(STABLE_S + 1)
        record('in_touch', since_silent_ms=now_ms() - silent_at)
        late = []
        begin = now_ms()
        while now_ms() - begin < WATCH_S * 1000:
            for node in fleet.nodes:
                late.append(await fleet.send(node, '/moved/x'))
            await asyncio.sleep(0.2)
        return check(record, fleet, [request for request, _, _ in late])
    finally:
        await fleet.stop()


def check(record, fleet, requests):
    """CONFIG: requests that are run by the old service."""
    service_of = {target.name: target.service for target in fleet.targets.values()}
    old = [
        run['request']
        for _, run in record.of('begun')
        if run['request'] in requests and service_of[run['target']] == 'media'
    ]
    record('run_by_old_service', count=len(old), of=len(requests))
    if old:
        return f'CONFIG: {len(old)} of {len(requests)} requests were run by the old service'
    return ''


run_case(case, Path(__file__).parent)
