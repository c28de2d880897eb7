"""Settings of a mesh node, read from a TOML file into typed fields."""

import dataclasses
import pathlib
import tomllib
from collections.abc import Callable
from typing import Any

from savoryhold.core.errors import ConfigurationError
from savoryhold.core.ids import NodeId, Region, ServiceName, Zone
from savoryhold.wire import IntakeLimits

__all__ = ['MeshSettings', 'load_mesh_settings', 'parse_mesh_settings']

MIN_PORT = 1
MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True, slots=True)
class MeshSettings:
    """Settings of one node; addresses are ``host:port``, times in ms.

    Parameters
    ----------
    node : NodeId
        Name of the host, which stays the same over restarts.
    zone, region : Zone, Region
        Availability zone and region of the host.
    service : ServiceName
        Service of the local target.
    callers, reports, ready, peers, metrics : str
        Addresses to listen on; `metrics` may be empty.
    advertised : str
        Address at which other nodes reach this one; `peers` by default.
    store : str
        Address of the platform's object API.
    report_ms : int
        Interval of the target's reports.
    drain_ms : int
        Time for which a leaving target still accepts requests.
    grace_ms : int
        Time from SIGTERM until the process is killed.
    hold_max_ms : int
        Longest time for which a target may hold keys without renewal.
    retry_ratio : float
        Retries allowed per request, over all nodes.
    retry_slack : float
        Further retries allowed per window, over all nodes.
    retry_window_ms : int
        Length of the sliding window.
    target : str
        Address of the local target; if empty, the one that it reports.
    memory_mb : int
        Memory of the process in MB, 0 if unknown (256 is then assumed).
    max_fds : int
        Descriptors that the process may open, 0 if unknown.
    link_mbps : float
        Rate of the host's link in Mbit/s, 0 if unknown.
    evacuate_ms : int
        Time within which an evacuation takes effect; 0 if there are none.
    warmup_over, warmup_slack : float
        A cold target gets at most its ``warmup_per_s`` times the first, plus
        the second, in any second.
    terms : tuple of str
        Names of the platform's terms of service that are in force.
    intake : IntakeLimits
        Limits on callers; each of its fields is a setting.
    """

    node: NodeId
    zone: Zone
    region: Region
    service: ServiceName
    callers: str
    reports: str
    ready: str
    peers: str
    metrics: str
    advertised: str
    store: str
    report_ms: int
    drain_ms: int
    grace_ms: int
    hold_max_ms: int
    retry_ratio: float
    retry_slack: float
    retry_window_ms: int
    target: str = ''
    memory_mb: int = 0
    max_fds: int = 0
    link_mbps: float = 0.0
    evacuate_ms: int = 0
    warmup_over: float = 1.0
    warmup_slack: float = 0.0
    terms: tuple[str, ...] = ()
    intake: IntakeLimits = IntakeLimits()


def _text(field: str, given: Any) -> str:
    if not isinstance(given, str) or not given:
        raise ConfigurationError(f'{field}: expected text, got {given!r}')
    return given


def _address(field: str, given: Any) -> str:
    host, _, port = _text(field, given).rpartition(':')
    if not host or not port.isdigit():
        raise ConfigurationError(
            f'{field}: expected "host:port", got {given!r}'
        )
    if not MIN_PORT <= int(port) <= MAX_PORT:
        raise ConfigurationError(
            f'{field}: port {port} is not between {MIN_PORT} and {MAX_PORT}'
        )
    return str(given)


def _address_or_none(field: str, given: Any) -> str:
    return '' if given == '' else _address(field, given)


def _number(field: str, given: Any) -> float:
    if isinstance(given, bool) or not isinstance(given, (int, float)):
        raise ConfigurationError(f'{field}: expected a number, got {given!r}')
    if given < 0:
        raise ConfigurationError(f'{field}: {given} is below 0')
    return float(given)


def _millis(field: str, given: Any) -> int:
    found = round(_number(field, given))
    if not found:
        raise ConfigurationError(f'{field}: expected ms above 0')
    return found


def _count(field: str, given: Any) -> int:
    return round(_number(field, given))


def _texts(field: str, given: Any) -> tuple[str, ...]:
    if not isinstance(given, list):
        raise ConfigurationError(f'{field}: expected a list, got {given!r}')
    return tuple(_text(field, entry) for entry in given)


_READERS: dict[str, Callable[[str, Any], Any]] = {
    'node': _text,
    'zone': _text,
    'region': _text,
    'service': _text,
    'callers': _address,
    'reports': _address,
    'ready': _address,
    'peers': _address,
    'metrics': _address_or_none,
    'advertised': _address,
    'store': _address,
    'report_ms': _millis,
    'drain_ms': _millis,
    'grace_ms': _millis,
    'hold_max_ms': _millis,
    'retry_ratio': _number,
    'retry_slack': _number,
    'retry_window_ms': _millis,
    'target': _address_or_none,
}
# These have defaults.
_OPTIONAL_READERS: dict[str, Callable[[str, Any], Any]] = {
    'memory_mb': _count,
    'max_fds': _count,
    'link_mbps': _number,
    'evacuate_ms': _count,
    'warmup_over': _number,
    'warmup_slack': _number,
    'terms': _texts,
}


def parse_mesh_settings(text: str) -> MeshSettings:
    """Parse settings; unknown fields are ignored.

    Raises
    ------
    ConfigurationError
        If the text is not TOML or a field is missing or wrong.

    Examples
    --------
    >>> parse_mesh_settings('node = 3')
    Traceback (most recent call last):
    savoryhold.core.errors.ConfigurationError: node: expected text, got 3
    """
    try:
        given = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        raise ConfigurationError(f'settings are not TOML: {exc}') from exc
    given.setdefault('advertised', given.get('peers'))
    given.setdefault('target', '')
    found = {}
    for field, read in _READERS.items():
        if field not in given:
            raise ConfigurationError(f'{field}: is missing')
        found[field] = read(field, given[field])
    for field, read in _OPTIONAL_READERS.items():
        entry = given.get(field)
        if entry is not None:
            found[field] = read(field, entry)
    found['intake'] = _intake_limits(given, found.get('max_fds', 0))
    return MeshSettings(**found)


def _intake_limits(given: dict[str, Any], max_fds: int) -> IntakeLimits:
    names = [field.name for field in dataclasses.fields(IntakeLimits)]
    stated = {
        name: _count(name, given[name]) for name in names if name in given
    }
    for name, count in stated.items():
        if not count:
            raise ConfigurationError(f'{name}: expected a number above 0')
    return IntakeLimits(**stated).with_fds(max_fds)


def load_mesh_settings(path: pathlib.Path) -> MeshSettings:
    """Read a settings file.

    Raises
    ------
    ConfigurationError
        If the file cannot be read, or as for `parse_mesh_settings`.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigurationError(f'{path}: {exc}') from exc
    return parse_mesh_settings(text)
