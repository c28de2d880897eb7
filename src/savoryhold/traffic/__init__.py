"""Traffic decisions: routing, queueing, node selection and retry budgets."""

from savoryhold.traffic.budget import SharedRetryBudgets, RetryDecision
from savoryhold.traffic.choice import Candidate, Origin, choose
from savoryhold.traffic.entry import Arrival, EntryControl, EntryRefusal
from savoryhold.traffic.queue import QueueRefusal, TargetQueue, Ticket
from savoryhold.traffic.returns import ReturnTracker, Standing
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
    'Arrival',
    'CallerLimits',
    'Candidate',
    'EntryControl',
    'EntryRefusal',
    'Feature',
    'MeshConfig',
    'Origin',
    'QueueRefusal',
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
    'WeightedService',
    'choose',
]
