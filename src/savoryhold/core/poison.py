"""Quarantine of requests that crash every target that runs them."""

import dataclasses
from typing import NewType

import xxhash

__all__ = ['Fingerprint', 'PoisonGuard', 'Strike', 'fingerprint_of']

Fingerprint = NewType('Fingerprint', int)

QUARANTINE_STRIKES = 2
QUARANTINE_MS = 600_000
MAX_FINGERPRINTS = 10_000


def fingerprint_of(
    service: str, method: str, path: str, body: bytes, key: int = -1
) -> Fingerprint:
    """Return a hash of a request's content, which leaves out its id."""
    hasher = xxhash.xxh3_64()
    for part in (service, method, path, str(key)):
        hasher.update(part.encode())
        hasher.update(b'\0')
    hasher.update(body)
    # Messages carry the fingerprint as a signed 64-bit integer.
    return Fingerprint(hasher.intdigest() >> 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Strike:
    """A target crashed while a request was running there.

    ``incident`` identifies the crash, so that it counts only once if it is
    reported twice.
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
        """Count a strike; return whether it is new."""
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
        """Clear the strikes of a request that a target has completed.

        Returns
        -------
        bool
            Whether there were any.

        Notes
        -----
        A request that is sent often is running on most targets that are
        killed for another reason.  One that crashes its targets never
        completes.
        """
        return self._suspects.pop(fingerprint, None) is not None

    def is_quarantined(self, fingerprint: Fingerprint, now: int) -> bool:
        """Return whether a request must not run now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or len(suspect.incidents) < QUARANTINE_STRIKES:
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
