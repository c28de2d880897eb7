"""What targets report of the keys that they hold, and what answers them."""

import dataclasses

from savoryhold.core.ids import Epoch
from savoryhold.ranges.table import Span

__all__ = [
    'ReleaseConfirmation',
    'Grant',
    'GrantReply',
    'HeldSpan',
    'ReleasedSpan',
    'Report',
    'TargetLife',
]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLife:
    """One start of a target; `born` is its own time of day in ms."""

    target: str
    born: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSpan:
    """A span that a target holds or still works on."""

    span: Span
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedSpan:
    """A span that a target gave up, with the token for its next holder."""

    span: Span
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a target says of the keys that it holds."""

    life: TargetLife
    held: tuple[HeldSpan, ...]
    released: tuple[ReleasedSpan, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A span that the target is to hold."""

    span: Span
    fence: int
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReply:
    """All that the target is to hold, and for how long from its report."""

    grants: tuple[Grant, ...]
    hold_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseConfirmation:
    """A former owner's word that it extends no grant on a span."""

    span: Span
    epoch: Epoch
    releases: tuple[ReleasedSpan, ...] = ()
