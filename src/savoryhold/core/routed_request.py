"""A request on its way to its owner, and the answer on its way back."""

import dataclasses
from collections.abc import AsyncIterator

from savoryhold.core.configuration import ServiceClass
from savoryhold.core.ids import Region, RequestId, ServiceName, ShardKey
from savoryhold.core.poison import Fingerprint

__all__ = ['Headers', 'RoutedAnswer', 'RoutedRequest']

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A caller's request with all that its rules say of it.

    ``deadline`` is in ms of the local clock; ``shard`` is None for a
    service without keys.
    """

    request: RequestId
    service: ServiceName
    shard: ShardKey | None
    key: str
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline: int
    idempotent: bool
    service_class: ServiceClass
    fingerprint: Fingerprint
    region: Region


@dataclasses.dataclass(slots=True)
class RoutedAnswer:
    """A target's answer.

    ``rest`` yields what follows ``body``; it raises if the answer breaks
    off, so that a part is never taken for the whole.
    """

    status: int
    headers: Headers
    body: bytes
    rest: AsyncIterator[bytes] | None = None
