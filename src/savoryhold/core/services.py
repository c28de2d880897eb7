"""Services in force at this node, compiled for fast look-up."""

import dataclasses

from savoryhold.core.configuration import (
    AcceptedConfig,
    RouteRule,
    ServiceClass,
    ServiceConfig,
)
from savoryhold.core.errors import BadRequestError, UnknownServiceError
from savoryhold.core.ids import ServiceName, ShardKey
from savoryhold.core.paths import PathTemplate
from savoryhold.core.routing import shard_of

__all__ = ['CompiledService', 'ConfigTable', 'RoutePolicy']

SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})
ANY_METHOD = '*'


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePolicy:
    """Properties of a request that its route determines."""

    label: str
    idempotent: bool
    service_class: ServiceClass
    timeout_ms: int


class CompiledService:
    """A service's accepted configuration with its templates compiled.

    Parameters
    ----------
    accepted : AcceptedConfig
        The configuration in force.
    """

    def __init__(self, accepted: AcceptedConfig) -> None:
        self.accepted = accepted
        self.cfg: ServiceConfig = accepted.service
        self.name = ServiceName(self.cfg.name)
        self._routes = [
            (rule, PathTemplate(rule.path)) for rule in self.cfg.routes
        ]
        rule = self.cfg.key
        self._key_header = rule.header.lower() if rule and rule.header else ''
        self._key_path = PathTemplate(rule.path) if rule and rule.path else None

    def route_policy(self, method: str, path: str) -> RoutePolicy:
        """Return the policy for a request of a method and path."""
        for rule, template in self._routes:
            if rule.method not in {method, ANY_METHOD}:
                continue
            if template.match(path) is not None:
                return self._policy_of(rule)
        return RoutePolicy(
            f'{method} other',
            method in SAFE_METHODS,
            ServiceClass.LEARNED,
            self.cfg.timeout_ms,
        )

    def key_of(self, path: str, headers: dict[str, str]) -> str:
        """Return the key of a request; empty for a service without keys.

        Raises
        ------
        BadRequestError
            If the request has no key where the service's rule expects it.
        """
        if not self.cfg.keyed:
            return ''
        if self._key_path is not None:
            found = self._key_path.match(path)
            if found is None:
                raise BadRequestError(
                    f'path does not match {self._key_path.text!r}, which '
                    f'names the key of service {self.name!r}'
                )
            return found['key']
        key = headers.get(self._key_header, '')
        if not key:
            raise BadRequestError(
                f'header {self._key_header!r}, which names the key of '
                f'service {self.name!r}, is missing'
            )
        return key

    def shard_of(self, key: str) -> ShardKey | None:
        """Return the shard of a key, None for a service without keys."""
        if not self.cfg.keyed:
            return None
        return ShardKey(self.name, shard_of(key, self.cfg.shards))

    def _policy_of(self, rule: RouteRule) -> RoutePolicy:
        return RoutePolicy(
            f'{rule.method} {rule.path}',
            rule.idempotent,
            rule.service_class,
            rule.timeout_ms or self.cfg.timeout_ms,
        )


class ConfigTable:
    """All services in force at this node."""

    def __init__(self) -> None:
        self._services: dict[str, CompiledService] = {}

    def accept(self, accepted: AcceptedConfig) -> None:
        """Apply a configuration."""
        self._services[accepted.service.name] = CompiledService(accepted)

    def remove(self, service: str) -> None:
        """Remove a service."""
        self._services.pop(service, None)

    def get(self, service: str) -> CompiledService:
        """Return a service.

        Raises
        ------
        UnknownServiceError
            If it has no configuration in force.
        """
        found = self._services.get(service)
        if found is None:
            raise UnknownServiceError(f'service {service!r} is not configured')
        return found

    def find(self, service: str) -> CompiledService | None:
        """Return a service, None if it has no configuration in force."""
        return self._services.get(service)

    def all(self) -> list[CompiledService]:
        """Return all services in force, by name."""
        return [self._services[name] for name in sorted(self._services)]
