"""Choice of the node that runs a request."""

import random
from collections.abc import Collection

from savoryhold.core.errors import RequestError
from savoryhold.core.ids import NodeId, Region, Zone
from savoryhold.mesh.forecasts import Forecasts
from savoryhold.mesh.members import Member
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.requests import (
    NO_KEY,
    NoPlaceError,
    RelayedRequest,
    TargetDownError,
)
from savoryhold.mesh.telemetry import Telemetry
from savoryhold.traffic import Candidate, Origin, choose, choose_outlook

__all__ = ['NodeChooser']

AWAY_RETRY_MS = 450  # a restarted node is often ready by then
NO_TARGET_RETRY_MS = 200
NO_PLACE_RETRY_MS = 2000  # operators have to change something
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
        self._rules = context.places

    def choose(
        self,
        req: RelayedRequest,
        avoid: set[NodeId],
        *,
        large: bool,
        barred: Collection[Zone] = (),
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
        barred : collection of Zone
            Zones of nodes that must not run it, as they have said.

        Raises
        ------
        TargetDownError
            If no node can be reached that may run it.
        NoPlaceError
            If none is expected soon because of where it may run.
        """
        if req.key != NO_KEY:
            return self._owner(req, barred)
        if self._forecasts.enabled:
            return self._choose_by_cost(req, avoid, barred, large=large)
        candidates = self._candidates(req, barred)
        preferred = [one for one in candidates if one.node not in avoid]
        node = choose(preferred or candidates, self._origin, large=large)
        if node is None:
            raise self._unavailable(
                req,
                f'no target serves {req.service}',
                NO_TARGET_RETRY_MS,
                barred,
            )
        return node

    def zone_of(self, node: NodeId) -> Zone:
        """Return the zone of a node."""
        place = self._context.members.index.places.get(node)
        return self._origin.zone if place is None else place.zone

    def _choose_by_cost(
        self,
        req: RelayedRequest,
        avoid: set[NodeId],
        barred: Collection[Zone],
        *,
        large: bool,
    ) -> NodeId:
        """Return a node with a low expected completion time."""
        now = self._context.clock.now()
        members = self._serving_members(req, now, barred)
        if len(members) > MAX_COMPARED and not large:
            members = self._rng.sample(members, MAX_COMPARED)
        outlooks = [self._forecasts.outlook(member, now) for member in members]
        if self._runs_here(req, barred):
            outlooks.append(self._forecasts.own_outlook(now))
        if not outlooks:
            raise self._unavailable(
                req,
                f'no target serves {req.service}',
                NO_TARGET_RETRY_MS,
                barred,
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

    def _serving_members(
        self, req: RelayedRequest, now: int, barred: Collection[Zone]
    ) -> list[Member]:
        """Return the members whose targets may run a request."""
        members = self._context.members.serving_members(req.service, now)
        if self._is_unconfined(req, barred):
            return members
        return [
            member
            for member in members
            if self._may_run_in(
                req, member.status.region, member.status.zone, barred
            )
        ]

    def _runs_here(self, req: RelayedRequest, barred: Collection[Zone]) -> bool:
        """Return whether the local target may run a request."""
        target = self._context.owner.target
        if not target.serves(req.service) or not target.is_ready():
            return False
        here = self._origin
        return self._may_run_in(req, here.region, here.zone, barred)

    def _is_unconfined(
        self, req: RelayedRequest, barred: Collection[Zone]
    ) -> bool:
        """Return whether a request may run anywhere."""
        if barred or self._rules.evacuated:
            return False
        return self._rules.allowed_regions(req).is_anywhere

    def _may_run_in(
        self,
        req: RelayedRequest,
        region: Region,
        zone: Zone,
        barred: Collection[Zone],
    ) -> bool:
        if zone in self._rules.evacuated or zone in barred:
            return False
        return self._rules.allowed_regions(req).allows(region)

    def _owner(self, req: RelayedRequest, barred: Collection[Zone]) -> NodeId:
        table = self._context.tables.tables.get(req.service)
        if table is None:
            raise self._unavailable(
                req,
                'the key range table is not known yet',
                NO_TARGET_RETRY_MS,
                barred,
            )
        owner = table.row_at(req.key).owner
        self._check_place(req, owner, barred)
        if owner == self._node:
            return owner
        members = self._context.members
        member = members.members.get(owner)
        now = self._context.clock.now()
        leaving = member is None or member.status.leaving
        if leaving or not members.is_alive(owner, now):
            raise self._unavailable(
                req,
                f'{owner}, which owns the key, is not available',
                AWAY_RETRY_MS,
                barred,
            )
        return owner

    def _check_place(
        self, req: RelayedRequest, owner: NodeId, barred: Collection[Zone]
    ) -> None:
        """Refuse a request that the owner of its key must not run."""
        place = self._context.members.index.places.get(owner)
        if place is None:
            return
        allowed = self._rules.allowed_regions(req)
        out = place.zone in self._rules.evacuated or place.zone in barred
        if allowed.allows(place.region) and not out:
            return
        text = f'{owner} in {place.region}, which owns the key, must not run it'
        if out or not self._rules.may_own(req.service, place):
            # Its keys are handed over.
            raise self._unavailable(req, text, AWAY_RETRY_MS, barred)
        raise NoPlaceError(text, NO_PLACE_RETRY_MS)

    def _unavailable(
        self,
        req: RelayedRequest,
        text: str,
        retry_ms: int,
        barred: Collection[Zone],
    ) -> RequestError:
        """Return the error for a request that no target can run now.

        Notes
        -----
        It is final if the request is confined to places without a target.
        """
        allowed = self._rules.allowed_regions(req)
        evacuated = self._rules.evacuated
        if allowed.is_anywhere and not evacuated and not barred:
            return TargetDownError(text, retry_ms)
        if self._candidates(req, barred):
            return TargetDownError(text, retry_ms)
        statuses = (
            member.status for member in self._context.members.members.values()
        )
        is_expected = any(
            status.service == req.service
            and allowed.allows(status.region)
            and status.zone not in evacuated
            for status in statuses
        )
        return NoPlaceError(
            f'no target of {req.service} is available in {allowed}'
            f' outside of evacuated zones {sorted(evacuated)}',
            AWAY_RETRY_MS if is_expected else NO_PLACE_RETRY_MS,
        )

    def _candidates(
        self, req: RelayedRequest, barred: Collection[Zone]
    ) -> list[Candidate]:
        members = self._context.members
        now = self._context.clock.now()
        here = self._origin
        candidates = [
            Candidate(
                member.status.node,
                member.status.zone,
                member.status.region,
                members.wait_ms(member, now)
                + member.outstanding * OUTSTANDING_MS,
            )
            for member in self._serving_members(req, now, barred)
        ]
        if self._runs_here(req, barred):
            wait_ms = self._context.owner.queue.backlog_ms(now)
            candidates.append(
                Candidate(self._node, here.zone, here.region, wait_ms)
            )
        return candidates
