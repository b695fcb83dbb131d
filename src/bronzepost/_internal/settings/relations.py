"""Check the rules that hold between several values of a settings file.

These checks read the undecoded tables, because they also run on a file with
other problems, so that all problems are reported at once.
"""

import itertools
from collections.abc import Iterator, Mapping, Sequence

from bronzepost._internal.settings.lines import Path
from bronzepost._internal.settings.rules import is_address, is_loopback
from bronzepost._internal.settings.validation import Problem, format_value

ADDRESS_KEYS = (
    'caller_address',
    'operator_address',
    'peer_address',
    'forward_address',
)
_KEY_TABLES = ('peers', 'operators')


def check_relations(tables: Mapping[str, object]) -> Iterator[Problem]:
    """Yield the problems between values that are correct on their own."""
    yield from _check_keys(tables)
    yield from _check_duplicate_addresses(tables)
    yield from _check_distances(tables)


def _get_table(tables: Mapping[str, object], name: str) -> dict[str, object]:
    table = tables.get(name)
    return table if isinstance(table, dict) else {}


def _find_addresses(tables: Mapping[str, object]) -> dict[str, str]:
    node = _get_table(tables, 'node')
    addresses = {name: node.get(name) for name in ADDRESS_KEYS}
    return {
        name: address
        for name, address in addresses.items()
        if isinstance(address, str) and is_address(address)
    }


def _check_keys(tables: Mapping[str, object]) -> Iterator[Problem]:
    missing = [
        f'{name}.keys'
        for name in _KEY_TABLES
        if not _get_table(tables, name).get('keys')
    ]
    for name, address in _find_addresses(tables).items():
        if missing and not is_loopback(address):
            yield Problem(
                path=('node', name),
                shown=format_value(address),
                expected=(
                    'a loopback address, or at least one key in'
                    f' {" and in ".join(missing)}'
                ),
            )


def _check_duplicate_addresses(
    tables: Mapping[str, object],
) -> Iterator[Problem]:
    pairs = itertools.combinations(_find_addresses(tables).items(), 2)
    for (first, first_address), (second, second_address) in pairs:
        if first_address == second_address:
            yield Problem(
                path=('node', second),
                shown=format_value(second_address),
                expected=f'an address other than that of node.{first}',
            )


def _check_distances(tables: Mapping[str, object]) -> Iterator[Problem]:
    entries = tables.get('distances')
    indexes_by_pair: dict[frozenset[str], int] = {}
    for index, entry in enumerate(entries if isinstance(entries, list) else ()):
        pair = _parse_zone_pair(entry)
        first = indexes_by_pair.setdefault(pair, index)
        if pair and first != index:
            path: Path = ('distances', index, 'between')
            yield Problem(
                path=path,
                shown=format_value(entry['between']),
                expected=f'two zones that distances[{first}] does not name',
            )


def _parse_zone_pair(entry: object) -> frozenset[str]:
    zones = entry.get('between') if isinstance(entry, dict) else None
    if not isinstance(zones, Sequence):
        return frozenset()
    return frozenset(zone for zone in zones if isinstance(zone, str))
