"""Read a settings file."""

import re
from pathlib import Path

import msgspec

from bronzepost._internal.exceptions import SettingsError, SettingsErrorGroup
from bronzepost._internal.settings.classes import Settings
from bronzepost._internal.settings.lines import find_line, find_lines
from bronzepost._internal.settings.relations import check_relations
from bronzepost._internal.settings.validation import (
    Problem,
    check_table,
    format_path,
)

STEP = 'load settings'

_LINE_NUMBER = re.compile(r'at line (\d+)')


def load_settings(path: str | Path) -> Settings:
    """Return the settings in the TOML file at ``path``.

    Raises:
        SettingsErrorGroup: with a ``SettingsError`` for each problem of the
            file, in the order of their lines.
    """
    file_name = str(path)
    return parse_settings(_read_file(Path(path)), file_name)


def parse_settings(text: str, file_name: str) -> Settings:
    """Return the settings in a TOML text; errors contain ``file_name``."""
    tables = _parse_toml(text, file_name)
    problems = [
        *check_table(Settings, tables, ()),
        *check_relations(tables),
    ]
    if problems:
        lines_by_path = find_lines(text)
        errors = [
            _make_error(
                problem, file_name, find_line(lines_by_path, problem.path)
            )
            for problem in problems
        ]
        raise _make_group(file_name, sorted(errors, key=_get_sort_key))
    return msgspec.convert(tables, Settings)


def _read_file(path: Path) -> str:
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, 'strerror', None) or 'the text is not UTF-8'
        problem = SettingsError(
            f'{path}: cannot read the settings file: {reason}', step=STEP
        )
        raise _make_group(str(path), [problem]) from error


def _parse_toml(text: str, file_name: str) -> dict[str, object]:
    try:
        return msgspec.toml.decode(text, type=dict[str, object])
    except msgspec.DecodeError as error:
        match = _LINE_NUMBER.search(str(error))
        line = int(match[1]) if match else 1
        problem = SettingsError(
            f'{file_name}:{line}: this is not TOML: {error}',
            step=STEP,
            line=line,
            expected='TOML',
        )
        raise _make_group(file_name, [problem]) from error


def _make_error(problem: Problem, file_name: str, line: int) -> SettingsError:
    path = format_path(problem.path)
    return SettingsError(
        f'{file_name}:{line}: {path} is {problem.shown};'
        f' expected {problem.expected}',
        step=STEP,
        path=path,
        line=line,
        shown=problem.shown,
        expected=problem.expected,
    )


def _get_sort_key(error: SettingsError) -> tuple[int, str]:
    return error.line, error.path


def _make_group(
    file_name: str, errors: list[SettingsError]
) -> SettingsErrorGroup:
    count = len(errors)
    noun = 'problem' if count == 1 else 'problems'
    return SettingsErrorGroup(
        f'{file_name} has {count} {noun}; correct the file', errors
    )
