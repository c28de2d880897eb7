"""Interfaces between a mesh node and the platform that it runs on."""

import dataclasses
from collections import Counter
from typing import Any, Protocol

from savoryhold.core.errors import VersionConflictError
from savoryhold.core.ids import ServiceName, Version
from savoryhold.ranges import GrantReply, Report
from savoryhold.traffic import MeshConfig
from savoryhold.wire import HeaderNames, HttpRequest

__all__ = [
    'NODE_KIND',
    'Adapter',
    'Listing',
    'MeshStore',
    'StoreConflictError',
    'StoredObject',
    'TargetLeave',
    'TargetReport',
]

NODE_KIND = 'savoryhold-nodes'  # of the entries of nodes in the registry


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One version of an object in the store; `spec` is plain JSON data."""

    name: str
    version: Version
    spec: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Objects or changes of one kind up to the store's revision `at`.

    `unreadable` counts entries that are no objects; other writers may have
    left them.
    """

    at: int
    objects: tuple[StoredObject, ...]
    deleted: tuple[str, ...] = ()
    unreadable: int = 0


class StoreConflictError(VersionConflictError):
    """A conditional write failed because the stored version differs.

    Parameters
    ----------
    text : str
        Error message.
    stored : StoredObject or None
        The object as stored, if the store's answer includes it.
    """

    def __init__(self, text: str, stored: StoredObject | None) -> None:
        super().__init__(text)
        self.stored = stored


class MeshStore(Protocol):
    """Client of the platform's object API.

    Notes
    -----
    All methods raise `PlatformError` or a subclass.  `calls` counts the calls
    by kind.
    """

    calls: Counter[str]

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, None if it does not exist."""

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind."""

    async def watch(self, kind: str, at: int, wait_ms: int) -> Listing:
        """Return the changes after a revision; wait if there are none."""

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object; raise `StoreConflictError` if it exists."""

    async def replace(
        self, kind: str, name: str, spec: Any, version: Version | None
    ) -> StoredObject:
        """Replace an object, on condition of its version if one is given."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """A target's heartbeat.

    Parameters
    ----------
    keys : Report
        Incarnation of the target and the keys that it holds.
    service : ServiceName
        Service that it runs.
    address : str
        Address at which it accepts requests.
    slots : int
        Number of requests that it runs at once.
    draining : bool
        Whether it is about to stop.
    sequence : int
        Number of the heartbeat within its incarnation.
    warmup_left_ms : int
        How much longer it is cold, 0 if it is warm.
    """

    keys: Report
    service: ServiceName
    address: str
    slots: int
    draining: bool
    sequence: int
    warmup_left_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLeave:
    """A target's notice that it stops; `born` identifies its incarnation."""

    target: str
    born: int | None = None


class Adapter(Protocol):
    """Adapts the node to the names and formats of a platform."""

    @property
    def names(self) -> HeaderNames:
        """Return the names of the headers used with callers and targets."""

    @property
    def store(self) -> MeshStore:
        """Return the client of the object API."""

    async def list_config(self) -> Listing:
        """Return the stored configuration, no object if there is none yet."""

    async def watch_config(self, at: int, wait_ms: int) -> Listing:
        """Wait for versions of the configuration after a revision."""

    async def check_config(self, at: int) -> Listing:
        """Return versions after a revision, if any, without waiting."""

    async def list_evacuations(self) -> Listing:
        """Return the stored evacuations; the names of objects are zones."""

    async def watch_evacuations(self, at: int, wait_ms: int) -> Listing:
        """Wait for changes of the evacuations after a revision."""

    def decode_config(self, spec: Any) -> MeshConfig:
        """Decode a configuration; raise `ConfigurationError` if invalid."""

    def decode_call(
        self, req: HttpRequest
    ) -> TargetReport | TargetLeave | None:
        """Decode a report or leave notice, None if it is neither."""

    def encode_reply(self, reply: GrantReply | None) -> bytes:
        """Encode the body of the reply to a report."""

    def is_ready_check(self, req: HttpRequest) -> bool:
        """Return whether a request is the platform's readiness check."""
