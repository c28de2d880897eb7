"""Traffic decisions: routing, queueing, node selection and retry budgets."""

from savoryhold.traffic.budget import RetryDecision, SharedRetryBudgets
from savoryhold.traffic.capacity import UNLIMITED, Capacity
from savoryhold.traffic.choice import (
    Candidate,
    Choice,
    Origin,
    Outlook,
    Transfer,
    choose,
    choose_outlook,
)
from savoryhold.traffic.cold_start import (
    ColdStartLimiter,
    ReportDelay,
    WarmupLimits,
)
from savoryhold.traffic.cost import CostModel, RequestTraits
from savoryhold.traffic.entry import Arrival, EntryControl, EntryRefusal
from savoryhold.traffic.fullness import FullnessBound, may_send_bytes
from savoryhold.traffic.places import ANYWHERE, AllowedRegions
from savoryhold.traffic.queue import TargetQueue
from savoryhold.traffic.remaining import WorkLeft
from savoryhold.traffic.reported_load import (
    LoadSample,
    ReportedLoad,
    parse_load,
)
from savoryhold.traffic.returns import (
    DUPLICATE_PENALTY,
    ReturnTracker,
    Standing,
)
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
from savoryhold.traffic.shares import NodeShares
from savoryhold.traffic.target_record import PaceEstimate, TargetRecord
from savoryhold.traffic.tickets import QueueRefusal, Ticket

__all__ = [
    'ANYWHERE',
    'DUPLICATE_PENALTY',
    'UNLIMITED',
    'AllowedRegions',
    'Arrival',
    'CallerLimits',
    'Candidate',
    'Capacity',
    'Choice',
    'ColdStartLimiter',
    'CostModel',
    'EntryControl',
    'EntryRefusal',
    'Feature',
    'FullnessBound',
    'LoadSample',
    'MeshConfig',
    'NodeShares',
    'Origin',
    'Outlook',
    'PaceEstimate',
    'QueueRefusal',
    'RefusedRoute',
    'ReportDelay',
    'ReportedLoad',
    'RequestTraits',
    'RetryDecision',
    'ReturnTracker',
    'Route',
    'RouteKind',
    'RouteTable',
    'ServiceInfo',
    'SharedRetryBudgets',
    'Standing',
    'TargetQueue',
    'TargetRecord',
    'Ticket',
    'Transfer',
    'WarmupLimits',
    'WeightedService',
    'WorkLeft',
    'choose',
    'choose_outlook',
    'may_send_bytes',
    'parse_load',
]
