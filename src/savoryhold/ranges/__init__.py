"""Key ranges: the ownership table, grants to targets and load balancing."""

from savoryhold.ranges.draft import ChangeRequest, TableDraft
from savoryhold.ranges.grants import HOLD_MS, LEASE_MS, GrantMachine
from savoryhold.ranges.heat import KeyHeat
from savoryhold.ranges.planner import (
    HandoverOrder,
    TargetLoad,
    distribute_spans,
    plan_claims,
    plan_handovers,
)
from savoryhold.ranges.reports import (
    Grant,
    GrantReply,
    HeldSpan,
    ReleaseConfirmation,
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
    'ChangeRequest',
    'Grant',
    'GrantMachine',
    'GrantReply',
    'HandoverOrder',
    'HeldSpan',
    'KeyHeat',
    'OwnershipChange',
    'RangeTable',
    'ReleaseConfirmation',
    'ReleasedSpan',
    'Report',
    'Row',
    'Span',
    'TableDraft',
    'TargetLife',
    'TargetLoad',
    'distribute_spans',
    'initial_rows',
    'plan_claims',
    'plan_handovers',
    'rows_from_fields',
    'rows_to_fields',
]
