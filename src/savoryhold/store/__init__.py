"""Client of the platform's object API."""

from savoryhold.store.client import (
    ObjectVersion,
    PlatformClient,
    Snapshot,
)

__all__ = ['ObjectVersion', 'PlatformClient', 'Snapshot']
