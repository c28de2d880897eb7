"""Traffic decisions: routing, queueing, node selection and retry budgets."""

from savoryhold.traffic.budget import SharedRetryBudgets, RetryDecision
from savoryhold.traffic.choice import Candidate, Origin, choose
from savoryhold.traffic.queue import QueueRefusal, TargetQueue, Ticket
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
    'CallerLimits',
    'Candidate',
    'Feature',
    'MeshConfig',
    'Origin',
    'QueueRefusal',
    'RetryDecision',
    'Route',
    'RouteKind',
    'RouteTable',
    'ServiceInfo',
    'SharedRetryBudgets',
    'TargetQueue',
    'Ticket',
    'WeightedService',
    'choose',
]
