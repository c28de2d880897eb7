"""One unreadable report reaches a node's control address."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig.deployment import Deployment, held_twice, route, run_case, trouble
from rig.http import Client

BOTH_HOLD_MS = 500  # OWNER: for over half a second
ROUTES = [route('/desk/', 'desk', 'idempotent'), route('/media/', 'media', 'download')]


async def odd_report(record, node, service):
    """Send a report of another writer, whose service cannot be used."""
    fields = {
        'address': '127.0.0.1:9',
        'born': round(time.time() * 1000),
        'info': {'service': service, 'version': 'v1', 'zone': 'z-a', 'slots': 4},
        'status': {'state': 'ready', 'seq': 1, 'warmup_left_ms': 0},
    }
    client = Client(node.control)
    status, _, text = await client.ask(
        'POST',
        '/v1/rpc?call=instances.heartbeat&of=i-0d0d0d0d',
        {'Host': 'node', 'Content-Type': 'application/json'},
        json.dumps(fields).encode(),
        1.0,
    )
    client.close()
    record('odd_report', node=node.name, service=service, status=status, reply=text.decode())


async def traffic(fleet, seconds):
    """Send about 60 requests a second for random keys at random nodes."""
    rng = random.Random(1)
    end = asyncio.get_running_loop().time() + seconds
    tasks = set()
    while asyncio.get_running_loop().time() < end:
        node = rng.choice(fleet.nodes)
        work = fleet.send(node, '/desk/look?ms=20', rng.randrange(65536))
        tasks.add(asyncio.ensure_future(work))
        await asyncio.sleep(1 / 60)
    await asyncio.gather(*tasks)


async def case(record):
    fleet = Deployment(record, {'desk': (True, 3), 'media': (False, 1)}, ROUTES)
    try:
        await fleet.start()
        await fleet.wait_served(
            [('/desk/look', key) for key in range(0, 65536, 8192)] + [('/media/x', None)]
        )
        load = asyncio.ensure_future(traffic(fleet, 16))
        await asyncio.sleep(5)
        if trouble():
            # A service of another type, and one that no configuration names.
            await odd_report(record, fleet.nodes[0], 7)
        await load
        return check(record, fleet)
    finally:
        await fleet.stop()


def check(record, fleet):
    """OWNER, and UNASKED for the service of the machine of origin."""
    both, key, names = held_twice(
        [target for target in fleet.targets.values() if target.keyed]
    )
    record('held_by_two', longest_ms=round(both), key=key, targets=names)
    service_of = {node.name: node.service for node in fleet.nodes}
    origin = {sent['request']: sent['node'] for _, sent in record.of('sent')}
    foreign = [
        run['request']
        for _, run in record.of('begun')
        if run['caller'] != service_of[origin[run['request']]]
    ]
    record('foreign_caller', runs=len(foreign), first=foreign[:5])
    if both > BOTH_HOLD_MS:
        return f'OWNER: {names} held key {key} together for {both:.0f} ms'
    return ''


run_case(case, Path(__file__).parent)
