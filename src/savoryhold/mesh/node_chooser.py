"""Choice of the node that runs a request."""

from savoryhold.core.ids import NodeId
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.requests import NO_KEY, RelayedRequest, TargetDownError
from savoryhold.traffic import Candidate, Origin, choose

__all__ = ['NodeChooser']

AWAY_RETRY_MS = 450  # a restarted node is often ready by then
NO_TARGET_RETRY_MS = 200
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
        candidates = self._candidates(req)
        preferred = [one for one in candidates if one.node not in avoid]
        node = choose(preferred or candidates, self._origin, large=large)
        if node is None:
            raise TargetDownError(
                f'no target serves {req.service}', NO_TARGET_RETRY_MS
            )
        return node

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
            for member in members.serving_members(req.service, now)
        ]
        owner = self._context.owner
        if owner.target.serves(req.service) and owner.target.is_ready():
            wait_ms = owner.queue.backlog_ms(now)
            candidates.append(
                Candidate(
                    self._node, self._origin.zone, self._origin.region, wait_ms
                )
            )
        return candidates
