"""A node is restarted after its target has left; an earlier report is late."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig.deployment import BOUNDS, Deployment, route, run_case, trouble
from rig.http import Client
from rig.target import now_ms

IN_TOUCH_MS = 3000  # stable_window_ms
ROUTES = [route('/desk/', 'desk', 'idempotent'), route('/media/', 'media', 'download')]


async def traffic(fleet, rng):
    """Send about 60 requests a second at nodes that are ready."""
    tasks = set()
    while True:
        node = rng.choice(fleet.ready_nodes())
        tasks.add(asyncio.ensure_future(fleet.send(node, '/media/film?ms=20')))
        await asyncio.sleep(1 / 60)


async def case(record):
    fleet = Deployment(record, {'desk': (True, 2), 'media': (False, 3)}, ROUTES)
    tasks = []
    try:
        await fleet.start()
        await fleet.wait_served([('/desk/look', 100), ('/media/x', None)])
        tasks = [
            asyncio.ensure_future(fleet.watch_ready()),
            asyncio.ensure_future(traffic(fleet, random.Random(1))),
        ]
        await asyncio.sleep(4)
        node = fleet.nodes[-1]
        target = fleet.targets[node.name]
        late = target.last_report
        # This target never reports `draining`: it leaves, serves on, and ends.
        target.stop_reports()
        if not await target.leave():
            return ''
        record('left', target=target.name)
        await asyncio.sleep(1)
        if trouble():
            node.signal(signal.SIGTERM)
            await node.wait()
            await asyncio.sleep(0.3)
            await node.start()
            await asyncio.sleep(1)
            await deliver_late(record, node, target, late)
        await asyncio.sleep(7)
        return check(record, node, target)
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


async def deliver_late(record, node, target, report):
    """Have a report that was sent before the leave arrive now."""
    client = Client(node.control)
    status, _, text = await client.ask(
        'POST',
        f'/v1/rpc?call=instances.heartbeat&of={target.name}',
        {'Host': 'node', 'Content-Type': 'application/json'},
        report,
        1.0,
    )
    client.close()
    record('late_report', status=status, reply=text.decode(), report=report.decode())


def check(record, node, target):
    """DRAIN: requests that come too late, taken and sent on in touch."""
    left_at = target.acknowledged['left']
    bound = left_at + BOUNDS['drain_ms']
    sent = {one['request']: (at, one['node']) for at, one in record.of('sent')}
    in_touch_at = node.started_at + IN_TOUCH_MS
    late = [
        run['request']
        for at, run in record.of('begun')
        if run['target'] == target.name
        and at > bound
        and sent[run['request']][0] > max(bound, in_touch_at)
    ]
    record('late_runs', count=len(late), first=late[:5], left_at=left_at, now=now_ms())
    if late:
        return f'DRAIN: {len(late)} requests ran at {target.name} after it had left'
    return ''


run_case(case, Path(__file__).parent)
