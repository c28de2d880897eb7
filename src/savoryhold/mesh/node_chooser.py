"""Choice of the node that runs a request."""

from collections.abc import Collection

from savoryhold.core.errors import RequestError
from savoryhold.core.ids import NodeId, Zone
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.requests import (
    NO_KEY,
    NoPlaceError,
    RelayedRequest,
    TargetDownError,
)
from savoryhold.traffic import Candidate, Origin, choose

__all__ = ['NodeChooser']

AWAY_RETRY_MS = 450  # a restarted node is often ready by then
NO_TARGET_RETRY_MS = 200
NO_PLACE_RETRY_MS = 2000  # operators have to change something
OUTSTANDING_MS = 8.0  # wait that each request relayed to a node adds there


class NodeChooser:
    """Chooses the owner of a key, or the best node of a service.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
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
        allowed = self._rules.allowed_regions(req)
        shut = self._rules.evacuated.union(barred)
        candidates = [
            Candidate(
                member.status.node,
                member.status.zone,
                member.status.region,
                members.wait_ms(member, now)
                + member.outstanding * OUTSTANDING_MS,
            )
            for member in members.serving_members(req.service, now)
            if allowed.allows(member.status.region)
            and member.status.zone not in shut
        ]
        owner = self._context.owner
        here = self._origin
        if (
            owner.target.serves(req.service)
            and owner.target.is_ready()
            and allowed.allows(here.region)
            and here.zone not in shut
        ):
            wait_ms = owner.queue.backlog_ms()
            candidates.append(
                Candidate(self._node, here.zone, here.region, wait_ms)
            )
        return candidates
