"""Stand-in for the platform's object API, with faults on demand."""

import asyncio
import dataclasses
import enum
import json
import random
from collections import Counter
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ['FaultMode', 'StoreState', 'store_app']

MS_PER_SECOND = 1000
MAX_OBJECT_BYTES = 1_000_000
MAX_HISTORY = 20_000
STATUS_OK = 200
STATUS_MISSING = 404
STATUS_CONFLICT = 412
STATUS_TOO_LARGE = 413
STATUS_UNAVAILABLE = 503


class FaultMode(enum.Enum):
    """Faults of the stand-in."""

    NONE = 'none'
    DOWN = 'down'
    SLOW = 'slow'
    LOSE_REPLIES = 'lose-replies'


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """A version of an object; `content` is None if it was deleted."""

    name: str
    version: int
    content: Any

    def fields(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            'name': self.name,
            'version': self.version,
            'value': self.content,
        }


class StoreState:
    """Objects, their history, and the current fault."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, StoredObject] = {}
        self.history: list[StoredObject] = []
        self.changed = asyncio.Condition()
        self.mode = FaultMode.NONE
        # In the mode SLOW, the delay; in LOSE_REPLIES, the share of replies
        # to writes that are lost.
        self.delay_ms = 0
        self.share = 1.0
        self.calls: Counter[str] = Counter()
        self.random = random.Random(1)

    def version_of(self, name: str) -> int | None:
        """Return the current version of an object."""
        found = self.objects.get(name)
        return found.version if found else None

    async def put(self, name: str, content: Any) -> int:
        """Write an object, or delete it if `content` is None."""
        self.revision += 1
        stored = StoredObject(name, self.revision, content)
        if content is None:
            self.objects.pop(name, None)
        else:
            self.objects[name] = stored
        self.history.append(stored)
        del self.history[:-MAX_HISTORY]
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    def events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        """Return the changes to objects of a prefix after a revision."""
        return [
            stored.fields()
            for stored in self.history
            if stored.version > after and stored.name.startswith(prefix)
        ]


def store_app(state: StoreState | None = None) -> Starlette:
    """Return the stand-in as an ASGI application."""
    app = Starlette(
        routes=[
            Route('/objects', _list),
            Route('/objects/{name:path}', _get, methods=['GET']),
            Route('/objects/{name:path}', _put, methods=['PUT']),
            Route('/objects/{name:path}', _delete, methods=['DELETE']),
            Route('/watch', _watch),
            Route('/faults', _set_fault, methods=['POST']),
            Route('/calls', _get_calls),
        ]
    )
    app.state.store = state or StoreState()
    return app


def _store(req: Request) -> StoreState:
    state: StoreState = req.app.state.store
    return state


async def _apply_fault(store: StoreState, kind: str) -> Response | None:
    store.calls[kind] += 1
    if store.mode is FaultMode.DOWN:
        return Response(status_code=STATUS_UNAVAILABLE)
    if store.mode is FaultMode.SLOW:
        await asyncio.sleep(store.delay_ms / MS_PER_SECOND)
    return None


async def _list(req: Request) -> Response:
    store = _store(req)
    fault = await _apply_fault(store, 'list')
    if fault is not None:
        return fault
    prefix = req.query_params.get('prefix', '')
    objects = [
        stored.fields()
        for name, stored in sorted(store.objects.items())
        if name.startswith(prefix)
    ]
    return JSONResponse({'revision': store.revision, 'objects': objects})


async def _get(req: Request) -> Response:
    store = _store(req)
    fault = await _apply_fault(store, 'read')
    if fault is not None:
        return fault
    stored = store.objects.get(req.path_params['name'])
    if stored is None:
        return Response(status_code=STATUS_MISSING)
    etag = {'ETag': f'"{stored.version}"'}
    return JSONResponse(stored.content, headers=etag)


async def _put(req: Request) -> Response:
    body = await req.body()
    if len(body) > MAX_OBJECT_BYTES:
        return Response(status_code=STATUS_TOO_LARGE)
    return await _write(req, json.loads(body))


async def _delete(req: Request) -> Response:
    return await _write(req, None)


async def _write(req: Request, content: Any) -> Response:
    store = _store(req)
    fault = await _apply_fault(store, 'write')
    if fault is not None:
        return fault
    name = req.path_params['name']
    if not _condition_holds(req, store.version_of(name)):
        return Response(status_code=STATUS_CONFLICT)
    version = await store.put(name, content)
    lost = store.mode is FaultMode.LOSE_REPLIES
    if lost and store.random.random() < store.share:
        return Response(status_code=STATUS_UNAVAILABLE)
    return Response(status_code=STATUS_OK, headers={'ETag': f'"{version}"'})


def _condition_holds(req: Request, version: int | None) -> bool:
    if req.headers.get('if-none-match') == '*':
        return version is None
    wanted = req.headers.get('if-match')
    return wanted is None or wanted == f'"{version}"'


async def _watch(req: Request) -> Response:
    store = _store(req)
    fault = await _apply_fault(store, 'watch')
    if fault is not None:
        return fault
    prefix = req.query_params.get('prefix', '')
    after = int(req.query_params.get('after', '0'))
    limit_ms = int(req.query_params.get('timeout_ms', '30000'))
    try:
        async with asyncio.timeout(limit_ms / MS_PER_SECOND):
            await _wait_for_change(store, prefix, after)
    except TimeoutError:
        # The answer without events tells the watcher that nothing changed.
        pass
    fault = await _apply_fault(store, 'watch-end')
    if fault is not None:
        return fault
    events = store.events(prefix, after)
    return JSONResponse({'revision': store.revision, 'events': events})


async def _wait_for_change(store: StoreState, prefix: str, after: int) -> None:
    async with store.changed:
        await store.changed.wait_for(
            lambda: (
                bool(store.events(prefix, after))
                or store.mode is FaultMode.DOWN
            )
        )


async def _set_fault(req: Request) -> Response:
    store = _store(req)
    fields = await req.json()
    store.mode = FaultMode(fields['mode'])
    store.delay_ms = int(fields.get('delay_ms', 0))
    store.share = float(fields.get('share', 1))
    async with store.changed:
        store.changed.notify_all()
    return JSONResponse({'mode': store.mode.value})


async def _get_calls(req: Request) -> Response:
    return JSONResponse(dict(_store(req).calls))
