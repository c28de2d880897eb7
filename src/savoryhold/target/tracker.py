"""What the daemon knows of the target beside it."""

from pydantic import BaseModel, ConfigDict, Field

from savoryhold.core.clock import Clock

__all__ = ['Announcement', 'TargetTracker']

SILENCE_MS = 3000
DEFAULT_CONNECTIONS = 110


class Announcement(BaseModel):
    """What a target says of itself each second."""

    model_config = ConfigDict(extra='ignore', frozen=True)

    service: str
    address: str
    slots: int = Field(gt=0)
    connections: int = Field(DEFAULT_CONNECTIONS, gt=0)
    checks_fence: bool = False
    state: str = Field('ready', pattern='^(ready|draining)$')


class TargetTracker:
    """Tells whether the target may be given work.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    A refused connection counts at once; the next announcement that comes
    after it brings the target back.
    """

    def __init__(self, clock: Clock) -> None:
        self.announced: Announcement | None = None
        self.incidents = 0
        self._clock = clock
        self._heard_at = 0
        self._gone = True

    def announce(self, announced: Announcement) -> bool:
        """Take in an announcement; return whether the target is new."""
        self.announced = announced
        self._heard_at = self._clock.now()
        was_gone = self._gone
        self._gone = False
        return was_gone

    def gone(self) -> bool:
        """Note that the target refused; return whether that is new."""
        if self._gone:
            return False
        self._gone = True
        self.incidents += 1
        return True

    @property
    def alive(self) -> bool:
        """Return whether the target has been heard of recently."""
        silent_ms = self._clock.now() - self._heard_at
        return not self._gone and silent_ms < SILENCE_MS

    @property
    def services(self) -> frozenset[str]:
        """Return the services that take new work here."""
        announced = self.announced
        if announced is None or not self.alive:
            return frozenset()
        if announced.state == 'draining':
            return frozenset()
        return frozenset({announced.service})
