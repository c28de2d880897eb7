"""Key ranges: the stored table, grants to targets, and where keys go."""

from savoryhold.ranges.grants import HOLD_MS, LEASE_MS, GrantMachine
from savoryhold.ranges.heat import KeyHeat
from savoryhold.ranges.planner import (
    TargetLoad,
    HandoverOrder,
    plan_claims,
    plan_handovers,
    distribute_spans,
)
from savoryhold.ranges.reports import (
    ReleaseConfirmation,
    Grant,
    GrantReply,
    HeldSpan,
    ReleasedSpan,
    Report,
    TargetLife,
)
from savoryhold.ranges.table import (
    KEY_COUNT,
    UNKNOWN_OWNER,
    OwnershipChange,
    RangeTable,
    Row,
    Span,
    initial_rows,
    rows_from_fields,
    rows_to_fields,
)

__all__ = [
    'HOLD_MS',
    'KEY_COUNT',
    'LEASE_MS',
    'UNKNOWN_OWNER',
    'OwnershipChange',
    'ReleaseConfirmation',
    'Grant',
    'GrantMachine',
    'GrantReply',
    'HeldSpan',
    'KeyHeat',
    'TargetLoad',
    'HandoverOrder',
    'RangeTable',
    'ReleasedSpan',
    'Report',
    'Row',
    'Span',
    'TargetLife',
    'plan_claims',
    'initial_rows',
    'plan_handovers',
    'rows_from_fields',
    'rows_to_fields',
    'distribute_spans',
]
