"""A report with text that cannot be encoded reaches a node's control address."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig.deployment import Deployment, route, run_case, trouble
from rig.http import Client

IN_TOUCH_S = 3.0  # stable_window_ms
OTHERS = 8
ROUTES = [
    route('/desk/', 'desk', 'idempotent'),
    route('/book/', 'desk', 'non_idempotent', timeout_ms=3000),
    route('/media/', 'media', 'download'),
]


async def odd_report(record, node):
    """Send a report of another writer, whose service cannot be read."""
    fields = {
        'address': '127.0.0.1:9',
        'born': round(time.time() * 1000),
        'info': {'service': '\ud800', 'version': 'v1', 'zone': 'z-a', 'slots': 4},
        'status': {'state': 'ready', 'seq': 1, 'warmup_left_ms': 0},
    }
    body = json.dumps(fields).encode()
    client = Client(node.control)
    try:
        status, _, _ = await client.ask(
            'POST',
            '/v1/rpc?call=instances.heartbeat&of=i-0d0d0d0d',
            {'Host': 'node', 'Content-Type': 'application/json'},
            body,
            1.0,
        )
    except (OSError, TimeoutError):
        status = 0
    client.close()
    record('odd_report', node=node.name, status=status, body=body.decode())


async def case(record):
    fleet = Deployment(record, {'desk': (True, 2), 'media': (False, 1)}, ROUTES)
    try:
        await fleet.start()
        await fleet.wait_served(
            [('/desk/look', key) for key in range(0, 65536, 8192)] + [('/media/x', None)]
        )
        node = fleet.nodes[0]
        kept = [Client(node.callers) for _ in range(OTHERS)]
        for number, client in enumerate(kept):
            await fleet.send(node, '/book/first', number * 8000, client=client)
        await asyncio.sleep(IN_TOUCH_S)
        if trouble():
            await odd_report(record, node)
        await asyncio.sleep(IN_TOUCH_S + 1)
        others = [
            asyncio.ensure_future(
                fleet.send(
                    node,
                    '/book/slot?ms=1500',
                    number * 8000,
                    client=client,
                    deadline_ms=3000,
                )
            )
            for number, client in enumerate(kept)
        ]
        await asyncio.sleep(0.3)
        node.signal(signal.SIGTERM)
        answers = await asyncio.gather(*others)
        status = await node.wait()
        return check(record, status, answers)
    finally:
        await fleet.stop()


def check(record, status, answers):
    """LOST around a SIGTERM: requests that were passed on and then cut."""
    begun = {run['request'] for _, run in record.of('begun')}
    cut = [one for one, got, _ in answers if got == 0 and one in begun]
    record('cut', requests=cut, exit_status=status)
    if cut:
        return f'LOST: {len(cut)} requests were passed on and cut at SIGTERM'
    return ''


run_case(case, Path(__file__).parent)
