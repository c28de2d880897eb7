"""Reports of targets on the keys that they hold, and the replies."""

import dataclasses

from savoryhold.core.ids import Epoch
from savoryhold.ranges.table import Span

__all__ = [
    'Grant',
    'GrantReply',
    'HeldSpan',
    'ReleaseConfirmation',
    'ReleasedSpan',
    'Report',
    'TargetLife',
]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLife:
    """One incarnation of a target.

    ``born`` is the target's own wall-clock time at its start, in ms.
    """

    target: str
    born: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSpan:
    """A span that a target holds or still runs requests of.

    ``fence`` is the fencing token under which it was granted.
    """

    span: Span
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedSpan:
    """A span that a target released, with the token for its next holder."""

    span: Span
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A target's report on the keys that it holds and has released."""

    life: TargetLife
    held: tuple[HeldSpan, ...]
    released: tuple[ReleasedSpan, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A span granted to the target, with its fencing token.

    ``token`` is the handover token of the previous holder, if any.
    """

    span: Span
    fence: int
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReply:
    """All grants of the target, and their duration counted from its report."""

    grants: tuple[Grant, ...]
    hold_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseConfirmation:
    """A previous owner's confirmation that it extends no grant on a span."""

    span: Span
    epoch: Epoch
    releases: tuple[ReleasedSpan, ...] = ()
