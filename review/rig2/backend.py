"""Stand-in of a backend beside a node."""

import asyncio
import contextlib
import json
import time

import http1

__all__ = ['Backend', 'Poisoned']

BEAT_S = 0.87
REPLY_S = 1.0
MAX_REPLY = 4096


class Poisoned(Exception):
    """The request that is about to run crashes the backend."""


class Backend:
    """A backend as the pages describe it.

    Parameters
    ----------
    rig : Rig
        Records what the backend does.
    host : Host
        The machine on which it runs.
    """

    def __init__(self, rig, host):
        self.rig = rig
        self.host = host
        self.lives = 0
        self.id = ''
        self.born = 0
        self.state = 'ready'
        self.up = False
        self.work_s = lambda req: 0.03
        self.make_body = lambda req, request: request.encode()
        # Called with (name, fields) of each call of this backend; what it
        # returns is sent in its place, None holds the call up.
        self.on_call = lambda name, fields: fields
        # Called with (method, path, headers, body) as a run begins; may raise
        # `Poisoned`, or return the status with which the run fails.
        self.check = lambda method, path, headers, body: None
        self.rows = []
        self.until = 0.0
        self.highest = {}
        self._sequence = 0
        self._revoked = []
        self._released = []
        self._busy = {}
        self._server = None
        self._writers = set()
        self._tasks = set()
        self._beating = None

    async def start(self, *, same_id=False):
        self.lives += 1
        if not same_id or not self.id:
            self.id = f'i-{self.host.name}-{self.lives}'
        self.born = time.time_ns() // 1_000_000
        self.state = 'ready'
        self.rows, self.until, self.highest = [], 0.0, {}
        self._sequence = 0
        self._revoked, self._released, self._busy = [], [], {}
        host, _, port = self.host.app.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=http1.LIMIT
        )
        self.up = True
        self.rig.note('backend-up', backend=self.id)
        self._beating = asyncio.create_task(self._beat_forever())

    def crash(self):
        """End at once, as a killed process does."""
        if not self.up:
            return
        self.up = False
        self.rig.note('backend-down', backend=self.id)
        self._beating.cancel()
        self._server.close()
        for writer in list(self._writers):
            http1.reset(writer)
        for task in list(self._tasks):
            task.cancel()

    async def leave(self):
        """Say that it leaves, report no more, and serve on.

        Returns when the node has confirmed that.
        """
        self._beating.cancel()
        while True:
            status = 0
            with contextlib.suppress(
                OSError, TimeoutError, asyncio.IncompleteReadError
            ):
                status, _ = await self._call(
                    'instances.leave', {'born': self.born}
                )
            if status == 200:
                self.rig.note('leave-confirmed', backend=self.id)
                return
            await asyncio.sleep(0.1)

    def holds(self, key):
        if time.monotonic() >= self.until:
            return False
        return any(first <= key <= last for first, last, _ in self.rows)

    # Heartbeats ---------------------------------------------------------

    async def _beat_forever(self):
        while True:
            quick = False
            with contextlib.suppress(
                OSError, TimeoutError, asyncio.IncompleteReadError, ValueError
            ):
                quick = await self._beat()
            await asyncio.sleep(0.1 if quick else BEAT_S)

    async def _beat(self):
        self._sequence += 1
        sent_at = time.monotonic()
        kept = self.rows if sent_at < self.until else []
        released, self._released = self._released, []
        fields = {
            'address': self.host.app,
            'born': self.born,
            'info': {
                'service': self.host.service,
                'version': 'v1',
                'zone': self.host.zone,
                'slots': 6,
            },
            'status': {
                'state': self.state,
                'seq': self._sequence,
                'warmup_left_ms': 0,
            },
        }
        if self.host.sharded:
            fields['holds'] = [list(row) for row in [*kept, *self._revoked]]
            fields['released'] = released
        state = self.state
        try:
            status, body = await self._call('instances.heartbeat', fields)
        except BaseException:
            self._released = [*released, *self._released]
            raise
        if status != 200 or len(body) > MAX_REPLY:
            self._released = [*released, *self._released]
            return False
        if state == 'draining':
            self.rig.note_once('draining-acknowledged', backend=self.id)
        reply = json.loads(body or b'{}')
        if 'holds' in reply:
            self._take(reply['holds'], sent_at, reply['hold_ms'])
        return bool(self._revoked or self._released)

    def _take(self, rows, sent_at, hold_ms):
        """Hold what a reply grants; release the rest."""
        accepted = []
        for first, last, fence, _ in rows:
            if any(
                fence < known
                for (low, high), known in self.highest.items()
                if low <= last and first <= high
            ):
                continue
            accepted.append((first, last, fence))
            self.highest[(first, last)] = max(
                fence, self.highest.get((first, last), 0)
            )
        before = {
            tuple(row): self._parts_left(row, accepted) for row in self.rows
        }
        for row, parts in before.items():
            self._revoked.extend((*part, row[2]) for part in parts)
        if sorted(accepted) != sorted(self.rows):
            self.rig.note('holds', backend=self.id, rows=accepted)
        self.rows = accepted
        self.until = sent_at + hold_ms / 1000
        self._release()

    @staticmethod
    def _parts_left(row, accepted):
        """Return the parts of a row that no accepted row covers."""
        parts = [(row[0], row[1])]
        for first, last, _ in accepted:
            rest = []
            for low, high in parts:
                if last < low or high < first:
                    rest.append((low, high))
                    continue
                if low < first:
                    rest.append((low, first - 1))
                if last < high:
                    rest.append((last + 1, high))
            parts = rest
        return parts

    def _release(self):
        busy = list(self._busy.values())
        still = []
        for first, last, fence in self._revoked:
            if any(first <= key <= last for key in busy):
                still.append((first, last, fence))
            else:
                token = f'{self.rig.rng.getrandbits(64):016x}'
                self._released.append([first, last, token])
        self._revoked = still

    async def _call(self, name, fields):
        if self.on_call(name, fields) is None:
            await asyncio.sleep(REPLY_S)
            raise TimeoutError
        return await self.send_call(name, fields)

    async def send_call(self, name, fields):
        """Send a call of this backend, maybe a late one."""
        answer = await http1.call(
            self.host.control,
            f'POST /v1/rpc?call={name}&of={fields.get("of", self.id)} HTTP/1.1',
            {'host': 'node', 'content-type': 'application/json'},
            json.dumps(fields).encode(),
            REPLY_S,
        )
        return int(answer.first.split(' ')[1]), answer.body

    # Requests -----------------------------------------------------------

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                req = await http1.read_message(reader)
                writer.write(await self._answer(req))
                await writer.drain()
        self._writers.discard(writer)
        self._tasks.discard(task)
        http1.reset(writer)

    async def _answer(self, req):
        method, path, _ = req.first.split(' ')
        request = req.headers.get('x-savoryhold-attempt-id', '')
        echo = {'X-Savoryhold-Attempt-Id': request}
        key = req.headers.get('x-savoryhold-shard-key')
        named = req.headers.get('x-savoryhold-target-instance', self.id)
        held = not self.host.sharded or (
            key is not None and self.holds(int(key))
        )
        if named != self.id or not held:
            refusal = {**echo, 'X-Savoryhold-Not-Executed': '1'}
            return http1.encode('HTTP/1.1 421 x', refusal)
        self.rig.note(
            'runs',
            backend=self.id,
            request=request,
            path=path,
            key=key,
            caller=req.headers.get('x-savoryhold-caller-service'),
        )
        try:
            failure = self.check(method, path, req.headers, req.body)
        except Poisoned:
            self.rig.on_poisoned(self, request)
            raise asyncio.CancelledError from None
        if key is not None:
            self._busy[request] = int(key)
        try:
            await asyncio.sleep(self.work_s(req))
        finally:
            self._busy.pop(request, None)
        signed = {**echo, 'X-Savoryhold-Response-Signature': f'sig.{request}'}
        if failure:
            return http1.encode(f'HTTP/1.1 {failure} x', signed)
        return http1.encode(
            'HTTP/1.1 200 OK', signed, self.make_body(req, request)
        )
