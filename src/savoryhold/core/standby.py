"""The standby's side of a lease: promises given and claims sent."""

import dataclasses

from savoryhold.core.ids import NodeId, Version
from savoryhold.core.lease import DRIFT_MS, LEASE_MS

__all__ = ['HolderStatus', 'StandbyDuties']


@dataclasses.dataclass(slots=True)
class HolderStatus:
    """A standby's last promise to one holder, and its last claim."""

    promised_at: int
    claimed_version: Version = Version(0)


class StandbyDuties:
    """Promises and claims of one node, for all its holders.

    Parameters
    ----------
    started_at : int
        Time in ms at which this process started; it does not know of promises
        given before.
    """

    def __init__(self, started_at: int) -> None:
        self._started_at = started_at
        self._statuses: dict[NodeId, HolderStatus] = {}

    def may_promise(self, holder: NodeId, version: Version) -> bool:
        """Return whether no claim sent can still take effect at `version`."""
        status = self._statuses.get(holder)
        return status is None or status.claimed_version < version

    def record_promise(self, holder: NodeId, now: int) -> None:
        """Record a promise that is about to be sent."""
        self._status_of(holder).promised_at = now

    def claim_allowed_at(self, holder: NodeId, observed_at: int) -> int:
        """Return from when a claim is allowed, in ms.

        Parameters
        ----------
        holder : NodeId
            Node whose record would be claimed.
        observed_at : int
            When this node first saw the record's current version.
        """
        status = self._statuses.get(holder)
        promised_at = status.promised_at if status else self._started_at
        return max(promised_at, observed_at) + LEASE_MS + DRIFT_MS

    def record_claim(self, holder: NodeId, version: Version) -> None:
        """Record that a claim at `version` is about to be sent."""
        status = self._status_of(holder)
        status.claimed_version = max(status.claimed_version, version)

    def forget(self, holder: NodeId) -> None:
        """Remove the status of a holder that no longer exists."""
        self._statuses.pop(holder, None)

    def _status_of(self, holder: NodeId) -> HolderStatus:
        return self._statuses.setdefault(holder, HolderStatus(self._started_at))
