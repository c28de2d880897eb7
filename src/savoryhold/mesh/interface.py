"""What a mesh node needs from the platform that it runs on."""

import dataclasses
from collections import Counter
from typing import Any, Protocol

from savoryhold.core.errors import VersionConflictError
from savoryhold.core.ids import ServiceName, Version
from savoryhold.ranges import GrantReply, Report
from savoryhold.traffic import MeshConfig
from savoryhold.wire import HeaderNames, HttpRequest

__all__ = [
    'Adapter',
    'Listing',
    'MeshStore',
    'StoreConflictError',
    'StoredObject',
    'TargetLeave',
    'TargetReport',
]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """A version of an object; `spec` is plain JSON data."""

    name: str
    version: Version
    spec: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Objects or changes of a kind up to one revision of the store."""

    at: int
    objects: tuple[StoredObject, ...]
    deleted: tuple[str, ...] = ()


class StoreConflictError(VersionConflictError):
    """A conditional write met another version.

    Parameters
    ----------
    text : str
        What was tried.
    found : Stored or None
        The object as it is, if the store has told.
    """

    def __init__(self, text: str, found: StoredObject | None) -> None:
        super().__init__(text)
        self.found = found


class MeshStore(Protocol):
    """The platform's object API; errors are those of `PlatformError`."""

    calls: Counter[str]

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, None if there is none."""

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind."""

    async def watch(self, kind: str, at: int, wait_ms: int) -> Listing:
        """Return the changes after a revision, as soon as there is one."""

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object that must not exist."""

    async def replace(
        self, kind: str, name: str, spec: Any, version: Version | None
    ) -> StoredObject:
        """Replace an object, of which `version` must be present if given."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """A target's heartbeat.

    Parameters
    ----------
    keys : Report
        Its life and the keys that it holds.
    service : ServiceName
        The service that it runs.
    address : str
        Where it takes requests.
    slots : int
        Requests that it runs at once.
    draining : bool
        Whether it is about to leave.
    sequence : int
        Rises with each heartbeat of a life.
    """

    keys: Report
    service: ServiceName
    address: str
    slots: int
    draining: bool
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLeave:
    """A target's word that it leaves; `born` names its life, if known."""

    target: str
    born: int | None = None


class Adapter(Protocol):
    """Translates between the product and the platform."""

    @property
    def names(self) -> HeaderNames:
        """Return the header names towards callers and targets."""

    @property
    def store(self) -> MeshStore:
        """Return the object API."""

    async def read_config(self) -> StoredObject | None:
        """Return the operators' configuration as it is stored."""

    async def watch_config(self, at: int, wait_ms: int) -> Listing:
        """Return newer versions of the configuration."""

    def decode_config(self, spec: Any) -> MeshConfig:
        """Read a stored configuration."""

    def decode_call(
        self, req: HttpRequest
    ) -> TargetReport | TargetLeave | None:
        """Read a target's call, None if it is not one."""

    def encode_reply(self, reply: GrantReply | None) -> bytes:
        """Return the body that answers a report."""

    def is_ready_check(self, req: HttpRequest) -> bool:
        """Return whether a request asks if this node takes callers."""
