"""Check the values of a settings file and report every problem in it."""

import dataclasses
import difflib
import json
from collections.abc import Iterator, Mapping, Sequence
from typing import Annotated, Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from bronzepost._internal.settings.lines import Path
from bronzepost._internal.settings.rules import Rule

HIDDEN_VALUE = '(hidden)'
_EXPECTED_TABLE = 'a table'
_EXPECTED_LIST = 'a list'
_ABSENT = object()

_AnnotationT = TypeVar('_AnnotationT')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """One problem of a settings file; ``shown`` is the value as text."""

    path: Path
    shown: str
    expected: str


def format_path(path: Path) -> str:
    """Return a path as text, such as ``distances[0].between``."""
    parts = [
        f'[{part}]' if isinstance(part, int) else f'.{part}' for part in path
    ]
    return ''.join(parts).removeprefix('.')


def format_value(value: object) -> str:
    """Return a value as text, close to how it is written in TOML."""
    try:
        return json.dumps(value, ensure_ascii=False)
    except TypeError:
        return str(value)


def get_field_types(settings_class: type) -> dict[str, Any]:
    """Return the annotated type of each field of a settings class."""
    return get_type_hints(settings_class, include_extras=True)


def find_annotation(
    annotated_type: Any, kind: type[_AnnotationT]
) -> _AnnotationT | None:
    """Return the first annotation of a class on an annotated type."""
    for annotation in getattr(annotated_type, '__metadata__', ()):
        if isinstance(annotation, kind):
            return annotation
    return None


def find_rule(annotated_type: Any) -> Rule | None:
    """Return the rule of an annotated type, or None if it has no rule."""
    return find_annotation(annotated_type, Rule)


def describe_expected(annotated_type: Any) -> str:
    """Return the expected value in words; empty for a plain type."""
    rule = find_rule(annotated_type)
    if rule:
        return rule.expected
    element_type = get_element_type(strip_annotations(annotated_type))
    return (
        f'a list, each {describe_expected(element_type)}'
        if element_type
        else ''
    )


def strip_annotations(annotated_type: Any) -> Any:
    """Return the type without its annotations."""
    if get_origin(annotated_type) is Annotated:
        return get_args(annotated_type)[0]
    return annotated_type


def get_element_type(annotated_type: Any) -> Any | None:
    """Return ``X`` of ``tuple[X, ...]``, or None for any other type."""
    arguments = get_args(annotated_type)
    if get_origin(annotated_type) is tuple and arguments[-1] is Ellipsis:
        return arguments[0]
    return None


def is_required(field: dataclasses.Field[Any]) -> bool:
    """Return whether a field has no default."""
    return field.default is dataclasses.MISSING


def check_value(
    annotated_type: Any, value: object, path: Path
) -> Iterator[Problem]:
    """Yield the problems of one value and of its elements."""
    plain_type = strip_annotations(annotated_type)
    element_type = get_element_type(plain_type)
    if dataclasses.is_dataclass(plain_type):
        yield from _check_table_value(plain_type, value, path)
    elif element_type is not None and isinstance(value, list):
        yield from _check_list(annotated_type, value, path)
    elif not _is_accepted(annotated_type, plain_type, value):
        yield _describe_wrong_value(annotated_type, value, path)


def check_table(
    settings_class: Any, table: Mapping[str, object], path: Path
) -> Iterator[Problem]:
    """Yield the problems of a TOML table with the keys of a settings class."""
    types_by_name = get_field_types(settings_class)
    for name in table.keys() - types_by_name.keys():
        yield _describe_unknown_key(name, sorted(types_by_name), path)
    for field in dataclasses.fields(settings_class):
        annotated_type = types_by_name[field.name]
        entry = table.get(field.name, _ABSENT)
        if entry is not _ABSENT:
            yield from check_value(annotated_type, entry, (*path, field.name))
        elif is_required(field):
            yield from _check_missing(annotated_type, (*path, field.name))


def _check_missing(annotated_type: Any, path: Path) -> Iterator[Problem]:
    if dataclasses.is_dataclass(annotated_type):
        yield from check_table(annotated_type, {}, path)
    else:
        yield _describe_missing_key(annotated_type, path)


def _check_table_value(
    settings_class: Any, value: object, path: Path
) -> Iterator[Problem]:
    if isinstance(value, dict):
        yield from check_table(settings_class, value, path)
    else:
        yield Problem(
            path=path, shown=format_value(value), expected=_EXPECTED_TABLE
        )


def _check_list(
    annotated_type: Any, elements: Sequence[object], path: Path
) -> Iterator[Problem]:
    element_type = get_element_type(strip_annotations(annotated_type))
    rule = find_rule(annotated_type)
    if rule and not rule.accepts(elements):
        yield _describe_wrong_value(annotated_type, elements, path)
    for index, element in enumerate(elements):
        yield from check_value(element_type, element, (*path, index))


def _is_accepted(annotated_type: Any, plain_type: Any, value: object) -> bool:
    try:
        converted = msgspec.convert(value, plain_type)
    except msgspec.ValidationError:
        return False
    rule = find_rule(annotated_type)
    return rule is None or rule.accepts(converted)


def _describe_wrong_value(
    annotated_type: Any, value: object, path: Path
) -> Problem:
    return Problem(
        path=path,
        shown=HIDDEN_VALUE
        if _is_secret(annotated_type)
        else format_value(value),
        expected=describe_expected(annotated_type) or _EXPECTED_LIST,
    )


def _is_secret(annotated_type: Any) -> bool:
    rule = find_rule(annotated_type)
    if rule:
        return rule.secret
    element_type = get_element_type(strip_annotations(annotated_type))
    return element_type is not None and _is_secret(element_type)


def _describe_unknown_key(
    name: str, known_names: Sequence[str], path: Path
) -> Problem:
    similar_names = difflib.get_close_matches(name, known_names, n=1)
    expected = (
        f'"{similar_names[0]}"'
        if similar_names
        else f'one of {", ".join(known_names)}'
    )
    return Problem(
        path=(*path, name), shown='an unknown key', expected=expected
    )


def _describe_missing_key(annotated_type: Any, path: Path) -> Problem:
    return Problem(
        path=path,
        shown='missing',
        expected=describe_expected(annotated_type) or _EXPECTED_LIST,
    )
