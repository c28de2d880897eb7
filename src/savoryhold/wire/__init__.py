"""HTTP/1.1 server for callers, and client for targets and the store."""

from savoryhold.wire.client import ClientAnswer, ClientPool
from savoryhold.wire.intake_limits import IntakeLimits
from savoryhold.wire.memory_budget import PROCESS_BUDGET, MemoryBudget
from savoryhold.wire.names import (
    HOP_BY_HOP,
    NOT_FORWARDED,
    HeaderNames,
    encode_headers,
)
from savoryhold.wire.server import Exchange, HttpRequest, HttpServer

__all__ = [
    'HOP_BY_HOP',
    'NOT_FORWARDED',
    'PROCESS_BUDGET',
    'ClientAnswer',
    'ClientPool',
    'Exchange',
    'HeaderNames',
    'HttpRequest',
    'HttpServer',
    'IntakeLimits',
    'MemoryBudget',
    'encode_headers',
]
