"""Route lookup by host and longest path prefix."""

import dataclasses
import enum

from savoryhold.core.ids import Region, ServiceName

__all__ = [
    'CallerLimits',
    'Feature',
    'MeshConfig',
    'Route',
    'RouteKind',
    'RouteTable',
    'ServiceInfo',
    'WeightedService',
]


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


_REPEATABLE = frozenset({RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD})


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
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceInfo, ...]
    limits: CallerLimits
    features: frozenset[Feature] = frozenset()


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
        self._hosts: dict[str, list[Route]] = {}
        self._credit: dict[tuple[str, ServiceName], float] = {}
        for route in cfg.routes:
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=_prefix_length, reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, if any."""
        name = host.lower().rsplit(':', 1)[0] if ':' in host else host.lower()
        for route in self._hosts.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def select_service(self, route: Route) -> ServiceName:
        """Select the service for the next request of a route.

        Notes
        -----
        Smooth weighted round robin, as in nginx: each service gains its
        weight as credit, the one with the most credit is selected and pays
        the sum of all weights.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        for part in route.parts:
            entry = (route.name, part.service)
            self._credit[entry] = self._credit.get(entry, 0.0) + part.weight
        best = max(route.parts, key=lambda each: self._credit_of(route, each))
        self._credit[(route.name, best.service)] -= total
        return best.service

    def _credit_of(self, route: Route, part: WeightedService) -> float:
        return self._credit[(route.name, part.service)]


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
