"""The parts of a node that its tasks share."""

import dataclasses

from savoryhold.core.clock import Clock
from savoryhold.daemon.logs import Log
from savoryhold.mesh.config import ConfigTask
from savoryhold.mesh.members import MemberTable
from savoryhold.mesh.owner import OwnerTask
from savoryhold.mesh.settings import MeshSettings
from savoryhold.mesh.tables import TableTask
from savoryhold.peer import PeerPool

__all__ = ['NodeContext']


@dataclasses.dataclass(frozen=True, slots=True)
class NodeContext:
    """What both sides of a node work with.

    Parameters
    ----------
    settings : MeshSettings
        This node's settings.
    members : MemberTable
        The other nodes.
    owner : OwnerTask
        The local target.
    tables : TableTask
        Who owns which keys.
    configs : ConfigTask
        Routes and limits.
    pool : PeerPool
        Links to the other nodes.
    clock : Clock
        Source of time.
    log : Log
        Where decisions go.
    """

    settings: MeshSettings
    members: MemberTable
    owner: OwnerTask
    tables: TableTask
    configs: ConfigTask
    pool: PeerPool
    clock: Clock
    log: Log
