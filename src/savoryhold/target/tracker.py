"""Liveness and announced properties of the target on the daemon's host."""

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from savoryhold.core.clock import Clock
from savoryhold.core.decoding import host_port, plain_text

__all__ = ['Announcement', 'TargetTracker']

SILENCE_MS = 3000
DEFAULT_CONNECTIONS = 110


class Announcement(BaseModel):
    """A target's heartbeat to its daemon, sent each second."""

    model_config = ConfigDict(extra='ignore', frozen=True)

    service: Annotated[str, AfterValidator(plain_text)]
    address: Annotated[str, AfterValidator(host_port)]
    slots: int = Field(gt=0)
    connections: int = Field(DEFAULT_CONNECTIONS, gt=0)
    checks_fence: bool = False
    state: str = Field('ready', pattern='^(ready|draining)$')


class TargetTracker:
    """Tracks whether the target is alive and takes new work.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    A refused connection marks the target as gone at once; the next
    announcement marks it as alive again.
    """

    def __init__(self, clock: Clock) -> None:
        self.announced: Announcement | None = None
        self.incidents = 0
        self._clock = clock
        self._announced_at = 0
        self._is_gone = True

    def announce(self, announced: Announcement) -> bool:
        """Record an announcement; return whether the target was gone."""
        self.announced = announced
        self._announced_at = self._clock.now()
        was_gone = self._is_gone
        self._is_gone = False
        return was_gone

    def mark_gone(self) -> bool:
        """Mark the target as gone; return whether it was not already."""
        if self._is_gone:
            return False
        self._is_gone = True
        self.incidents += 1
        return True

    @property
    def alive(self) -> bool:
        """Return whether the target has announced itself recently."""
        silent_ms = self._clock.now() - self._announced_at
        return not self._is_gone and silent_ms < SILENCE_MS

    @property
    def services(self) -> frozenset[str]:
        """Return the services for which this target takes new work."""
        announced = self.announced
        if announced is None or not self.alive:
            return frozenset()
        if announced.state == 'draining':
            return frozenset()
        return frozenset({announced.service})
