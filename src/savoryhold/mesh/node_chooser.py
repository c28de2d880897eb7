"""Choice of the node that runs a request."""

import random

from savoryhold.core.ids import NodeId
from savoryhold.mesh.forecasts import Forecasts
from savoryhold.mesh.members import Member
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.requests import NO_KEY, RelayedRequest, TargetDownError
from savoryhold.mesh.telemetry import Telemetry
from savoryhold.traffic import Candidate, Origin, choose, choose_outlook

__all__ = ['NodeChooser']

AWAY_RETRY_MS = 450  # a restarted node is often ready by then
NO_TARGET_RETRY_MS = 200
MAX_COMPARED = 12  # targets, at random; large requests look for the nearest
OUTSTANDING_MS = 8.0  # wait that each request relayed to a node adds there


class NodeChooser:
    """Chooses the owner of a key, or the best node of a service.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.
    forecasts : Forecasts
        Costs of requests and outcomes at targets.
    telemetry : Telemetry
        Log lines of choices.
    """

    def __init__(
        self,
        context: NodeContext,
        forecasts: Forecasts,
        telemetry: Telemetry,
    ) -> None:
        self._context = context
        self._forecasts = forecasts
        self._telemetry = telemetry
        self._rng = random.Random()
        self._node = context.settings.node
        self._origin = Origin(context.settings.zone, context.settings.region)

    def choose(
        self, req: RelayedRequest, avoid: set[NodeId], *, large: bool
    ) -> NodeId:
        """Return the node to relay a request to.

        Parameters
        ----------
        req : RelayedRequest
            The request.
        avoid : set of NodeId
            Nodes that have refused it; used only if there are no others.
        large : bool
            Whether its answer is expected to be large.

        Raises
        ------
        TargetDownError
            If no node can be reached that may run it.
        """
        if req.key != NO_KEY:
            return self._owner(req)
        if self._forecasts.enabled:
            return self._choose_by_cost(req, avoid, large=large)
        candidates = self._candidates(req)
        preferred = [one for one in candidates if one.node not in avoid]
        node = choose(preferred or candidates, self._origin, large=large)
        if node is None:
            raise TargetDownError(
                f'no target serves {req.service}', NO_TARGET_RETRY_MS
            )
        return node

    def _choose_by_cost(
        self, req: RelayedRequest, avoid: set[NodeId], *, large: bool
    ) -> NodeId:
        """Return a node with a low expected completion time."""
        now = self._context.clock.now()
        members = self._serving_members(req, now)
        if len(members) > MAX_COMPARED and not large:
            members = self._rng.sample(members, MAX_COMPARED)
        outlooks = [self._forecasts.outlook(member, now) for member in members]
        if self._runs_here(req):
            outlooks.append(self._forecasts.own_outlook(now))
        if not outlooks:
            raise TargetDownError(
                f'no target serves {req.service}', NO_TARGET_RETRY_MS
            )
        preferred = [one for one in outlooks if one.node not in avoid]
        outlooks = preferred or outlooks
        choice = choose_outlook(
            outlooks,
            self._origin,
            req.expected_ms,
            self._forecasts.transfer(req, large=large),
            self._rng,
            # One that must not repeat is lost if the target breaks it off.
            explore=req.repeatable,
        )
        self._telemetry.record_choice(
            req, choice, [one.node for one in outlooks], again=bool(avoid)
        )
        return choice.chosen.node

    def _serving_members(self, req: RelayedRequest, now: int) -> list[Member]:
        """Return the members whose targets may run a request."""
        return self._context.members.serving_members(req.service, now)

    def _runs_here(self, req: RelayedRequest) -> bool:
        """Return whether the local target may run a request."""
        target = self._context.owner.target
        return target.serves(req.service) and target.is_ready()

    def _owner(self, req: RelayedRequest) -> NodeId:
        table = self._context.tables.tables.get(req.service)
        if table is None:
            raise TargetDownError(
                'the key range table is not known yet', NO_TARGET_RETRY_MS
            )
        owner = table.row_at(req.key).owner
        if owner == self._node:
            return owner
        members = self._context.members
        member = members.members.get(owner)
        now = self._context.clock.now()
        leaving = member is None or member.status.leaving
        if leaving or not members.is_alive(owner, now):
            raise TargetDownError(
                f'{owner}, which owns the key, is not available', AWAY_RETRY_MS
            )
        return owner

    def _candidates(self, req: RelayedRequest) -> list[Candidate]:
        members = self._context.members
        now = self._context.clock.now()
        candidates = [
            Candidate(
                member.status.node,
                member.status.zone,
                member.status.region,
                members.wait_ms(member, now)
                + member.outstanding * OUTSTANDING_MS,
            )
            for member in self._serving_members(req, now)
        ]
        if self._runs_here(req):
            wait_ms = self._context.owner.queue.backlog_ms(now)
            candidates.append(
                Candidate(
                    self._node, self._origin.zone, self._origin.region, wait_ms
                )
            )
        return candidates
