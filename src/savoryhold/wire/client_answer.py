"""A complete answer, and what a connection uses of its pool."""

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from savoryhold.wire.client_connection import ClientConnection

__all__ = ['AnswerCount', 'ClientAnswer', 'Pool']


@dataclasses.dataclass(slots=True)
class ClientAnswer:
    """A complete answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    fields: dict[bytes, bytes]
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return a header by its lower-case name, empty if absent."""
        return self.fields.get(name, b'')


class AnswerCount(Protocol):
    """Counts the bytes of the answers that are under way."""

    def take(self, conn: 'ClientConnection', count: int) -> None:
        """Count bytes of an answer; abort the longest one beyond the limit."""


class Pool(Protocol):
    """The part of a pool that its connections use."""

    open_count: int
    stray_answers: int

    @property
    def budget(self) -> AnswerCount:
        """Return the bound on the answers under way."""

    def remove(self, conn: 'ClientConnection') -> None:
        """Remove a closed connection from the pool."""
