"""Requests that crash each target which runs them."""

import dataclasses
from typing import NewType

import xxhash

__all__ = ['Fingerprint', 'PoisonGuard', 'Strike', 'fingerprint_of']

Fingerprint = NewType('Fingerprint', int)

STRIKES = 2
QUARANTINE_MS = 600_000
MAX_FINGERPRINTS = 10_000


def fingerprint_of(
    service: str, method: str, path: str, body: bytes, key: int = -1
) -> Fingerprint:
    """Return a hash of what a request asks for, without its id."""
    hasher = xxhash.xxh3_64()
    for part in (service, method, path, str(key)):
        hasher.update(part.encode())
        hasher.update(b'\0')
    hasher.update(body)
    # Kept in the range of a signed 64-bit integer, as messages need it.
    return Fingerprint(hasher.intdigest() >> 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Strike:
    """A target crashed while a request was running there.

    ``incident`` names the crash, so that news of one crash that arrives
    twice counts once.
    """

    fingerprint: Fingerprint
    incident: str


@dataclasses.dataclass(slots=True)
class _Suspect:
    incidents: set[str]
    last_at: int


class PoisonGuard:
    """Counts strikes and quarantines requests that have too many."""

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, _Suspect] = {}

    def strike(self, strike: Strike, now: int) -> bool:
        """Count a strike; return whether it was not known before."""
        self._expire(now)
        suspect = self._suspects.setdefault(
            strike.fingerprint, _Suspect(set(), now)
        )
        if strike.incident in suspect.incidents:
            return False
        suspect.incidents.add(strike.incident)
        suspect.last_at = now
        return True

    def clear_strikes(self, fingerprint: Fingerprint) -> bool:
        """Forget the strikes of a request that a target has run to its end.

        Returns
        -------
        bool
            Whether there were any.

        Notes
        -----
        What runs often is at most targets that are killed for another
        reason; what crashes its targets never ends there.
        """
        return self._suspects.pop(fingerprint, None) is not None

    def is_quarantined(self, fingerprint: Fingerprint, now: int) -> bool:
        """Return whether a request must not run now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or len(suspect.incidents) < STRIKES:
            return False
        return now - suspect.last_at < QUARANTINE_MS

    def _expire(self, now: int) -> None:
        if len(self._suspects) < MAX_FINGERPRINTS:
            return
        self._suspects = {
            fingerprint: suspect
            for fingerprint, suspect in self._suspects.items()
            if now - suspect.last_at < QUARANTINE_MS
        }
