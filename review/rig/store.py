"""Stand-in of the platform's object store, by PROTOCOL.md."""

import asyncio
import json
import time
from urllib.parse import unquote

from rig.http import Server

HISTORY_S = 20.0  # history_s


class Store:
    """Objects by kind and name, conditional writes and watches.

    What changed more than `HISTORY_S` ago can't be watched from any more.
    """

    def __init__(self):
        self._doors = {}
        self.objects = {}
        self.revision = 1
        self._events = []
        self._forgotten = 0
        self._changed = asyncio.Event()

    async def open_door(self, machine, address):
        """Listen at the address that one machine uses."""
        self._doors[machine] = _Door(self, address)
        await self._doors[machine].server.start(address)

    def silence(self, machines, *, silent):
        """Give some machines no answer, or serve them again.

        An answer that is lost meanwhile is lost for good, and its connection
        returns nothing further.
        """
        for machine in machines:
            self._doors[machine].silent = silent

    def stop(self):
        """Stop listening."""
        for door in self._doors.values():
            door.server.stop()

    def put(self, kind, name, spec):
        """Store an object, as the operator does; a change has a revision."""
        known = self.objects.get((kind, name))
        if known is not None and known['spec'] == spec:
            return known
        self.revision += 1
        created = known['metadata']['created'] if known else time.time()
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deletion_pending': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects[(kind, name)] = stored
        self._events.append((time.monotonic(), self.revision, kind, stored))
        self._changed.set()
        self._changed = asyncio.Event()
        return stored

    async def serve(self, req):
        """Return the answer to a call."""
        kind, _, name = req.path.removeprefix('/v1/objects/').partition('/')
        name = unquote(name)
        if req.method == 'GET' and 'watch' in req.query:
            return await self._watch(kind, req.query)
        if req.method == 'GET':
            return self._get(kind, name, req.query)
        return self._write(req, kind, name)

    def _get(self, kind, name, query):
        if name:
            found = self.objects.get((kind, name))
            return _reply(200 if found else 404, found)
        names = sorted(known for of, known in self.objects if of == kind)
        after = query.get('after', '')
        items = [self.objects[(kind, one)] for one in names if one > after]
        return _reply(
            200, {'items': items, 'has_more': False, 'at': self.revision}
        )

    def _write(self, req, kind, name):
        fields = json.loads(req.body)
        metadata = fields['metadata']
        name = name or metadata['name']
        found = self.objects.get((kind, name))
        if req.method == 'POST' and found is not None:
            return _reply(409, found)
        expected = metadata.get('revision')
        present = found['metadata']['revision'] if found else None
        if expected is not None and expected != present:
            return _reply(409, found)
        return _reply(200, self.put(kind, name, fields['spec']))

    def _forget(self):
        limit = time.monotonic() - HISTORY_S
        while self._events and self._events[0][0] < limit:
            self._forgotten = self._events.pop(0)[1]

    async def _watch(self, kind, query):
        self._forget()
        since = int(query['watch'])
        if since < self._forgotten:
            return _reply(410, None)
        until = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            events = [
                {'object': stored, 'deleted': False}
                for _, revision, of, stored in self._events
                if of == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return _reply(200, {'events': events, 'at': self.revision})
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue


class _Door:
    """The store as one machine sees it."""

    def __init__(self, store, address):
        self.address = address
        self.silent = False
        self.server = Server(self._on_call)
        self._store = store

    async def _on_call(self, req):
        if not self.silent:
            answer = await self._store.serve(req)
            if not self.silent:
                return answer
        await asyncio.Event().wait()


def _reply(status, body):
    text = json.dumps(body).encode()
    return status, {'Content-Type': 'application/json'}, text
