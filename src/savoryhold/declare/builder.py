"""Builders of services, which validate their arguments immediately."""

import dataclasses
from typing import Any, Literal

from savoryhold.core.configuration import (
    KeyRule,
    ServiceConfig,
    parse_service,
)

__all__ = [
    'Service',
    'key_in_header',
    'key_in_path',
    'keyed_service',
    'unkeyed_service',
]

Runs = Literal['short', 'long', 'learned']
Fields = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A declared service; immutable, methods return changed copies."""

    config: ServiceConfig

    @property
    def name(self) -> str:
        """Return the service's name."""
        return self.config.name

    def route(
        self,
        method: str,
        path: str,
        *,
        idempotent: bool,
        runs: Runs = 'learned',
        timeout_ms: int | None = None,
    ) -> 'Service':
        """Return a copy of the service with one more route.

        Parameters
        ----------
        method : str
            HTTP method, or ``*`` for any.
        path : str
            Path template, such as ``/patients/{key}/slots``.
        idempotent : bool
            Whether the request may run more than once.
        runs : {'short', 'long', 'learned'}
            How long its requests occupy a slot; measured if ``'learned'``.
        timeout_ms : int, optional
            Deadline of its requests; defaults to the service's.

        Raises
        ------
        ConfigurationError
            If an argument is invalid; the text names the field.
        """
        added: Fields = {
            'method': method,
            'path': path,
            'idempotent': idempotent,
            'class': runs,
            'timeout_ms': timeout_ms,
        }
        fields = self.config.model_dump(mode='json', by_alias=True)
        name = fields.pop('name')
        fields['routes'].append(added)
        return Service(parse_service(name, fields))


def key_in_path(template: str) -> KeyRule:
    """Return a rule that takes the key from ``{key}`` in a path template."""
    return KeyRule.model_construct(path=template, header=None)


def key_in_header(name: str) -> KeyRule:
    """Return a rule that takes the key from a header."""
    return KeyRule.model_construct(path=None, header=name)


def keyed_service(
    name: str, *, key: KeyRule, shards: int = 64, **limits: Any
) -> Service:
    """Declare a service whose targets own keys.

    Parameters
    ----------
    name : str
        Lower-case name, the first segment of the paths that callers use.
    key : KeyRule
        Where a request contains its key.
    shards : int
        Number of shards; immutable once the service is in use.
    **limits
        ``slots``, ``connections``, ``long_share``, ``queue``,
        ``timeout_ms`` and ``max_body_bytes``.

    Raises
    ------
    ConfigurationError
        If an argument is invalid; the text names the field.
    """
    fields: Fields = {
        'keyed': True,
        'shards': shards,
        'key': key.model_dump(),
        **limits,
    }
    return Service(parse_service(name, fields))


def unkeyed_service(name: str, **limits: Any) -> Service:
    """Declare a service that any of its targets may serve.

    Parameters
    ----------
    name : str
        Lower-case name, the first segment of the paths that callers use.
    **limits
        As for `keyed_service`.

    Raises
    ------
    ConfigurationError
        If an argument is invalid; the text names the field.
    """
    return Service(parse_service(name, {'keyed': False, **limits}))
