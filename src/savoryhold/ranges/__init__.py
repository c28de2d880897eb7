"""Key ranges: the stored table, grants to targets, and where keys go."""

from savoryhold.ranges.grants import HOLD_MS, LEASE_MS, GrantMachine
from savoryhold.ranges.heat import KeyHeat
from savoryhold.ranges.planner import Load, Order, claims, orders, spread
from savoryhold.ranges.reports import (
    Confirmation,
    Grant,
    GrantReply,
    Held,
    Release,
    Report,
    TargetLife,
)
from savoryhold.ranges.table import (
    KEY_COUNT,
    UNKNOWN,
    Change,
    RangeTable,
    Row,
    Span,
    even_rows,
    rows_from_fields,
    rows_to_fields,
)

__all__ = [
    'HOLD_MS',
    'KEY_COUNT',
    'LEASE_MS',
    'UNKNOWN',
    'Change',
    'Confirmation',
    'Grant',
    'GrantMachine',
    'GrantReply',
    'Held',
    'KeyHeat',
    'Load',
    'Order',
    'RangeTable',
    'Release',
    'Report',
    'Row',
    'Span',
    'TargetLife',
    'claims',
    'even_rows',
    'orders',
    'rows_from_fields',
    'rows_to_fields',
    'spread',
]
