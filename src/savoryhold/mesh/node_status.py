"""Status that a node reports of itself."""

import dataclasses

from savoryhold.core.ids import NodeId, Region, ServiceName, Version, Zone

__all__ = ['NodeStatus']


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """Status that a node reports of itself.

    Parameters
    ----------
    node : NodeId
        Name of the node.
    address : str
        Address at which it accepts links of other nodes.
    service : ServiceName
        Service of its local target.
    zone, region : Zone, Region
        Availability zone and region of its host.
    slots : int
        Number of requests that its target runs at once.
    wait_ms : float
        Expected wait of a request in its queue.
    demand : float
        Load that its requests offer, in slots.
    keys : int
        Number of keys that it owns.
    ready : bool
        Whether its target takes requests.
    leaving : bool
        Whether the node is stopping.
    life : int
        Random id of this start of its process.
    silent : frozenset of NodeId
        The nodes from which it receives no statuses.
    store_lost : bool
        Whether it cannot reach the store.
    silent_zones : frozenset of Zone
        The other zones from which it hears of no node.
    sent_at : int
        Time of sending in ms of its clock, which orders the statuses of one
        life; 0 if unknown.
    config_version : int
        Version of the configuration in force at the node.
    tables : tuple of (ServiceName, Version)
        Versions of its key range tables.
    config_at : int
        Revision of the store at which it last knew that its version of the
        configuration was the newest, 0 if it never did.
    config_age_ms : int
        Age of that knowledge when the status was sent.
    pace : float
        Run times at its target, as a multiple of usual ones.
    acceptance : float
        Share of the requests that its target does not refuse by itself.
    work_ms : float
        Expected work left at its target, in ms of one slot.
    evacuated : frozenset of Zone
        Zones that operators have had evacuated, as far as it knows.
    evacuated_at : int
        Revision of the store of that knowledge, 0 if it has none.
    """

    node: NodeId
    address: str
    service: ServiceName
    zone: Zone
    region: Region
    slots: int
    wait_ms: float
    demand: float
    keys: int
    ready: bool
    leaving: bool
    life: int
    silent: frozenset[NodeId]
    store_lost: bool = False
    silent_zones: frozenset[Zone] = frozenset()
    sent_at: int = 0
    config_version: int = 0
    tables: tuple[tuple[ServiceName, Version], ...] = ()
    config_at: int = 0
    config_age_ms: int = 0
    pace: float = 1.0
    acceptance: float = 1.0
    work_ms: float = 0.0
    evacuated: frozenset[Zone] = frozenset()
    evacuated_at: int = 0
