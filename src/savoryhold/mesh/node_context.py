"""State and services that the tasks of a node share."""

import dataclasses

from savoryhold.core.clock import Clock
from savoryhold.daemon.logs import Log
from savoryhold.mesh.config import ConfigTask
from savoryhold.mesh.members import MemberTable
from savoryhold.mesh.owner import OwnerTask
from savoryhold.mesh.place_rules import PlaceRules
from savoryhold.mesh.settings import MeshSettings
from savoryhold.mesh.tables import TableTask
from savoryhold.peer import PeerPool

__all__ = ['NodeContext']


@dataclasses.dataclass(frozen=True, slots=True)
class NodeContext:
    """Dependencies of the ingress side and the owner side of a node.

    Parameters
    ----------
    settings : MeshSettings
        This node's settings.
    members : MemberTable
        Status of the other nodes.
    owner : OwnerTask
        Queue and connections of the local target.
    tables : TableTask
        Ownership of key ranges.
    configs : ConfigTask
        Routes and limits in force.
    pool : PeerPool
        Links to the other nodes.
    clock : Clock
        Source of time.
    log : Log
        Logger of this node.
    places : PlaceRules
        Where requests may run and keys may be.
    """

    settings: MeshSettings
    members: MemberTable
    owner: OwnerTask
    tables: TableTask
    configs: ConfigTask
    pool: PeerPool
    clock: Clock
    log: Log
    places: PlaceRules = dataclasses.field(default_factory=PlaceRules)
