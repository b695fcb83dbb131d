"""Settings of a process: classes, loading from TOML and validation."""

from bronzepost._internal.settings.classes import (
    Distance,
    LimitSettings,
    NodeSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    TelemetrySettings,
)
from bronzepost._internal.settings.loading import load_settings, parse_settings

__all__ = (
    'Distance',
    'LimitSettings',
    'NodeSettings',
    'OperatorSettings',
    'PeerSettings',
    'PlatformSettings',
    'Settings',
    'TelemetrySettings',
    'load_settings',
    'parse_settings',
)
