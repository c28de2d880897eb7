"""Which node gets a request."""

from savoryhold.core.ids import NodeId
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.requests import NO_KEY, RelayedRequest, TargetDownError
from savoryhold.traffic import Candidate, Origin, choose

__all__ = ['NodeChooser']

AWAY_RETRY_MS = 450  # a node that restarts is often back within this
NO_TARGET_RETRY_MS = 200
OUTSTANDING_MS = 8.0  # wait that a request on its way adds at a node


class NodeChooser:
    """Chooses the owner of a key, or the best node of a service.

    Parameters
    ----------
    parts : Parts
        The node.
    """

    def __init__(self, parts: NodeContext) -> None:
        self._parts = parts
        self._me = parts.settings.node
        self._here = Origin(parts.settings.zone, parts.settings.region)

    def choose(
        self, req: RelayedRequest, avoid: set[NodeId], *, large: bool
    ) -> NodeId:
        """Return the node to ask.

        Parameters
        ----------
        req : RelayedRequest
            The request.
        avoid : set of NodeId
            Nodes that have refused it, passed over if there are others.
        large : bool
            Whether its answer is large.

        Raises
        ------
        TargetDownError
            If there is none.
        """
        if req.key != NO_KEY:
            return self._owner(req)
        found = self._candidates(req)
        fresh = [one for one in found if one.node not in avoid]
        node = choose(fresh or found, self._here, large=large)
        if node is None:
            raise TargetDownError(
                f'no target serves {req.service}', NO_TARGET_RETRY_MS
            )
        return node

    def _owner(self, req: RelayedRequest) -> NodeId:
        table = self._parts.tables.tables.get(req.service)
        if table is None:
            raise TargetDownError('no table of keys yet', NO_TARGET_RETRY_MS)
        owner = table.row_at(req.key).owner
        if owner == self._me:
            return owner
        members = self._parts.members
        member = members.members.get(owner)
        now = self._parts.clock.now()
        leaving = member is None or member.status.leaving
        if leaving or not members.is_alive(owner, now):
            raise TargetDownError(f'{owner} is away', AWAY_RETRY_MS)
        return owner

    def _candidates(self, req: RelayedRequest) -> list[Candidate]:
        members = self._parts.members
        now = self._parts.clock.now()
        found = [
            Candidate(
                member.status.node,
                member.status.zone,
                member.status.region,
                members.wait_ms(member, now)
                + member.outstanding * OUTSTANDING_MS,
            )
            for member in members.serving(req.service, now)
        ]
        owner = self._parts.owner
        if owner.serves(req.service) and owner.is_ready():
            wait_ms = owner.queue.backlog_ms()
            found.append(
                Candidate(self._me, self._here.zone, self._here.region, wait_ms)
            )
        return found
