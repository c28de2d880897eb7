"""Traffic decisions: routing, queueing, node selection and retry budgets."""

from savoryhold.traffic.budget import SharedRetryBudgets, RetryDecision
from savoryhold.traffic.capacity import UNLIMITED, Capacity
from savoryhold.traffic.choice import Candidate, Origin, choose
from savoryhold.traffic.places import ANYWHERE, AllowedRegions
from savoryhold.traffic.cold_start import (
    ColdStartLimiter,
    ReportDelay,
    WarmupLimits,
)
from savoryhold.traffic.entry import Arrival, EntryControl, EntryRefusal
from savoryhold.traffic.queue import QueueRefusal, TargetQueue, Ticket
from savoryhold.traffic.returns import ReturnTracker, Standing
from savoryhold.traffic.routes import (
    CallerLimits,
    Feature,
    MeshConfig,
    RefusedRoute,
    Route,
    RouteKind,
    RouteTable,
    ServiceInfo,
    WeightedService,
)

__all__ = [
    'ANYWHERE',
    'AllowedRegions',
    'UNLIMITED',
    'CallerLimits',
    'Candidate',
    'Capacity',
    'ColdStartLimiter',
    'Arrival',
    'CallerLimits',
    'Candidate',
    'EntryControl',
    'EntryRefusal',
    'Feature',
    'MeshConfig',
    'Origin',
    'QueueRefusal',
    'RefusedRoute',
    'ReportDelay',
    'RetryDecision',
    'ReturnTracker',
    'Route',
    'RouteKind',
    'RouteTable',
    'ServiceInfo',
    'SharedRetryBudgets',
    'Standing',
    'TargetQueue',
    'Ticket',
    'WarmupLimits',
    'WeightedService',
    'choose',
]
