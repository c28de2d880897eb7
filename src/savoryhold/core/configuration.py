"""Configuration of services, as operators declare and nodes apply it."""

import enum
import hashlib
import json
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic import field_validator, model_validator

from savoryhold.core.errors import ConfigurationError
from savoryhold.core.paths import PathTemplate

__all__ = [
    'AcceptedConfig',
    'AdmissionPolicy',
    'AuditEntry',
    'KeyRule',
    'RouteRule',
    'ServiceClass',
    'ServiceConfig',
    'digest_of',
    'parse_accepted',
    'parse_service',
]

MAX_SHARDS = 65536
MAX_SLOTS = 1024
MAX_CONNECTIONS = 65536
MAX_TIMEOUT_MS = 600_000
MAX_BODY_BYTES = 16_777_216
DEFAULT_BODY_BYTES = 1_048_576
AUDIT_ENTRIES = 200
_NAME = '^[a-z][a-z0-9-]{0,62}$'


class ServiceClass(enum.Enum):
    """Class of a route by how long its requests run."""

    SHORT = 'short'
    LONG = 'long'
    LEARNED = 'learned'


class AdmissionPolicy(enum.Enum):
    """Order in which waiting requests are admitted.

    ``FIFO`` exists only as a baseline for measurements.
    """

    ADAPTIVE = 'adaptive'
    FIFO = 'fifo'


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class KeyRule(_Model):
    """Where a request carries its key: in its path or in a header."""

    path: str | None = None
    header: str | None = None

    @field_validator('path')
    @classmethod
    def _check_path(cls, text: str | None) -> str | None:
        if text is None:
            return None
        if 'key' not in PathTemplate(_check_template(text)).names:
            raise ValueError('does not contain {key}')
        return text

    @model_validator(mode='after')
    def _check_one(self) -> 'KeyRule':
        if (self.path is None) == (self.header is None):
            raise ValueError('needs exactly one of path and header')
        return self


class RouteRule(_Model):
    """Rule for the requests of one method and path template."""

    method: str = Field(pattern='^([A-Z]+|[*])$')
    path: str
    idempotent: bool = False
    service_class: ServiceClass = Field(ServiceClass.LEARNED, alias='class')
    timeout_ms: int | None = Field(None, gt=0, le=MAX_TIMEOUT_MS)

    @field_validator('path')
    @classmethod
    def _check_path(cls, text: str) -> str:
        return _check_template(text)


class ServiceConfig(_Model):
    """One service: its keys, its targets' limits and its routes."""

    name: str = Field(pattern=_NAME)
    keyed: bool
    shards: int = Field(64, gt=0, le=MAX_SHARDS)
    key: KeyRule | None = None
    slots: int = Field(6, gt=0, le=MAX_SLOTS)
    connections: int = Field(110, gt=0, le=MAX_CONNECTIONS)
    long_share: float = Field(0.34, gt=0, le=1)
    queue: int = Field(512, gt=0)
    timeout_ms: int = Field(2000, gt=0, le=MAX_TIMEOUT_MS)
    max_body_bytes: int = Field(DEFAULT_BODY_BYTES, gt=0, le=MAX_BODY_BYTES)
    policy: AdmissionPolicy = AdmissionPolicy.ADAPTIVE
    routes: tuple[RouteRule, ...] = ()

    @model_validator(mode='after')
    def _check_key(self) -> 'ServiceConfig':
        if self.keyed and self.key is None:
            raise ValueError('key is missing for a keyed service')
        if not self.keyed and self.key is not None:
            raise ValueError('key is given for a service without keys')
        return self


class AuditEntry(_Model):
    """One accepted change of a service's configuration."""

    revision: int
    parent: int
    author: str
    reason: str
    time: str
    digest: str
    change: str


class AcceptedConfig(_Model):
    """A service's accepted configuration, with its audit trail."""

    revision: int
    service: ServiceConfig
    audit: tuple[AuditEntry, ...]

    def encode(self) -> str:
        """Return stable JSON text."""
        return self.model_dump_json(by_alias=True)


def parse_service(name: str, fields: Any) -> ServiceConfig:
    """Return a validated service.

    Parameters
    ----------
    name : str
        Name of the service.
    fields : mapping
        Its fields, as read from TOML.

    Raises
    ------
    ConfigurationError
        If a field is unknown or invalid; the message names it.
    """
    if not isinstance(fields, dict):
        raise ConfigurationError(f'services.{name}: expected a table')
    try:
        return ServiceConfig.model_validate({'name': name, **fields})
    except ValidationError as exc:
        raise ConfigurationError(_explain(f'services.{name}', exc)) from exc


def parse_accepted(text: str) -> AcceptedConfig:
    """Return the configuration encoded in an object's JSON text.

    Raises
    ------
    ConfigurationError
        If the text is not a valid configuration object.
    """
    try:
        return AcceptedConfig.model_validate_json(text)
    except ValidationError as exc:
        raise ConfigurationError(_explain('config', exc)) from exc


def digest_of(service: ServiceConfig) -> str:
    """Return a short digest of a service's configuration."""
    fields = service.model_dump(mode='json', by_alias=True)
    text = json.dumps(fields, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def _check_template(text: str) -> str:
    try:
        PathTemplate(text)
    except ConfigurationError as exc:
        raise ValueError(str(exc)) from exc
    return text


def _explain(prefix: str, exc: ValidationError) -> str:
    lines = []
    for error in exc.errors():
        field = '.'.join([prefix, *(str(part) for part in error['loc'])])
        lines.append(f'{field}: {error["msg"]}')
    return '; '.join(lines)
