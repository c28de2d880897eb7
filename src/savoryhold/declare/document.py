"""The TOML document of services that ``savoryhold apply`` reads."""

import tomllib
from collections.abc import Iterable
from typing import Any

import tomli_w

from savoryhold.core.configuration import ServiceConfig, parse_service
from savoryhold.core.errors import ConfigurationError
from savoryhold.declare.builder import Service

__all__ = ['from_toml', 'to_toml']

FORMAT = 1


def to_toml(services: Iterable[Service]) -> str:
    """Return the TOML document of some services.

    Parameters
    ----------
    services : iterable of Service
        Services with distinct names.

    Returns
    -------
    str
        The document; the order of the services does not change its bytes.

    Raises
    ------
    ConfigurationError
        If two services have the same name.
    """
    tables: dict[str, Any] = {}
    for service in sorted(services, key=lambda item: item.name):
        if service.name in tables:
            raise ConfigurationError(
                f'services.{service.name}: declared more than once'
            )
        tables[service.name] = _table(service.config)
    return tomli_w.dumps({'format': FORMAT, 'services': tables})


def from_toml(text: str) -> list[ServiceConfig]:
    """Return the services of a TOML document, sorted by name.

    Raises
    ------
    ConfigurationError
        If the text is not TOML, or a field is unknown or invalid.
    """
    try:
        fields = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        raise ConfigurationError(f'not TOML: {exc}') from exc
    unknown = sorted(set(fields) - {'format', 'services'})
    if unknown:
        raise ConfigurationError(f'{unknown[0]}: unknown field')
    if fields.get('format') != FORMAT:
        raise ConfigurationError(f'format: expected {FORMAT}')
    services = fields.get('services')
    if not isinstance(services, dict) or not services:
        raise ConfigurationError('services: expected at least one table')
    return [
        parse_service(name, table) for name, table in sorted(services.items())
    ]


def _table(config: ServiceConfig) -> dict[str, Any]:
    fields = config.model_dump(mode='json', by_alias=True, exclude_none=True)
    fields.pop('name')
    return fields
