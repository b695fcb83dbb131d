"""Paths of the settings tree.

A path is a level and the name of a setting, separated by a colon. The level
is an organisation, a service of it, or a program of that service::

    kostiumy:cache_weight
    kostiumy/pass-assistant:budget
    kostiumy/pass-assistant/program-7:importance

Each part of a level matches ``[A-Za-z0-9_-]{1,64}``. A program is named by
its root program id, and its settings also apply to its sub-agents.
"""

import dataclasses
import enum
import re
from http import HTTPStatus

from bronzepost._internal.exceptions import RefusedError

from .schema import check_name

_PART_PATTERN = '[A-Za-z0-9_-]{1,64}'
_PART = re.compile(_PART_PATTERN)

# The pattern of paths in records on the log. It allows any setting name, since
# nodes of another version may know other settings.
PATH_PATTERN = (
    f'^{_PART_PATTERN}(/{_PART_PATTERN}){{0,2}}:[a-z][a-z0-9_]{{0,63}}$'
)


class Level(enum.StrEnum):
    """A level of the tree; the nearest to the program takes precedence."""

    DEFAULT = 'default'
    ORGANISATION = 'organisation'
    SERVICE = 'service'
    PROGRAM = 'program'


_LEVELS = (Level.ORGANISATION, Level.SERVICE, Level.PROGRAM)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettingPath:
    """A valid path; ``parts`` has one to three names, widest level first."""

    level: Level
    parts: tuple[str, ...]
    name: str

    def __str__(self) -> str:
        """Return the path as it is written, for example ``a/b:budget``."""
        return format_path(self.parts, self.name)


def parse_path(text: str) -> SettingPath:
    """Return the path that ``text`` contains.

    Raises ``RefusedError`` if the text is malformed or the setting unknown.
    """
    prefix, separator, name = text.partition(':')
    parts = tuple(prefix.split('/'))
    is_well_formed = separator and len(parts) <= len(_LEVELS)
    if not is_well_formed or not all(_PART.fullmatch(part) for part in parts):
        raise RefusedError(
            f'no path {text!r}: use ORGANISATION[/SERVICE[/PROGRAM]]:SETTING'
            ' with parts of 1 to 64 letters, digits, "_" or "-"',
            code='invalid_path',
            status=HTTPStatus.BAD_REQUEST,
            step='check path',
            parameter='path',
        )
    check_name(name)
    return SettingPath(level=_LEVELS[len(parts) - 1], parts=parts, name=name)


def format_path(parts: tuple[str, ...], name: str) -> str:
    """Return a path as text, for example ``a/b:budget``."""
    return f'{"/".join(parts)}:{name}'


def list_paths(
    organisation: str, service: str, program: str, name: str
) -> tuple[tuple[Level, str], ...]:
    """Return the levels that apply to a program and their paths, nearest first.

    The level of an empty service or program is left out. A sub-agent's program
    id, ``root.child``, stands for that of its root.
    """
    root, _, _ = program.partition('.')
    parts = [organisation]
    if service:
        parts.append(service)
        parts.extend([root] if root else [])
    paths = [
        (level, format_path(tuple(parts[: index + 1]), name))
        for index, level in enumerate(_LEVELS[: len(parts)])
    ]
    return tuple(reversed(paths))
