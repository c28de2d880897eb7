"""Schema of the daemon's settings, with defaults and validation."""

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
    """Name and location of the host."""

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
    """Connection to the platform's object API."""

    url: str = Field(
        pattern='^https?://', description='base URL of the object API'
    )


class PeerSettings(_Section):
    """Links between daemons."""

    secret: str = Field(
        min_length=MIN_SECRET, description='secret shared by all daemons'
    )
    seeds: tuple[str, ...] = Field(
        (),
        description='addresses of daemons to contact while the store is down',
    )

    @field_validator('seeds')
    @classmethod
    def _check(cls, seeds: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(check_address(seed) for seed in seeds)


class LimitSettings(_Section):
    """Limits that the operator may set."""

    leave_ms: int = Field(
        30_000, gt=0, description='maximum wait of a graceful shutdown'
    )
    hold_ms: int = Field(
        30_000,
        gt=0,
        description='how long a shard waits for an unanswered request that '
        'is not idempotent',
    )
    ledger_count: int = Field(
        200_000,
        gt=0,
        description='maximum number of request ids that an owner keeps',
    )
    ledger_age_ms: int = Field(
        600_000, gt=0, description='how long an owner keeps a request id'
    )
    parked: int = Field(
        2000,
        gt=0,
        description='maximum number of requests that wait for an owner',
    )
    balance_ms: int = Field(
        1000, gt=0, description='interval between checks of the load balance'
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
    """Validate and return an ``ip:port`` address.

    Raises
    ------
    ValueError
        If the text has no port, or the port is out of range.
    """
    host, colon, port = address.rpartition(':')
    if not host or not colon or not port.isdigit():
        raise ValueError(f'{address!r} is not ip:port')
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'{address!r}: port is not in 1..{MAX_PORT}')
    return address
