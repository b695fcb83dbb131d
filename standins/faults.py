"""Fault switches that tests set by ``PUT /faults``."""

from collections.abc import Mapping
from typing import Any

import msgspec


class Switches(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """All switches; a stand-in ignores those that do not apply to it."""

    outage: bool = False
    lose_answers: int = 0
    slow_seconds: float = 0
    hang: bool = False
    lag_seconds: float = 0
    retention_records: int = 0
    leaving: bool = False
    ignore_fencing: bool = False
    event_gap_fraction: float = 0


def update_switches(switches: Switches, changes: Mapping[str, Any]) -> None:
    """Set the named switches and keep the others.

    Raise ``msgspec.ValidationError`` and change nothing if a name is unknown
    or a value has another type.
    """
    merged = msgspec.structs.asdict(switches) | dict(changes)
    validated = msgspec.convert(merged, Switches)
    for name, value in msgspec.structs.asdict(validated).items():
        setattr(switches, name, value)
