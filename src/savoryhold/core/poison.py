"""Quarantine of requests that crash every target that runs them."""

import dataclasses
from collections import OrderedDict
from collections.abc import Callable
from typing import NewType

import xxhash

__all__ = [
    'MAX_INCIDENTS',
    'QUARANTINE_MS',
    'Fingerprint',
    'PoisonGuard',
    'Strike',
    'fingerprint_of',
    'fingerprint_with_key',
]

Fingerprint = NewType('Fingerprint', int)

QUARANTINE_STRIKES = 2
QUARANTINE_MS = 600_000
MAX_FINGERPRINTS = 10_000
MAX_COMPLETIONS = 4096
MAX_INCIDENTS = 4  # of one fingerprint


def fingerprint_of(
    host: str,
    method: str,
    path: str,
    body: bytes,
    key: int = -1,
    caller: str = '',
) -> Fingerprint:
    """Return a hash of a request's content, which leaves out its id.

    Parameters
    ----------
    host : str
        Virtual host or service that the request is for.
    method, path : str
        Method and target.
    body : bytes
        Complete body.
    key : int
        Key, -1 if it has none.
    caller : str
        Service of the caller.
    """
    hasher = xxhash.xxh3_64()
    for part in (host, method, path, str(key), caller):
        hasher.update(part.encode())
        hasher.update(b'\0')
    hasher.update(body)
    return _digest(hasher)


def fingerprint_with_key(fingerprint: Fingerprint, key: int) -> Fingerprint:
    """Return the fingerprint of a request with one of several keys."""
    return _digest(xxhash.xxh3_64(b'%d %d' % (fingerprint, key)))


def _digest(hasher: xxhash.xxh3_64) -> Fingerprint:
    # Messages carry the fingerprint as a signed 64-bit integer.
    return Fingerprint(hasher.intdigest() >> 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Strike:
    """A target crashed while a request was running there.

    ``incident`` identifies the crash, so that it counts only once if it is
    reported twice.  ``ago_ms`` is how long before the report it happened.
    """

    fingerprint: Fingerprint
    incident: str
    ago_ms: int = 0


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Incidents with the times of their crashes."""

    incidents: dict[str, int]
    last_at: int


class PoisonGuard:
    """Counts strikes and quarantines requests that have too many.

    Notes
    -----
    A request that is sent often is running on most targets that are killed for
    another reason.  One that crashes its targets never completes, so that a
    completion after a crash clears the request.  One before it does not, as
    what the request refers to may have changed; it takes one more strike then.
    """

    def __init__(self) -> None:
        # Called if what `quarantined` returns may have changed.
        self.on_change: Callable[[], None] = lambda: None
        self._suspects: OrderedDict[Fingerprint, _Suspect] = OrderedDict()
        # When requests completed last, the latest ones at the end.
        self._completed: OrderedDict[Fingerprint, int] = OrderedDict()

    def strike(self, strike: Strike, now: int) -> bool:
        """Count a strike; return whether it is new."""
        if self.is_void(strike, now):
            return False
        fingerprint, crashed_at = strike.fingerprint, now - strike.ago_ms
        suspect = self._suspects.setdefault(
            fingerprint, _Suspect({}, crashed_at)
        )
        known = len(suspect.incidents)
        if strike.incident in suspect.incidents or known >= MAX_INCIDENTS:
            return False
        suspect.incidents[strike.incident] = crashed_at
        suspect.last_at = max(suspect.last_at, crashed_at)
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_FINGERPRINTS:
            self._suspects.popitem(last=False)
        if len(suspect.incidents) >= QUARANTINE_STRIKES:
            self.on_change()
        return True

    def is_void(self, strike: Strike, now: int) -> bool:
        """Return whether the request has completed since the crash."""
        completed_at = self._completed.get(strike.fingerprint)
        return completed_at is not None and completed_at > now - strike.ago_ms

    def record_completion(self, fingerprint: Fingerprint, now: int) -> bool:
        """Record that a target has completed a request just now.

        Returns
        -------
        bool
            Whether that clears strikes.
        """
        self._completed[fingerprint] = now
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > MAX_COMPLETIONS:
            self._completed.popitem(last=False)
        return self.clear_strikes(fingerprint)

    def clear_strikes(self, fingerprint: Fingerprint) -> bool:
        """Clear the strikes of a request; return whether there were any."""
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is not None and len(suspect.incidents) >= QUARANTINE_STRIKES:
            self.on_change()
        return suspect is not None

    def is_quarantined(self, fingerprint: Fingerprint, now: int) -> bool:
        """Return whether a request must not run now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.last_at >= QUARANTINE_MS:
            return False
        completed_at = self._completed.get(fingerprint, now - QUARANTINE_MS)
        has_completed = now - completed_at < QUARANTINE_MS
        return len(suspect.incidents) >= QUARANTINE_STRIKES + has_completed

    def quarantined(self, now: int) -> dict[Fingerprint, list[Strike]]:
        """Return the strikes of quarantined requests, the latest at the end.

        Notes
        -----
        Those that this node still runs, as it has completed them, are among
        them: other nodes may not have.
        """
        return {
            fingerprint: [
                Strike(fingerprint, incident, now - crashed_at)
                for incident, crashed_at in suspect.incidents.items()
            ]
            for fingerprint, suspect in self._suspects.items()
            if len(suspect.incidents) >= QUARANTINE_STRIKES
            and now - suspect.last_at < QUARANTINE_MS
        }
