"""Settings of the daemon, read from TOML and validated."""

from savoryhold.settings.model import (
    LimitSettings,
    ListenSettings,
    NodeSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
)
from savoryhold.settings.reader import load_settings

__all__ = [
    'LimitSettings',
    'ListenSettings',
    'NodeSettings',
    'PeerSettings',
    'PlatformSettings',
    'Settings',
    'load_settings',
]
