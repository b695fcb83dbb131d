"""Command line of the capacity measurements."""

import dataclasses
import sys
from collections.abc import Callable, Iterable
from importlib import import_module
from types import MappingProxyType
from typing import Annotated, Final

import cappa
import msgspec

from .rows import Row, format_row

# Module and function of each group of rows. A module is imported only when its
# group is measured.
MEASUREMENTS: Final = MappingProxyType({
    'idle': 'measure_idle:measure_idle_nodes',
    'bytes': 'measure_idle:measure_idle_bytes',
    'runners': 'measure_idle:measure_runners',
    'tick': 'measure_tick:measure_tick',
    'memory': 'measure_memory:measure_memory',
    'loading': 'measure_loading:measure_loading',
    'calls': 'measure_calls:measure_calls',
    'overhead': 'measure_overhead:measure_overhead',
    'decisions': 'measure_decisions:measure_choices',
    'appends': 'measure_appends:measure_appends',
    'configuration': 'measure_configuration:measure_changes',
    'takeover': 'measure_takeover:measure_takeover',
    'restart': 'measure_restart:measure_restart',
    'derived': 'derived:derive_rows',
    'gateway': 'measure_gateway:measure_idle_vms',
    'gateway-placement': 'measure_gateway_decisions:measure_placements',
    'gateway-relays': 'measure_relays:measure_choices',
    'gateway-tunnels': 'measure_relays:measure_tunnels',
    'gateway-routes': 'measure_gateway_decisions:measure_takeovers',
    'gateway-requests': 'measure_gateway:measure_requests',
})


@cappa.command(name='capacity')
@dataclasses.dataclass(frozen=True, kw_only=True)
class Capacity:
    """Measure costs by size and compare them with the bounds."""

    row: Annotated[
        str,
        cappa.Arg(long=True, help=f'One of: {", ".join(MEASUREMENTS)}.'),
    ] = ''
    as_json: Annotated[
        bool, cappa.Arg(long='--json', help='Print one JSON object per line.')
    ] = False


def find_measurement(name: str) -> Callable[[], Iterable[Row]]:
    """Return the function that measures a group of rows."""
    module, _, function = MEASUREMENTS[name].partition(':')
    measurement: Callable[[], Iterable[Row]] = getattr(
        import_module(f'capacity.{module}'), function
    )
    return measurement


def run_command_line(arguments: list[str]) -> int:
    """Run the selected measurements and return the exit code."""
    options = cappa.parse(Capacity, argv=arguments)
    if options.row and options.row not in MEASUREMENTS:
        known = ', '.join(MEASUREMENTS)
        sys.stderr.write(f'capacity: unknown row; choose from {known}\n')
        return 2
    for name in (options.row,) if options.row else MEASUREMENTS:
        for row in find_measurement(name)():
            write_row(name, row, as_json=options.as_json)
    return 0


def write_row(name: str, row: Row, *, as_json: bool) -> None:
    """Print a row at once, without waiting for the others."""
    command = f'./scripts/capacity --row {name}'
    row = dataclasses.replace(row, command=command)
    text = format_row(name, row)
    if as_json:
        text = msgspec.json.encode(row).decode()
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
