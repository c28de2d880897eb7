"""Events that targets print, as lines and records, and sent requests."""

import dataclasses
import json
from typing import Any

__all__ = [
    'Begun',
    'Ended',
    'Event',
    'Granted',
    'Leaving',
    'Sent',
    'format_line',
    'parse_line',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A target holds these rows from `at` to `until`, in ms."""

    at: int
    target: str
    rows: tuple[tuple[int, int, int], ...]
    until: int


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """A target started to run a request."""

    at: int
    target: str
    request: str
    key: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A target has finished a request."""

    at: int
    target: str
    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The node has acknowledged that a target leaves."""

    at: int
    target: str


@dataclasses.dataclass(slots=True)
class Sent:
    """A caller's request and its answer; status 0 means no answer.

    `once` marks requests that must not run twice; `whole` tells whether the
    body of the answer is the request's own.
    """

    request: str
    route: str
    key: int | None
    once: bool
    at: int
    status: int = 0
    whole: bool = True
    ended_at: int = 0


_KINDS = {
    'granted': Granted,
    'begun': Begun,
    'ended': Ended,
    'leaving': Leaving,
}
Event = Granted | Begun | Ended | Leaving


def format_line(event: Event) -> str:
    """Encode an event as one line."""
    fields = dataclasses.asdict(event)
    return json.dumps({'kind': type(event).__name__.lower(), **fields})


def parse_line(line: str) -> Event:
    """Decode a line that `format_line` has encoded."""
    fields: dict[str, Any] = json.loads(line)
    kind = _KINDS[fields.pop('kind')]
    rows = fields.get('rows')
    if rows is not None:
        fields['rows'] = tuple(tuple(row) for row in rows)
    event: Event = kind(**fields)
    return event
