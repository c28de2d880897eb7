"""What a node learns of the costs of requests and of the targets."""

import dataclasses
import itertools

from savoryhold.core.errors import RequestError
from savoryhold.core.ids import NodeId, Region
from savoryhold.mesh.members import Member
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.requests import RelayedAnswer, RelayedRequest
from savoryhold.mesh.telemetry import Telemetry
from savoryhold.traffic import (
    CostModel,
    Feature,
    Outlook,
    RequestTraits,
    RouteTable,
    TargetRecord,
    Transfer,
    WorkLeft,
)

__all__ = ['Forecasts']

MAX_REPORTED = 1e9  # of what a peer reports, which may be wrong
MIN_PACE = 0.1
MAX_PACE = 20.0
NEWS_MS = 1500.0  # age at which half of a reported pace is believed
MAX_RAN_MS = 600_000  # a longer time is an error of the peer
SIZE_SMOOTHING = 0.1  # weight of a new answer in the average size
SERVER_ERROR = 500
# Refusals by nodes and not by their targets.
NODE_REFUSALS = frozenset({'busy', 'moved', 'poisoned'})


class Forecasts:
    """Costs of requests, sizes of answers and outcomes at targets.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.
    telemetry : Telemetry
        Counts forecast errors.
    """

    def __init__(self, context: NodeContext, telemetry: Telemetry) -> None:
        self.costs = CostModel()
        self.enabled = False
        self._context = context
        self._telemetry = telemetry
        self._clock = context.clock
        self._node = context.settings.node
        self._own_record = TargetRecord()
        self._answer_bytes: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._routes: RouteTable | None = None

    def refresh(self) -> None:
        """Switch forecasts on or off if the configuration has changed."""
        routes = self._context.configs.routes
        if routes is self._routes:
            return
        self._routes = routes
        self.enabled = (
            routes is not None and Feature.COST_ROUTING in routes.cfg.features
        )
        queue = self._context.owner.queue
        if not self.enabled:
            queue.work = None
        elif queue.work is None:
            queue.work = WorkLeft(self.costs, self._context.settings.service)

    def prepare(self, req: RelayedRequest) -> RelayedRequest:
        """Return a request with the forecast of its run time."""
        self.refresh()
        if not self.enabled:
            return req
        expected_ms = self.costs.forecast_ms(_traits(req))
        return dataclasses.replace(req, expected_ms=expected_ms)

    def transfer(self, req: RelayedRequest, *, large: bool) -> Transfer:
        """Return what a request sends over links."""
        size = len(req.body) + self._answer_bytes.get(req.route, 0.0)
        return Transfer(
            size,
            self._context.settings.link_mbps,
            large,
            max(0, req.aim_at - self._clock.now()),
            self._scarce_regions(req),
        )

    def _scarce_regions(self, req: RelayedRequest) -> frozenset[Region]:
        """Return the regions that other requests of a service cannot leave."""
        routes = self._context.configs.routes
        if routes is None or req.regions:
            return frozenset()
        return routes.confined_regions(req.service)

    # Targets ----------------------------------------------------------------

    def outlook(self, member: Member, now: int) -> Outlook:
        """Return what is expected at the target of a member."""
        status = member.status
        record = member.record
        return Outlook(
            status.node,
            status.zone,
            status.region,
            status.slots,
            # Nodes that forecast no work report the wait for a slot.
            _bounded(status.work_ms or status.wait_ms * status.slots),
            record.pending_ms,
            record.pace.current(now) * _reported_pace(member, now),
            min(max(0.0, status.acceptance), record.acceptance(now)),
            _bounded(status.demand),
            max(0, now - member.received_at),
        )

    def own_outlook(self, now: int) -> Outlook:
        """Return what is expected at the local target."""
        cfg, owner = self._context.settings, self._context.owner
        work = owner.queue.work
        return Outlook(
            self._node,
            cfg.zone,
            cfg.region,
            owner.queue.slots,
            owner.queue.work_ms(now),
            0.0,
            1.0 if work is None else work.present_pace(now),
            self._own_record.acceptance(now),
            owner.demand(now),
            0,
            is_local=True,
        )

    def begin(self, member: Member, req: RelayedRequest) -> int:
        """Record that a request is relayed; return its number."""
        number = next(self._numbers)
        if self.enabled:
            now = self._clock.now()
            member.record.begin(number, req.expected_ms, now)
        return number

    # Outcomes ---------------------------------------------------------------

    def record_answer(
        self, node: NodeId, req: RelayedRequest, answer: RelayedAnswer
    ) -> None:
        """Learn from the answer of a target."""
        if not self.enabled:
            return
        now = self._clock.now()
        known = self._answer_bytes.setdefault(req.route, len(answer.body))
        growth = SIZE_SMOOTHING * (len(answer.body) - known)
        self._answer_bytes[req.route] = known + growth
        accepted = answer.status < SERVER_ERROR
        self._record_outcome(node, accepted=accepted, now=now)
        if accepted and 0 < answer.ran_ms < MAX_RAN_MS:
            self._record_run(node, req, answer.ran_ms, now)

    def record_error(self, node: NodeId, exc: RequestError) -> None:
        """Learn from a request that a target has refused or broken off."""
        if self.enabled and exc.code not in NODE_REFUSALS:
            now = self._clock.now()
            self._record_outcome(node, accepted=False, now=now)

    def _record_run(
        self, node: NodeId, req: RelayedRequest, ran_ms: int, now: int
    ) -> None:
        member = self._context.members.members.get(node)
        if member is None:
            # The queue of the local target has recorded the run.
            work = self._context.owner.queue.work
            pace = 1.0 if work is None else work.present_pace(now)
        else:
            reported = _reported_pace(member, now)
            pace = reported * member.record.pace.current(now)
            member.record.pace.record(ran_ms, req.expected_ms * reported, now)
            self.costs.record(_traits(req), ran_ms, pace, now)
        self._telemetry.record_forecast(
            req.route, req.expected_ms * pace, ran_ms
        )

    def _record_outcome(
        self, node: NodeId, *, accepted: bool, now: int
    ) -> None:
        member = self._context.members.members.get(node)
        record = self._own_record if member is None else member.record
        record.record_outcome(accepted=accepted, now=now)


def _traits(req: RelayedRequest) -> RequestTraits:
    return RequestTraits(
        req.service,
        req.route,
        req.method,
        len(req.body),
        'nested' if req.nested else '',
        req.key,
    )


def _bounded(reported: float) -> float:
    """Return a figure of a peer that is finite and not negative."""
    return min(MAX_REPORTED, max(0.0, reported))


def _reported_pace(member: Member, now: int) -> float:
    """Return the pace that a target reports, which tends to 1 with its age."""
    age_ms = max(0, now - member.received_at)
    trust = NEWS_MS / (NEWS_MS + age_ms)
    pace = min(MAX_PACE, max(MIN_PACE, member.status.pace))
    return 1 + (pace - 1) * trust
