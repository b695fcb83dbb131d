"""The value in force is that of the nearest level that sets the setting."""

import dataclasses

from .entities import ConfigurationEntry, ConfigurationTables
from .paths import Level, list_paths
from .schema import SettingValue, check_name, find_problem


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LevelValue:
    """The value of a setting at one level, or ``None`` if it is not set there.

    ``problem`` says why an invalid value is ignored; it is empty otherwise.
    """

    level: Level
    path: str
    value: SettingValue
    revision: int
    author: str = ''
    problem: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """The value in force, the level that sets it, and each level's value."""

    name: str
    value: SettingValue
    level: Level
    path: str
    revision: int
    levels: tuple[LevelValue, ...]


def inherit(
    tables: ConfigurationTables,
    organisation: str,
    service: str,
    program: str,
    name: str,
) -> SettingValue:
    """Return the value of a setting that is in force for a program.

    The program's level takes precedence over the service's, then follow the
    organisation's and the default. Invalid values are ignored. Raises
    ``RefusedError`` for an unknown setting.
    """
    setting = check_name(name)
    for _, path in list_paths(organisation, service, program, name):
        entry = tables.entries_by_path.get(path)
        if entry is None or entry.value is None:
            continue
        if not find_problem(setting, entry.value):
            return entry.value
    return setting.default


def explain(
    tables: ConfigurationTables,
    organisation: str,
    service: str,
    program: str,
    name: str,
) -> Explanation:
    """Return the value of a setting and the values of all levels.

    The levels are listed from the program's to the default.
    """
    setting = check_name(name)
    levels = [
        _describe_level(tables, level, path, name)
        for level, path in list_paths(organisation, service, program, name)
    ]
    levels.append(
        LevelValue(
            level=Level.DEFAULT, path='', value=setting.default, revision=0
        )
    )
    in_force = next(
        level
        for level in levels
        if level.value is not None and not level.problem
    )
    return Explanation(
        name=name,
        value=in_force.value,
        level=in_force.level,
        path=in_force.path,
        revision=in_force.revision,
        levels=tuple(levels),
    )


def _describe_level(
    tables: ConfigurationTables, level: Level, path: str, name: str
) -> LevelValue:
    entry = tables.entries_by_path.get(path)
    if entry is None:
        return LevelValue(level=level, path=path, value=None, revision=0)
    return LevelValue(
        level=level,
        path=path,
        value=entry.value,
        revision=entry.revision,
        author=entry.author,
        problem=_find_value_problem(entry, name),
    )


def _find_value_problem(entry: ConfigurationEntry, name: str) -> str:
    # Operators can append to the log directly, without a check by a node, and
    # nodes of other versions may allow other values. Acceptance must not
    # depend on that, so an invalid value is ignored when it is read.
    if entry.value is None:
        return ''
    return find_problem(check_name(name), entry.value)
