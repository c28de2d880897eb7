"""Traffic decisions: routing, queueing, node selection and retry budgets."""

from savoryhold.traffic.budget import SharedRetryBudgets, RetryDecision
from savoryhold.traffic.choice import Candidate, Origin, choose
from savoryhold.traffic.entry import Arrival, EntryControl, EntryRefusal
from savoryhold.traffic.queue import TargetQueue
from savoryhold.traffic.returns import (
    DUPLICATE_PENALTY,
    ReturnTracker,
    Standing,
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
from savoryhold.traffic.shares import NodeShares
from savoryhold.traffic.tickets import QueueRefusal, Ticket

__all__ = [
    'Arrival',
    'CallerLimits',
    'Candidate',
    'DUPLICATE_PENALTY',
    'EntryControl',
    'EntryRefusal',
    'Feature',
    'MeshConfig',
    'NodeShares',
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
