"""Stand-in for a target: runs requests in slots and records each run."""

import asyncio
import dataclasses
import enum
import json
import os
import time
from typing import Any

import aiohttp
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

__all__ = ['TargetOptions', 'TargetState', 'target_app']

MS_PER_SECOND = 1000
NANOSECONDS_PER_MS = 1_000_000
ANNOUNCE_INTERVAL_MS = 1000
STATUS_SHED = 503
STATUS_STALE_FENCE = 409
CHUNK_BYTES = 65536
FENCE_HEADER = 'x-savoryhold-fence'
ID_HEADER = 'x-savoryhold-request-id'
EXIT_POISONED = 3
METHODS = ['GET', 'POST', 'PUT', 'DELETE', 'PATCH']


class TargetMode(enum.Enum):
    """Modes of the stand-in."""

    READY = 'ready'
    DRAINING = 'draining'
    SHEDDING = 'shedding'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetOptions:
    """Options of one stand-in target."""

    service: str
    address: str
    companion: str
    slots: int = 6
    connections: int = 110
    work_ms: int = 5
    checks_fence: bool = False
    journal: str = ''


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a request."""

    request_id: str
    fence: str
    path: str
    start_ms: int
    end_ms: int | None = None


class TargetState:
    """Runs, slots and newest fences of one stand-in target."""

    def __init__(self, options: TargetOptions) -> None:
        self.options = options
        self.mode = TargetMode.READY
        self.runs: list[Run] = []
        self.slots = asyncio.Semaphore(options.slots)
        self.fences: dict[str, int] = {}
        self.running: dict[str, asyncio.Task[Any]] = {}
        self._journal = -1
        if options.journal:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._journal = os.open(options.journal, flags)

    def begin(self, req: Request) -> Run:
        """Record the start of a run, also in the journal file, if any."""
        run = Run(
            req.headers.get(ID_HEADER, ''),
            req.headers.get(FENCE_HEADER, ''),
            req.url.path,
            _now(),
        )
        self.runs.append(run)
        if self._journal >= 0:
            line = json.dumps(dataclasses.asdict(run)) + '\n'
            os.write(self._journal, line.encode())
        return run

    def fence_allows(self, fence: str) -> bool:
        """Return whether a fence is as new as the newest of its shard."""
        if not self.options.checks_fence or '=' not in fence:
            return True
        shard, _, epoch = fence.partition('=')
        newest = max(self.fences.get(shard, 0), int(epoch))
        self.fences[shard] = newest
        return int(epoch) == newest


def target_app(options: TargetOptions) -> Starlette:
    """Return the stand-in as an ASGI application."""
    app = Starlette(
        routes=[
            Route('/.savoryhold/runs', _list_runs),
            Route('/.savoryhold/mode', _set_mode, methods=['POST']),
            Route('/.savoryhold/health', _health),
            Route(
                '/.savoryhold/grants/{service}/{shard}',
                _grant,
                methods=['PUT'],
            ),
            Route(
                '/.savoryhold/requests/{request}', _cancel, methods=['DELETE']
            ),
            Route('/{path:path}', _serve, methods=METHODS),
        ]
    )
    app.state.target = TargetState(options)
    return app


async def announce_forever(state: TargetState) -> None:
    """Announce the target to its companion every second."""
    options = state.options
    async with aiohttp.ClientSession() as session:
        while True:
            mode = state.mode
            if mode is TargetMode.SHEDDING:
                mode = TargetMode.READY
            fields = {
                'service': options.service,
                'address': options.address,
                'slots': options.slots,
                'connections': options.connections,
                'checks_fence': options.checks_fence,
                'state': mode.value,
            }
            try:
                await session.post(
                    f'http://{options.companion}/v1/announce', json=fields
                )
            except aiohttp.ClientError:
                # The companion is not up yet; the next announcement may
                # reach it.
                pass
            await asyncio.sleep(ANNOUNCE_INTERVAL_MS / MS_PER_SECOND)


def _now() -> int:
    return time.monotonic_ns() // NANOSECONDS_PER_MS


def _target(req: Request) -> TargetState:
    state: TargetState = req.app.state.target
    return state


async def _serve(req: Request) -> Response:
    state = _target(req)
    body = await req.body()
    if state.mode is TargetMode.SHEDDING:
        return _not_run(STATUS_SHED, 'shedding')
    if not state.fence_allows(req.headers.get(FENCE_HEADER, '')):
        return _not_run(STATUS_STALE_FENCE, 'stale fence')
    async with state.slots:
        run = state.begin(req)
        if req.query_params.get('poison'):
            os._exit(EXIT_POISONED)
        await _work(req, state, run)
    run.end_ms = _now()
    size = int(req.query_params.get('bytes', '0'))
    if size:
        cut = bool(req.query_params.get('cut'))
        return StreamingResponse(
            _stream(size, cut=cut), headers={'content-length': str(size)}
        )
    return JSONResponse(
        {
            'path': req.url.path,
            'request_id': run.request_id,
            'fence': run.fence,
            'target': state.options.address,
            'received': len(body),
        }
    )


async def _work(req: Request, state: TargetState, run: Run) -> None:
    work_ms = int(req.query_params.get('ms', str(state.options.work_ms)))
    task = asyncio.create_task(asyncio.sleep(work_ms / MS_PER_SECOND))
    state.running[run.request_id] = task
    try:
        await task
    finally:
        state.running.pop(run.request_id, None)


async def _stream(size: int, *, cut: bool) -> Any:
    sent = 0
    while sent < size:
        if cut and sent > size // 2:
            raise ConnectionAbortedError('cut off on request')
        step = min(CHUNK_BYTES, size // 4 + 1, size - sent)
        yield b'x' * step
        sent += step


def _not_run(status: int, text: str) -> Response:
    headers = {'x-savoryhold-verdict': 'not-run'}
    return JSONResponse({'error': text}, status_code=status, headers=headers)


async def _list_runs(req: Request) -> Response:
    runs = [dataclasses.asdict(run) for run in _target(req).runs]
    return JSONResponse(runs)


async def _set_mode(req: Request) -> Response:
    fields = await req.json()
    _target(req).mode = TargetMode(fields['mode'])
    return JSONResponse(fields)


async def _health(req: Request) -> Response:
    return JSONResponse({'mode': _target(req).mode.value})


async def _grant(req: Request) -> Response:
    state = _target(req)
    fields = await req.json()
    shard = f'{req.path_params["service"]}/{req.path_params["shard"]}'
    state.fence_allows(f'{shard}={fields["fence"]}')
    return JSONResponse(fields)


async def _cancel(req: Request) -> Response:
    task = _target(req).running.get(req.path_params['request'])
    if task is not None:
        task.cancel()
    return Response()
