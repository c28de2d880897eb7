"""Differences between versions of a table that arrive before their base."""

from collections import OrderedDict

from savoryhold.core.ids import ServiceName, Version
from savoryhold.peer import messages

__all__ = ['EarlyDeltas']

MAX_KEPT = 64  # of all services; a whole table replaces what is dropped


class EarlyDeltas:
    """Differences whose base version is not known here yet.

    Successive versions are written by different nodes, whose messages may
    overtake one another.
    """

    def __init__(self) -> None:
        self._by_base: OrderedDict[
            tuple[ServiceName, Version], messages.Message
        ] = OrderedDict()

    def add(self, update: messages.Message) -> None:
        """Keep a difference until its base is known."""
        base = ServiceName(update.service_name), Version(update.base)
        self._by_base[base] = update
        while len(self._by_base) > MAX_KEPT:
            self._by_base.popitem(last=False)

    def take(
        self, service: ServiceName, version: Version
    ) -> messages.Message | None:
        """Remove and return the difference from a version, if there is one."""
        return self._by_base.pop((service, version), None)
