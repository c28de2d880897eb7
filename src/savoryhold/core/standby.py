"""The standby's side of a lease: promises given and claims sent."""

import dataclasses

from savoryhold.core.ids import NodeId, Version
from savoryhold.core.lease import DRIFT_MS, LEASE_MS

__all__ = ['Duty', 'StandbyDuties']


@dataclasses.dataclass(slots=True)
class Duty:
    """What a standby remembers of one holder."""

    promised_at: int
    claim_sent: Version = Version(0)


class StandbyDuties:
    """Promises and claims of one node, for all its holders.

    Parameters
    ----------
    started_at : int
        Time in ms from which this process can know of promises.
    """

    def __init__(self, started_at: int) -> None:
        self._started_at = started_at
        self._duties: dict[NodeId, Duty] = {}

    def may_promise(self, holder: NodeId, version: Version) -> bool:
        """Return whether no claim of this node can land at `version`."""
        duty = self._duties.get(holder)
        return duty is None or duty.claim_sent < version

    def promise(self, holder: NodeId, now: int) -> None:
        """Note a promise that is about to be sent."""
        self._duty(holder).promised_at = now

    def claim_due(self, holder: NodeId, observed_at: int) -> int:
        """Return from when a claim is allowed, in ms.

        Parameters
        ----------
        holder : NodeId
            Node whose record would be claimed.
        observed_at : int
            When this node first saw the record's present version.
        """
        duty = self._duties.get(holder)
        promised_at = duty.promised_at if duty else self._started_at
        return max(promised_at, observed_at) + LEASE_MS + DRIFT_MS

    def claim_sent(self, holder: NodeId, version: Version) -> None:
        """Note that a claim at `version` is about to be sent."""
        duty = self._duty(holder)
        duty.claim_sent = max(duty.claim_sent, version)

    def forget(self, holder: NodeId) -> None:
        """Drop what is known of a holder that no longer exists."""
        self._duties.pop(holder, None)

    def _duty(self, holder: NodeId) -> Duty:
        return self._duties.setdefault(holder, Duty(self._started_at))
