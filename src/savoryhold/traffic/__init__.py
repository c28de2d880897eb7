"""Traffic decisions: routing, queueing, node selection and retry budgets."""

from savoryhold.traffic.budget import SharedRetryBudgets, RetryDecision
from savoryhold.traffic.capacity import UNLIMITED, Capacity
from savoryhold.traffic.choice import Candidate, Origin, choose
from savoryhold.traffic.cold_start import (
    ColdStartLimiter,
    ReportDelay,
    WarmupLimits,
)
from savoryhold.traffic.fullness import FullnessBound, may_send_bytes
from savoryhold.traffic.queue import QueueRefusal, TargetQueue, Ticket
from savoryhold.traffic.reported_load import (
    LoadSample,
    ReportedLoad,
    parse_load,
)
from savoryhold.traffic.routes import (
    CallerLimits,
    Feature,
    MeshConfig,
    Route,
    RouteKind,
    RouteTable,
    ServiceInfo,
    WeightedService,
)

__all__ = [
    'UNLIMITED',
    'CallerLimits',
    'Candidate',
    'Capacity',
    'ColdStartLimiter',
    'Feature',
    'FullnessBound',
    'LoadSample',
    'MeshConfig',
    'Origin',
    'QueueRefusal',
    'ReportDelay',
    'ReportedLoad',
    'RetryDecision',
    'Route',
    'RouteKind',
    'RouteTable',
    'ServiceInfo',
    'SharedRetryBudgets',
    'TargetQueue',
    'Ticket',
    'WarmupLimits',
    'WeightedService',
    'choose',
    'may_send_bytes',
    'parse_load',
]
