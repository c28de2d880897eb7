"""Route lookup by host and longest path prefix."""

import dataclasses
import enum
import math
import random
from operator import attrgetter

from savoryhold.core.ids import Region, ServiceName
from savoryhold.traffic.places import ANYWHERE, AllowedRegions

__all__ = [
    'CallerLimits',
    'Feature',
    'MeshConfig',
    'RefusedRoute',
    'Route',
    'RouteKind',
    'RouteTable',
    'ServiceInfo',
    'WeightedService',
]

GOLDEN_RATIO = (math.sqrt(5) - 1) / 2  # its multiples spread most evenly


class RouteKind(enum.Enum):
    """Kinds of routes, which differ in whether requests may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    DOWNLOAD = 'download'
    UPLOAD = 'upload'

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self in _REPEATABLE

    @property
    def large(self) -> bool:
        """Return whether bodies are large in one of the two directions."""
        return self in _LARGE


_REPEATABLE = frozenset({RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD})
_LARGE = frozenset({RouteKind.DOWNLOAD, RouteKind.UPLOAD})


class Feature(enum.Enum):
    """Optional behaviour that a configuration asks for."""

    COST_ROUTING = 'cost-routing'
    FAIR_ADMISSION = 'fair-admission'


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a weighted share of a route's requests."""

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Configuration of one route; times in ms, priority 0 is the most urgent.

    ``aim_ms`` is the latency target, ``timeout_ms`` the deadline.  ``parts``
    are the services that share the route's requests.  ``regions`` are the only
    regions whose targets may run them; if empty, all may.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: int
    aim_ms: int
    attempts: int
    priority: int
    parts: tuple[WeightedService, ...]
    regions: frozenset[Region] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedRoute:
    """An entry whose configuration is invalid; its requests are refused.

    Parameters
    ----------
    host : str
        Virtual host of the entry.
    prefix : str or None
        Path prefix, None if that is what cannot be read.
    field : str
        Field that is invalid.
    error : str
        What is wrong with it.
    position : int
        Number of valid routes listed before it: of equal prefixes, the first
        one counts.
    """

    host: str
    prefix: str | None
    field: str
    error: str
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceInfo:
    """The operators' configuration of a service.

    ``warmup_per_s`` is the rate of requests that a cold target bears; 0 if
    targets of the service are never cold.
    """

    name: ServiceName
    keyed: bool
    warmup_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of callers' requests: sizes in bytes, timeouts in ms."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_ms: int = 3000
    idle_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class MeshConfig:
    """One version of the operators' configuration.

    ``refused`` are the routes that it has disabled by invalid fields.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceInfo, ...]
    limits: CallerLimits
    features: frozenset[Feature] = frozenset()
    refused: tuple[RefusedRoute, ...] = ()


class RouteTable:
    """Finds the route of a request and selects its service.

    Parameters
    ----------
    cfg : MeshConfig
        The configuration in force.
    """

    def __init__(self, cfg: MeshConfig) -> None:
        self.cfg = cfg
        self.services = {service.name: service for service in cfg.services}
        self._hosts: dict[str, list[tuple[str, Route | RefusedRoute]]] = {}
        # By host and prefix, which place of a split the last request had.
        self._turns: dict[tuple[str, str], float] = {}
        self._allowed: dict[str, AllowedRegions] = {}
        self._key_regions: dict[ServiceName, AllowedRegions] = {}
        self._confined: dict[ServiceName, frozenset[Region]] = {}
        for entry in _in_listed_order(cfg):
            if entry.prefix is not None:
                entries = self._hosts.setdefault(entry.host.lower(), [])
                entries.append((entry.prefix, entry))
        for entries in self._hosts.values():
            entries.sort(key=_prefix_length, reverse=True)
        for route in cfg.routes:
            self._add_regions(route)

    def match(self, host: str, path: str) -> Route | RefusedRoute | None:
        """Return the entry with the longest prefix of a path, if any."""
        name = host.lower().rsplit(':', 1)[0] if ':' in host else host.lower()
        for prefix, entry in self._hosts.get(name, ()):
            if path.startswith(prefix):
                return entry
        return None

    def allowed_regions(self, route: str) -> AllowedRegions:
        """Return where requests of a route, by its name, may run.

        Notes
        -----
        Routes of several hosts may have one name.  Any of their lists then
        suffices; a relayed request carries the list of its own route besides.
        """
        return self._allowed.get(route, ANYWHERE)

    def key_regions(self, service: ServiceName) -> AllowedRegions:
        """Return where targets may own keys of a service.

        Notes
        -----
        These are the regions that all routes of the service allow, if all have
        lists; a route without one may use keys anywhere.
        """
        return self._key_regions.get(service, ANYWHERE)

    def confined_regions(self, service: ServiceName) -> frozenset[Region]:
        """Return the regions that some routes of a service are confined to."""
        return self._confined.get(service, frozenset())

    def select_service(self, route: Route) -> ServiceName:
        """Select the service for the next request of a route.

        Notes
        -----
        Steps of the golden ratio visit each part by its weight, also over few
        requests.  They begin at random, since each node begins anew with each
        version.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        entry = (route.host, route.prefix)
        turn = self._turns.get(entry)
        if turn is None:
            turn = random.random()
        turn, _ = math.modf(turn + GOLDEN_RATIO)
        self._turns[entry] = turn
        place = turn * sum(part.weight for part in route.parts)
        for part in route.parts:
            place -= part.weight
            if place < 0:
                return part.service
        # Only by rounding, or if all weights are 0.
        return max(route.parts, key=attrgetter('weight')).service

    def _add_regions(self, route: Route) -> None:
        allowed = AllowedRegions.from_list(route.regions)
        named = self._allowed.get(route.name, allowed)
        self._allowed[route.name] = named | allowed
        for part in route.parts:
            confined = self.confined_regions(part.service)
            self._confined[part.service] = confined | route.regions
            known = self._key_regions.get(part.service, allowed)
            open_to_all = known.is_anywhere or allowed.is_anywhere
            self._key_regions[part.service] = (
                ANYWHERE if open_to_all else known & allowed
            )


def _in_listed_order(cfg: MeshConfig) -> list[Route | RefusedRoute]:
    entries: list[Route | RefusedRoute] = list(cfg.routes)
    for refused in reversed(cfg.refused):
        entries.insert(refused.position, refused)
    return entries


def _prefix_length(entry: tuple[str, Route | RefusedRoute]) -> int:
    return len(entry[0])
