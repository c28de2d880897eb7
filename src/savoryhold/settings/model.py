"""The daemon's settings: each with default, description and bounds."""

from pydantic import BaseModel, ConfigDict, Field, field_validator

__all__ = [
    'LimitSettings',
    'ListenSettings',
    'NodeSettings',
    'PeerSettings',
    'PlatformSettings',
    'Settings',
]

_NAME = '^[a-z0-9][a-z0-9-]{0,62}$'
MAX_PORT = 65535
MIN_SECRET = 16
MIN_TOKEN = 8


class _Section(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class NodeSettings(_Section):
    """Who and where this process is."""

    host: str = Field(pattern=_NAME, description='name of this host')
    region: str = Field(pattern=_NAME, description='region of this host')
    zone: str = Field(pattern=_NAME, description='availability zone')


class ListenSettings(_Section):
    """Addresses that the daemon listens on, as ``ip:port``."""

    callers: str = Field(description='HTTP for callers')
    peers: str = Field(description='links from other daemons')
    admin: str = Field(description='HTTP for operators and the target')

    @field_validator('callers', 'peers', 'admin')
    @classmethod
    def _check(cls, address: str) -> str:
        return check_address(address)


class PlatformSettings(_Section):
    """The platform's object API."""

    url: str = Field(
        pattern='^https?://', description='base URL of the object API'
    )


class PeerSettings(_Section):
    """Other daemons."""

    secret: str = Field(
        min_length=MIN_SECRET, description='secret shared by all daemons'
    )
    seeds: tuple[str, ...] = Field(
        (), description='addresses to ask while the store is down'
    )

    @field_validator('seeds')
    @classmethod
    def _check(cls, seeds: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(check_address(seed) for seed in seeds)


class LimitSettings(_Section):
    """Bounds that the operator chooses."""

    leave_ms: int = Field(
        30_000, gt=0, description='longest wait of a graceful shutdown'
    )
    hold_ms: int = Field(
        30_000,
        gt=0,
        description='how long a shard waits for an unanswered request that '
        'is not idempotent',
    )
    ledger_count: int = Field(
        200_000, gt=0, description='request ids kept by an owner'
    )
    ledger_age_ms: int = Field(
        600_000, gt=0, description='how long a request id is kept'
    )
    parked: int = Field(
        2000, gt=0, description='requests that may wait for an owner'
    )
    balance_ms: int = Field(
        1000, gt=0, description='pause between two looks at the balance'
    )


class Settings(_Section):
    """All settings of one daemon."""

    node: NodeSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings
    limits: LimitSettings = LimitSettings()  # type: ignore[call-arg]
    admin_token: str = Field(
        '', description='bearer token of /admin; empty allows loopback only'
    )

    @field_validator('admin_token')
    @classmethod
    def _check(cls, token: str) -> str:
        if token and len(token) < MIN_TOKEN:
            raise ValueError(f'has fewer than {MIN_TOKEN} characters')
        return token


def check_address(address: str) -> str:
    """Return an ``ip:port`` address.

    Raises
    ------
    ValueError
        If the text has no port, or the port is not in range.
    """
    host, colon, port = address.rpartition(':')
    if not host or not colon or not port.isdigit():
        raise ValueError(f'{address!r} is not ip:port')
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'{address!r}: port is not in 1..{MAX_PORT}')
    return address
