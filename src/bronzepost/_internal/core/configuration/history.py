"""Earlier values of settings, as far as the node retains them."""

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
    """Return the retained accepted changes of a path, newest first.

    A node that started from a snapshot has no earlier changes. An entry whose
    ``base_revision`` is -1 (``UNKNOWN_REVISION``) was loaded from a snapshot.
    """
    parse_path(path)
    return tuple(reversed(tables.history_by_path.get(path, ())))


def diff(
    tables: ConfigurationTables, before: int, after: int
) -> tuple[Difference, ...]:
    """Return the paths whose values differ, sorted by path.

    ``before`` and ``after`` are revisions of the tree: offsets of the last
    record applied to it. Raises ``RefusedError`` if a value is not retained or
    the node has not applied a revision yet.
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
    return tuple(
        difference
        for difference in differences
        if difference.before != difference.after
    )


def _value_at(
    tables: ConfigurationTables, path: str, revision: int
) -> SettingValue:
    entries = tables.history_by_path[path]
    applied = tuple(entry for entry in entries if entry.revision <= revision)
    later = entries[len(applied) :]
    if applied and applied[-1].revision == revision:
        return applied[-1].value
    # If an entry is not based on the one before it, changes between the two
    # are missing: the node loaded a tree instead of applying them.
    last_revision = applied[-1].revision if applied else 0
    if later and later[0].base_revision != last_revision:
        raise RefusedError(
            f'the value of {path} at revision {revision} is not retained:'
            f' the next is that of revision {later[0].revision}',
            code='revision_not_retained',
            status=HTTPStatus.NOT_FOUND,
            step='compare revisions',
            parameter='revision',
        )
    return applied[-1].value if applied else None


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
