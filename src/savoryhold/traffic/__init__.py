"""Traffic decisions: routing, queueing, node selection and retry budgets."""

from savoryhold.traffic.budget import SharedRetryBudgets, RetryDecision
from savoryhold.traffic.choice import (
    Candidate,
    Choice,
    Origin,
    Outlook,
    Transfer,
    choose,
    choose_outlook,
)
from savoryhold.traffic.cost import CostModel, RequestTraits
from savoryhold.traffic.queue import QueueRefusal, TargetQueue, Ticket
from savoryhold.traffic.remaining import WorkLeft
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
from savoryhold.traffic.target_record import PaceEstimate, TargetRecord

__all__ = [
    'CallerLimits',
    'Candidate',
    'Choice',
    'CostModel',
    'Feature',
    'MeshConfig',
    'Origin',
    'Outlook',
    'PaceEstimate',
    'QueueRefusal',
    'RequestTraits',
    'RetryDecision',
    'Route',
    'RouteKind',
    'RouteTable',
    'ServiceInfo',
    'SharedRetryBudgets',
    'TargetQueue',
    'TargetRecord',
    'Ticket',
    'Transfer',
    'WeightedService',
    'WorkLeft',
    'choose',
    'choose_outlook',
]
