"""Entries of the settings tree in the answers of a node."""

import dataclasses
from collections.abc import Iterator
from typing import Any

COLUMNS = ('path', 'value', 'revision', 'author')
CONFIGURATION_PATH = '/v1/configuration'

_ENTRIES = 'entries'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """The value and the revision of one path."""

    path: str
    value: object
    revision: int


def list_entries(answer: Any) -> dict[str, Entry]:
    """Return the entries of an answer by path.

    The answer is a single entry, or an object with a list ``entries``.
    """
    return {entry.path: entry for entry in _read_entries(answer)}


def _read_entries(answer: Any) -> Iterator[Entry]:
    if not isinstance(answer, dict):
        return
    rows = answer.get(_ENTRIES, [answer])
    for row in rows if isinstance(rows, list) else ():
        if isinstance(row, dict) and isinstance(row.get('path'), str):
            yield Entry(
                path=row['path'],
                value=row.get('value'),
                revision=int(row.get('revision') or 0),
            )
