"""Stand-in of the platform's metadata store."""

import asyncio
import contextlib
import json
from urllib.parse import parse_qs, unquote, urlsplit

import http1

__all__ = ['Store']

ANSWER_S = 0.004
HISTORY = 5000


class Store:
    """Objects by kind and name, with conditional writes and watches."""

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.calls = 0
        # Called with each call; a number of seconds delays it, None drops it.
        self.on_call = lambda method, kind, name: ANSWER_S
        # Called with each write; returns after how many seconds it is done
        # without an answer, or None to do and answer it as usual.
        self.lose_write = lambda method, kind, name: None
        self._server = None
        self._writers = set()

    async def start(self, address):
        host, _, port = address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=http1.LIMIT
        )

    def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            http1.reset(writer)

    def put(self, kind, name, spec, *, deleted=False):
        """Write an object as the operator does; return it."""
        known = self.objects.get((kind, name))
        if known is not None and known['spec'] == spec and not deleted:
            return known
        self.revision += 1
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'finalizers': [],
                'deletion_pending': False,
            },
            'spec': spec,
            'status': None,
        }
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[(kind, name)] = stored
        self.events.append((self.revision, kind, stored, deleted))
        del self.events[:-HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()
        return stored

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                req = await http1.read_message(reader)
                answer = await self._answer(req)
                if answer is None:
                    # Nothing further comes on this connection.
                    await asyncio.Event().wait()
                status, body = answer
                encoded = json.dumps(body).encode()
                writer.write(
                    http1.encode(
                        f'HTTP/1.1 {status} x',
                        {'content-type': 'application/json'},
                        encoded,
                    )
                )
                await writer.drain()
        self._writers.discard(writer)
        http1.reset(writer)

    async def _answer(self, req):
        self.calls += 1
        method, target, _ = req.first.split(' ')
        url = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        path = url.path.removeprefix('/v1/objects/')
        kind, _, name = path.partition('/')
        name = unquote(name)
        delay = self.on_call(method, kind, name)
        if delay is None:
            return None
        await asyncio.sleep(delay)
        if method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if method == 'GET':
            return self._get(kind, name)
        after = self.lose_write(method, kind, name)
        if after is not None:
            asyncio.get_running_loop().call_later(
                after, self._write, method, kind, name, req.body
            )
            return None
        return self._write(method, kind, name, req.body)

    def _get(self, kind, name):
        if name:
            found = self.objects.get((kind, name))
            return (404, None) if found is None else (200, found)
        items = [
            one
            for (known, _), one in sorted(self.objects.items())
            if known == kind
        ]
        return 200, {'items': items, 'has_more': False, 'at': self.revision}

    def _write(self, method, kind, name, body):
        fields = json.loads(body or b'{}')
        metadata = fields.get('metadata') or {}
        if method == 'POST':
            name = metadata['name']
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 200, self.put(kind, name, fields.get('spec'))
        found = self.objects.get((kind, name))
        if found is None:
            return 404, None
        expected = metadata.get('revision')
        if expected is not None and expected != found['metadata']['revision']:
            return 409, found
        if method == 'DELETE':
            return 200, self.put(kind, name, found['spec'], deleted=True)
        return 200, self.put(kind, name, fields.get('spec'))

    async def _watch(self, kind, query):
        since = int(query['watch'])
        limit_s = int(query.get('wait_ms', '0')) / 1000
        if (
            self.events
            and since < self.events[0][0] - 1
            and len(self.events) >= HISTORY
        ):
            return 410, {}
        loop = asyncio.get_running_loop()
        until = loop.time() + limit_s
        while True:
            changed = self.changed
            found = [
                {'object': stored, 'deleted': deleted}
                for revision, known, stored, deleted in self.events
                if known == kind and revision > since
            ]
            left = until - loop.time()
            if found or left <= 0:
                return 200, {'events': found, 'at': self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()
