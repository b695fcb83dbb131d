"""Earlier values, as far as they are retained."""

import dataclasses
from http import HTTPStatus

from bronzepost._internal.exceptions import RefusedError

from .entities import ConfigurationEntry, ConfigurationTables
from .paths import parse_path
from .schema import SettingValue


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """A path whose value differs between two revisions."""

    path: str
    before: SettingValue
    after: SettingValue


def history(
    tables: ConfigurationTables, path: str
) -> tuple[ConfigurationEntry, ...]:
    """Return the accepted changes of a path that are retained, newest first.

    A node that started from a snapshot knows none before it. An entry whose
    ``base_revision`` is -1 came from a snapshot.
    """
    parse_path(path)
    return tuple(reversed(tables.history_by_path.get(path, ())))


def diff(
    tables: ConfigurationTables, before: int, after: int
) -> tuple[Difference, ...]:
    """Return the paths whose values differ, ordered by path.

    ``before`` and ``after`` are revisions: the tree after the record at that
    offset. Raises ``RefusedError`` if a value is no longer retained or a
    revision is not applied yet.
    """
    for revision in (before, after):
        _check_applied(tables, revision)
    differences = (
        Difference(
            path=path,
            before=_value_at(tables, path, before),
            after=_value_at(tables, path, after),
        )
        for path in sorted(tables.history_by_path)
    )
    return tuple(it for it in differences if it.before != it.after)


def _value_at(
    tables: ConfigurationTables, path: str, revision: int
) -> SettingValue:
    entries = tables.history_by_path[path]
    past = tuple(entry for entry in entries if entry.revision <= revision)
    later = entries[len(past) :]
    if past and past[-1].revision == revision:
        return past[-1].value
    # Changes between two entries are missing if the second is not based on
    # the first, which happens when a tree was loaded.
    last_revision = past[-1].revision if past else 0
    if later and later[0].base_revision != last_revision:
        raise RefusedError(
            f'the value of {path} at revision {revision} is not retained:'
            f' the next is that of revision {later[0].revision}',
            code='revision_not_retained',
            status=HTTPStatus.NOT_FOUND,
            step='compare revisions',
            parameter='revision',
        )
    return past[-1].value if past else None


def _check_applied(tables: ConfigurationTables, revision: int) -> None:
    if 0 <= revision < max(tables.next_offset, 1):
        return
    raise RefusedError(
        f'no revision {revision}: the last is {tables.next_offset - 1}',
        code='unknown_revision',
        status=HTTPStatus.NOT_FOUND,
        step='compare revisions',
        parameter='revision',
    )
