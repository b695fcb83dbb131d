"""Values of the settings tree that nobody has set."""

from types import MappingProxyType
from typing import Any, Final

DEFAULTS: Final = MappingProxyType({
    'budget': 1_000_000,
    'importance': 1,
    'turn_limit': 400,
    'deadline_seconds': 300.0,
    'slots': 0,
    'cache_weight': 0.5,
    'policy': 'program_aware',
    'call_price': 0,
    'non_idempotent': False,
    'bytes_per_token': 1.0,
})


def look_up_default(
    organisation: str, service: str, program: str, name: str
) -> Any:
    """Return the default of a setting, whoever asks."""
    return DEFAULTS[name]
