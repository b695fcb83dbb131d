"""Check the values of a settings file and name every problem in it."""

import dataclasses
import difflib
import json
from collections.abc import Iterator, Mapping, Sequence
from typing import Annotated, Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from bronzepost._internal.settings.lines import Path
from bronzepost._internal.settings.rules import Rule

HIDDEN = '(hidden)'
_TABLE_EXPECTED = 'a table'
_LIST_EXPECTED = 'a list'
_ABSENT = object()

_Note = TypeVar('_Note')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """One problem of a settings file; ``shown`` is the value as text."""

    path: Path
    shown: str
    expected: str


def write_path(path: Path) -> str:
    """Return a path as operators read it, such as ``distances[0].between``."""
    parts = [
        f'[{part}]' if isinstance(part, int) else f'.{part}' for part in path
    ]
    return ''.join(parts).removeprefix('.')


def write_value(value: object) -> str:
    """Return a value as it may stand in a TOML file."""
    try:
        return json.dumps(value, ensure_ascii=False)
    except TypeError:
        return str(value)


def list_fields(owner: type) -> dict[str, Any]:
    """Return the annotated type of each field of a settings class."""
    return get_type_hints(owner, include_extras=True)


def find_note(hint: Any, kind: type[_Note]) -> _Note | None:
    """Return the note of a kind that an annotated type carries."""
    for note in getattr(hint, '__metadata__', ()):
        if isinstance(note, kind):
            return note
    return None


def find_rule(hint: Any) -> Rule | None:
    """Return the rule of an annotated type."""
    return find_note(hint, Rule)


def list_expectation(hint: Any) -> str:
    """Return what is expected of a value, or of each part of a list."""
    rule = find_rule(hint)
    if rule:
        return rule.expected
    element = list_element_type(strip_notes(hint))
    return f'a list, each {list_expectation(element)}' if element else ''


def strip_notes(hint: Any) -> Any:
    """Return the plain type of an annotated one."""
    if get_origin(hint) is Annotated:
        return get_args(hint)[0]
    return hint


def list_element_type(hint: Any) -> Any | None:
    """Return the type of the elements of ``tuple[X, ...]``."""
    arguments = get_args(hint)
    if get_origin(hint) is tuple and arguments[-1] is Ellipsis:
        return arguments[0]
    return None


def is_required(field: dataclasses.Field[Any]) -> bool:
    """Return whether a field has no default."""
    return field.default is dataclasses.MISSING


def check_value(hint: Any, value: object, path: Path) -> Iterator[Problem]:
    """Yield the problems of one value, or of the parts that it holds."""
    plain = strip_notes(hint)
    element = list_element_type(plain)
    if dataclasses.is_dataclass(plain):
        yield from _check_table_value(plain, value, path)
    elif element is not None and isinstance(value, list):
        yield from _check_list(hint, value, path)
    elif not _is_accepted(hint, plain, value):
        yield _name_wrong_value(hint, value, path)


def check_table(
    owner: Any, table: Mapping[str, object], path: Path
) -> Iterator[Problem]:
    """Yield the problems of a table that a settings class describes."""
    hints = list_fields(owner)
    for name in table.keys() - hints.keys():
        yield _name_unknown_key(name, sorted(hints), path)
    for field in dataclasses.fields(owner):
        hint = hints[field.name]
        entry = table.get(field.name, _ABSENT)
        if entry is not _ABSENT:
            yield from check_value(hint, entry, (*path, field.name))
        elif is_required(field):
            yield from _check_missing(hint, (*path, field.name))


def _check_missing(hint: Any, path: Path) -> Iterator[Problem]:
    if dataclasses.is_dataclass(hint):
        yield from check_table(hint, {}, path)
    else:
        yield _name_missing_key(hint, path)


def _check_table_value(
    owner: Any, value: object, path: Path
) -> Iterator[Problem]:
    if isinstance(value, dict):
        yield from check_table(owner, value, path)
    else:
        yield Problem(
            path=path, shown=write_value(value), expected=_TABLE_EXPECTED
        )


def _check_list(
    hint: Any, elements: Sequence[object], path: Path
) -> Iterator[Problem]:
    element_hint = list_element_type(strip_notes(hint))
    rule = find_rule(hint)
    if rule and not rule.accepts(elements):
        yield _name_wrong_value(hint, elements, path)
    for index, element in enumerate(elements):
        yield from check_value(element_hint, element, (*path, index))


def _is_accepted(hint: Any, plain: Any, value: object) -> bool:
    try:
        converted = msgspec.convert(value, plain)
    except msgspec.ValidationError:
        return False
    rule = find_rule(hint)
    return rule is None or rule.accepts(converted)


def _name_wrong_value(hint: Any, value: object, path: Path) -> Problem:
    return Problem(
        path=path,
        shown=HIDDEN if _is_secret(hint) else write_value(value),
        expected=list_expectation(hint) or _LIST_EXPECTED,
    )


def _is_secret(hint: Any) -> bool:
    rule = find_rule(hint)
    if rule:
        return rule.secret
    element = list_element_type(strip_notes(hint))
    return element is not None and _is_secret(element)


def _name_unknown_key(name: str, known: Sequence[str], path: Path) -> Problem:
    near = difflib.get_close_matches(name, known, n=1)
    expected = f'"{near[0]}"' if near else f'one of {", ".join(known)}'
    return Problem(
        path=(*path, name), shown='an unknown key', expected=expected
    )


def _name_missing_key(hint: Any, path: Path) -> Problem:
    return Problem(
        path=path,
        shown='missing',
        expected=list_expectation(hint) or _LIST_EXPECTED,
    )
