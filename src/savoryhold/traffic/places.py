"""Regions in which the requests of a route may run."""

import dataclasses
from collections.abc import Collection, Iterable

from savoryhold.core.ids import Region

__all__ = ['ANYWHERE', 'AllowedRegions']


@dataclasses.dataclass(frozen=True, slots=True)
class AllowedRegions:
    """The regions whose targets may run a request.

    ``regions`` is None if all may.  An empty set allows none, which is how
    lists without a common region combine.

    Examples
    --------
    >>> north = AllowedRegions.from_list([Region('north')])
    >>> south = AllowedRegions.from_list([Region('south')])
    >>> north.allows(Region('south')), ANYWHERE.allows(Region('south'))
    (False, True)
    >>> (north & ANYWHERE) == north, (north & south).is_nowhere
    (True, True)
    """

    regions: frozenset[Region] | None = None

    @classmethod
    def from_list(cls, regions: Collection[Region]) -> 'AllowedRegions':
        """Return what a configured list allows; an empty one is no limit."""
        return cls(frozenset(regions)) if regions else ANYWHERE

    @classmethod
    def in_all(cls, parts: Iterable['AllowedRegions']) -> 'AllowedRegions':
        """Return the regions that all parts allow; anywhere without parts."""
        found = ANYWHERE
        for part in parts:
            found &= part
        return found

    @property
    def is_nowhere(self) -> bool:
        """Return whether no region is allowed."""
        return self.regions is not None and not self.regions

    @property
    def is_anywhere(self) -> bool:
        """Return whether all regions are allowed."""
        return self.regions is None

    def allows(self, region: Region) -> bool:
        """Return whether targets of a region may run the request."""
        return self.regions is None or region in self.regions

    def __and__(self, other: 'AllowedRegions') -> 'AllowedRegions':
        """Return the regions that both allow."""
        if self.regions is None:
            return other
        if other.regions is None:
            return self
        return AllowedRegions(self.regions & other.regions)

    def __or__(self, other: 'AllowedRegions') -> 'AllowedRegions':
        """Return the regions that at least one allows."""
        if self.regions is None or other.regions is None:
            return ANYWHERE
        return AllowedRegions(self.regions | other.regions)

    def __str__(self) -> str:
        """Return the names of the regions for logs and errors."""
        if self.regions is None:
            return 'anywhere'
        return ', '.join(sorted(self.regions)) or 'nowhere'


ANYWHERE = AllowedRegions()
