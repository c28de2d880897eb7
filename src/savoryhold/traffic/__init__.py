"""Decisions on requests: routes, queues, targets, retries."""

from savoryhold.traffic.budget import SharedBudgets, Spending
from savoryhold.traffic.choice import Candidate, Distance, choose
from savoryhold.traffic.queue import Refused, TargetQueue, Ticket
from savoryhold.traffic.routes import (
    CallerLimits,
    MeshConfig,
    Part,
    Route,
    RouteKind,
    RouteTable,
    ServiceInfo,
)

__all__ = [
    'CallerLimits',
    'Candidate',
    'Distance',
    'MeshConfig',
    'Part',
    'Refused',
    'Route',
    'RouteKind',
    'RouteTable',
    'ServiceInfo',
    'SharedBudgets',
    'Spending',
    'TargetQueue',
    'Ticket',
    'choose',
]
