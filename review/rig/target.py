"""Stand-in of a backend beside a node, by PROTOCOL.md."""

import asyncio
import json
import time

from rig.http import Client, Server

ID = 'X-Savoryhold-Attempt-Id'
NOT_RUN = {'X-Savoryhold-Not-Executed': '1'}
REPORT_LIMIT_S = 1.0
QUICK_S = 0.1
MAX_REPLY = 4096


def now_ms():
    """Return the steady time in ms."""
    return time.monotonic() * 1000


class Target:
    """Runs requests, reports to its node, and holds keys by its replies."""

    def __init__(self, record, name, service, address, control, **options):
        self.record = record
        self.name = name
        self.service = service
        self.address = address
        self.control = control
        self.slots = options.get('slots', 12)
        self.report_s = options.get('report_s', 0.87)
        self.keyed = options.get('keyed', False)
        self.crashes_on = options.get('crashes_on', '')
        self.on_crash = None
        self.state = 'ready'
        self.born = round(time.time() * 1000)
        self.sequence = 0
        self.rows = []
        self.until = 0.0
        self.running = {}
        self.waiting = 0
        self.held = []
        self.acknowledged = {}
        self.last_report = b''
        self.server = Server(self._on_request)
        self._free = asyncio.Semaphore(self.slots)
        self._revoked = []
        self._released = []
        self._fences = []
        self._reporting = None
        self._client = Client(control)

    async def start(self):
        """Listen and begin to report."""
        await self.server.start(self.address)
        self._reporting = asyncio.ensure_future(self._report_loop())

    def stop_reports(self):
        """Send no further reports."""
        if self._reporting is not None:
            self._reporting.cancel()
            self._reporting = None
        self._client.close()

    def stop(self):
        """End as a process does: all connections are gone."""
        self.stop_reports()
        self.server.stop()
        self._note_held([], 0)

    def holds(self, key):
        """Return whether the target holds a key now."""
        if now_ms() >= self.until:
            return False
        return any(first <= key <= last for first, last, _ in self.rows)

    # Reports ------------------------------------------------------------

    async def _report_loop(self):
        while True:
            quick = await self.report()
            await asyncio.sleep(QUICK_S if quick else self.report_s)

    def report_body(self):
        """Return the next report."""
        self.sequence += 1
        held = self.rows if now_ms() < self.until else []
        fields = {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': 'z-a',
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'seq': self.sequence,
                'warmup_left_ms': 0,
            },
        }
        if self.keyed:
            fields['holds'] = [*held, *self._revoked]
            fields['released'] = self._released
        return json.dumps(fields).encode()

    async def report(self):
        """Send one report; return whether another one is due at once."""
        body, state = self.report_body(), self.state
        self.last_report = body
        released, sent_at = self._released, now_ms()
        self._released = []
        try:
            reply = await self._call('heartbeat', body)
        except (OSError, TimeoutError, ValueError):
            self._released = [*released, *self._released]
            return False
        self.acknowledged.setdefault(state, now_ms())
        if self.keyed and isinstance(reply.get('holds'), list):
            self._take(reply['holds'], sent_at + reply['hold_ms'])
        return bool(self._revoked or self._released)

    async def leave(self):
        """Say that this target leaves; return whether it is confirmed."""
        body = json.dumps({'born': self.born}).encode()
        try:
            await self._call('leave', body)
        except (OSError, TimeoutError, ValueError):
            return False
        self.acknowledged['left'] = now_ms()
        return True

    async def _call(self, call, body, of=None):
        status, _, text = await self._client.ask(
            'POST',
            f'/v1/rpc?call=instances.{call}&of={of or self.name}',
            {'Host': 'node', 'Content-Type': 'application/json'},
            body,
            REPORT_LIMIT_S,
        )
        if status != 200 or len(text) > MAX_REPLY:
            raise ValueError(f'status {status}')
        return json.loads(text or b'{}')

    def _take(self, holds, until):
        rows = [row[:3] for row in holds if self._is_new_enough(row)]
        self._fences = [*self._fences, *rows][-400:]
        at = now_ms()
        for first, last, fence in self.rows if at < self.until else []:
            for part in _without((first, last), rows):
                self._revoked.append([*part, fence])
        self.rows, self.until = rows, until
        self._note_held(rows, until)
        self._release()

    def _is_new_enough(self, row):
        first, last, fence = row[:3]
        return not any(
            seen > fence and first <= to and since <= last
            for since, to, seen in self._fences
        )

    def _release(self):
        busy = [key for key in self.running.values() if key is not None]
        for row in list(self._revoked):
            if not any(row[0] <= key <= row[1] for key in busy):
                self._revoked.remove(row)
                token = f'{self.name}-{self.sequence}'
                self._released.append([row[0], row[1], token])

    def _note_held(self, rows, until):
        self.held.append((now_ms(), [row[:2] for row in rows], until))
        if self.keyed and until:
            self.record(
                'holds', target=self.name, rows=rows, for_ms=round(until - now_ms())
            )

    # Requests -------------------------------------------------------------

    async def _on_request(self, req):
        if req.path == '/health':
            found = {'X-Savoryhold-Instance-Id': self.name}
            return (200 if self.state == 'ready' else 503), found, b''
        request = req.header(ID)
        echo = {ID: request}
        text = req.header('X-Savoryhold-Shard-Key')
        key = int(text) if self.keyed and text else None
        wanted = req.header('X-Savoryhold-Target-Instance')
        if not request:
            return 400, NOT_RUN, b''
        if wanted and wanted != self.name:
            return 421, {**echo, **NOT_RUN}, b''
        if self.keyed and (key is None or not self.holds(key)):
            return 421, {**echo, **NOT_RUN}, b''
        if self.waiting >= self.slots:
            return 503, {**echo, **NOT_RUN}, b''
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        try:
            return await self._run(req, request, key, echo)
        finally:
            self._free.release()

    async def _run(self, req, request, key, echo):
        self.record(
            'begun',
            target=self.name,
            request=request,
            key=key,
            caller=req.header('X-Savoryhold-Caller-Service'),
            body=len(req.body),
        )
        if self.crashes_on and self.crashes_on in req.target:
            self.record('crashed', target=self.name, request=request)
            self.on_crash(self)
            await asyncio.sleep(60)
        self.running[request] = key
        try:
            await asyncio.sleep(int(req.query.get('ms', '20')) / 1000)
        finally:
            self.running.pop(request, None)
            self._release()
        self.record('ended', target=self.name, request=request)
        if key is not None and not self.holds(key):
            return 500, echo, b''
        found = {**echo, 'X-Savoryhold-Response-Signature': f'sig.{request}'}
        return 200, found, f'{self.name} {request}'.encode()


def _without(span, rows):
    """Return the parts of a span that no row covers."""
    parts = [span]
    for first, last, *_ in rows:
        rest = []
        for since, to in parts:
            if last < since or to < first:
                rest.append((since, to))
                continue
            if since < first:
                rest.append((since, first - 1))
            if last < to:
                rest.append((last + 1, to))
        parts = rest
    return parts
