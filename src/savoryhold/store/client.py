"""Client for an object store with conditional writes, over HTTP."""

import contextlib
import dataclasses
import json
from collections import Counter
from typing import Any

import aiohttp

from savoryhold.core.decoding import (
    UNREADABLE,
    parse_json_list,
    whole_number,
)
from savoryhold.core.errors import (
    PlatformError,
    VersionConflictError,
    WriteUncertainError,
)
from savoryhold.core.ids import ObjectName, Version
from savoryhold.http import disable_retries

__all__ = ['ObjectVersion', 'PlatformClient', 'Snapshot']

MS_PER_SECOND = 1000
CALL_LIMIT_MS = 1500
ARRIVAL_MS = 4000  # more for a large answer on a busy or narrow link
WATCH_GRACE_MS = 1000
STATUS_CONFLICT = 412
STATUS_MISSING = 404
STATUS_ERROR = 400
STATUS_SERVER_ERROR = 500
_FAILED_READS = (aiohttp.ClientError, TimeoutError, *UNREADABLE)


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectVersion:
    """One version of an object; `text` is None if it is deleted."""

    name: ObjectName
    version: Version
    text: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Objects, or changes to them, as of one revision of the store.

    `unreadable` counts entries that are no objects; other writers may have
    left them.
    """

    revision: Version
    objects: tuple[ObjectVersion, ...]
    unreadable: int = 0


class PlatformClient:
    """Client for the object API.

    Parameters
    ----------
    url : str
        Base URL, such as ``http://127.0.0.1:7000``.
    session : aiohttp.ClientSession
        HTTP session; its automatic retries get disabled.

    Notes
    -----
    A write has one of four outcomes: done, conflict
    (`VersionConflictError`), certainly without effect (`PlatformError`), or
    unknown (`WriteUncertainError`).
    """

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self.calls: Counter[str] = Counter()
        self._url = url.rstrip('/')
        self._session = disable_retries(session)

    async def read(self, name: ObjectName) -> ObjectVersion:
        """Return the current version of an object.

        Returns
        -------
        ObjectVersion
            If the object does not exist, ``text`` is None and the version is
            the store's revision.

        Raises
        ------
        PlatformError
            If the store gives no usable answer.
        """
        snapshot = await self.snapshot(name)
        for found in snapshot.objects:
            if found.name == name:
                return found
        if snapshot.unreadable:
            raise PlatformError(f'{name}: the stored object is unreadable')
        return ObjectVersion(name, snapshot.revision, None)

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all objects under a prefix, as of one revision.

        Raises
        ------
        PlatformError
            If the store gives no usable answer.
        """
        answer = await self._get(
            'list', '/objects', {'prefix': prefix}, CALL_LIMIT_MS
        )
        return _parse_snapshot(answer, 'objects')

    async def watch(
        self, prefix: str, after: Version, timeout_ms: int
    ) -> Snapshot:
        """Wait for changes after a revision, and return them.

        Raises
        ------
        PlatformError
            If the store gives no usable answer.
        """
        query = {
            'prefix': prefix,
            'after': str(after),
            'timeout_ms': str(timeout_ms),
        }
        limit_ms = timeout_ms + WATCH_GRACE_MS
        answer = await self._get('watch', '/watch', query, limit_ms)
        return _parse_snapshot(answer, 'events')

    async def write(
        self, name: ObjectName, text: str, expect: Version | None
    ) -> Version:
        """Write an object if its version is `expect`; create it if None.

        Returns
        -------
        Version
            The new version.

        Raises
        ------
        VersionConflictError
            If the stored version is another one.
        WriteUncertainError
            If the write may have taken effect, or still may.
        PlatformError
            If the write certainly has no effect.
        """
        return await self._change('PUT', name, text, expect)

    async def delete(self, name: ObjectName, expect: Version) -> Version:
        """Delete an object if its version is `expect`.

        Raises
        ------
        VersionConflictError, WriteUncertainError, PlatformError
            As for `write`.
        """
        return await self._change('DELETE', name, None, expect)

    async def _get(
        self, kind: str, path: str, query: dict[str, str], limit_ms: int
    ) -> Any:
        self.calls[kind] += 1
        # `sock_read` limits each pause, also that before the first byte.
        timeout = aiohttp.ClientTimeout(
            total=(limit_ms + ARRIVAL_MS) / MS_PER_SECOND,
            connect=limit_ms / MS_PER_SECOND,
            sock_read=limit_ms / MS_PER_SECOND,
        )
        try:
            async with self._session.get(
                self._url + path, params=query, timeout=timeout
            ) as answer:
                if answer.status >= STATUS_ERROR:
                    raise PlatformError(f'{kind}: status {answer.status}')
                return parse_json_list(await answer.read())
        except _FAILED_READS as exc:
            raise PlatformError(f'{kind}: {exc!r}') from exc

    async def _change(
        self,
        method: str,
        name: ObjectName,
        text: str | None,
        expect: Version | None,
    ) -> Version:
        self.calls['write'] += 1
        timeout = aiohttp.ClientTimeout(total=CALL_LIMIT_MS / MS_PER_SECOND)
        condition = {'If-None-Match': '*'}
        if expect is not None:
            condition = {'If-Match': f'"{expect}"'}
        try:
            async with self._session.request(
                method,
                f'{self._url}/objects/{name}',
                data=text,
                headers=condition,
                timeout=timeout,
            ) as answer:
                return _written_version(name, answer)
        except aiohttp.ClientConnectorError as exc:
            raise PlatformError(f'{name}: {exc!r}') from exc
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise WriteUncertainError(f'{name}: {exc!r}') from exc


def _written_version(
    name: ObjectName, answer: aiohttp.ClientResponse
) -> Version:
    if answer.status in {STATUS_CONFLICT, STATUS_MISSING}:
        raise VersionConflictError(f'{name}: version conflict')
    if answer.status >= STATUS_SERVER_ERROR:
        raise WriteUncertainError(f'{name}: status {answer.status}')
    if answer.status >= STATUS_ERROR:
        raise PlatformError(f'{name}: status {answer.status}')
    try:
        return Version(int(answer.headers['ETag'].strip('"')))
    except (KeyError, ValueError) as exc:
        raise WriteUncertainError(f'{name}: no usable ETag') from exc


def _parse_snapshot(fields: Any, kind: str) -> Snapshot:
    try:
        entries = list(fields[kind])
        revision = Version(whole_number(fields['revision']))
    except UNREADABLE as exc:
        raise PlatformError(f'malformed {kind}: {exc!r}') from exc
    objects = []
    for entry in entries:
        with contextlib.suppress(*UNREADABLE):
            objects.append(_parse_object(entry))
    return Snapshot(revision, tuple(objects), len(entries) - len(objects))


def _parse_object(entry: Any) -> ObjectVersion:
    content = entry['value']
    text = None if content is None else json.dumps(content)
    name = ObjectName(str(entry['name']))
    return ObjectVersion(name, Version(whole_number(entry['version'])), text)
