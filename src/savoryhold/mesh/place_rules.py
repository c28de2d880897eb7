"""Where requests may run and keys may be: allowed regions and evacuations."""

from collections.abc import Callable

from savoryhold.core.ids import Region, ServiceName, Zone
from savoryhold.mesh.places import Place
from savoryhold.mesh.requests import (
    RelayedRequest,
    TargetDownError,
    WrongPlaceError,
)
from savoryhold.traffic import ANYWHERE, AllowedRegions, RouteTable

__all__ = ['PlaceRules']

WRONG_PLACE_RETRY_MS = 100  # until the ingress knows what this node knows
NO_PLACE = Place(Zone(''), Region(''))


class PlaceRules:
    """Applies a node's configuration, and the evacuations that it knows of.

    Without a configuration, only the regions that a request carries count.

    Parameters
    ----------
    place : Place
        Zone and region of the local target.
    """

    def __init__(self, place: Place = NO_PLACE) -> None:
        self.routes: Callable[[], RouteTable | None] = lambda: None
        self.evacuated: frozenset[Zone] = frozenset()
        self.evacuated_at = 0
        # Whether the evacuations are known, as far as there may be any.
        self.is_settled = True
        self._place = place

    def allowed_regions(self, req: RelayedRequest) -> AllowedRegions:
        """Return where a request may run.

        Notes
        -----
        The list that the request carries is the one of the time at which it
        was read; the configuration in force may be another one by now.
        """
        carried = AllowedRegions.from_list(req.regions)
        table = self.routes()
        if table is None:
            return carried
        return carried & table.allowed_regions(req.route)

    def may_own(self, service: ServiceName, place: Place) -> bool:
        """Return whether targets of a place may own keys of a service."""
        table = self.routes()
        allowed = ANYWHERE if table is None else table.key_regions(service)
        return allowed.allows(place.region) and place.zone not in self.evacuated

    def check_local(self, req: RelayedRequest) -> None:
        """Refuse a request that the local target must not run.

        The node that chose this one may not know yet of a change.

        Raises
        ------
        WrongPlaceError
            If no target of this zone may run it.
        TargetDownError
            If this node cannot tell yet.
        """
        if not self.is_settled:
            raise TargetDownError(
                'evacuations are not known yet', WRONG_PLACE_RETRY_MS
            )
        if self._place.zone in self.evacuated:
            raise WrongPlaceError(
                f'zone {self._place.zone} is evacuated', WRONG_PLACE_RETRY_MS
            )
        allowed = self.allowed_regions(req)
        if not allowed.allows(self._place.region):
            raise WrongPlaceError(
                f'{req.route} may run in {allowed}, not in '
                f'{self._place.region}',
                WRONG_PLACE_RETRY_MS,
            )
