"""Decisions on requests: routes, queues, targets, retries."""

from savoryhold.traffic.budget import SharedRetryBudgets, RetryDecision
from savoryhold.traffic.choice import Candidate, Origin, choose
from savoryhold.traffic.queue import QueueRefusal, TargetQueue, Ticket
from savoryhold.traffic.routes import (
    CallerLimits,
    MeshConfig,
    WeightedService,
    Route,
    RouteKind,
    RouteTable,
    ServiceInfo,
)

__all__ = [
    'CallerLimits',
    'Candidate',
    'Origin',
    'MeshConfig',
    'WeightedService',
    'QueueRefusal',
    'Route',
    'RouteKind',
    'RouteTable',
    'ServiceInfo',
    'SharedRetryBudgets',
    'RetryDecision',
    'TargetQueue',
    'Ticket',
    'choose',
]
