"""Requests that are routed to their owner, and the answers to them."""

import dataclasses
from collections.abc import AsyncIterator

from savoryhold.core.configuration import ServiceClass
from savoryhold.core.ids import Region, RequestId, ServiceName, ShardKey
from savoryhold.core.poison import Fingerprint

__all__ = ['Headers', 'RoutedAnswer', 'RoutedRequest']

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A caller's request, with the properties that its service defines.

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

    ``rest`` yields the part of the content after ``body``, None if there is
    none.  It raises if the answer ends early, so that a truncated answer is
    never mistaken for a complete one.
    """

    status: int
    headers: Headers
    body: bytes
    rest: AsyncIterator[bytes] | None = None
