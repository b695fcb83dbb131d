"""Values in force: the nearest level that sets one."""

import dataclasses

from .entities import ConfigurationEntry, ConfigurationTables
from .paths import Level, list_paths
from .schema import SettingValue, check_name, find_problem


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LevelValue:
    """What one level says about a setting.

    ``problem`` says why a value that is set there is passed over.
    """

    level: Level
    path: str
    value: SettingValue
    revision: int
    author: str = ''
    problem: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """The value in force, where it comes from, and every level's own value."""

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
    """Return the value of a setting that holds for a program.

    The program's own level wins over the service's, the service's over the
    organisation's, and that over the default. Raises ``RefusedError`` for an
    unknown setting.
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
    """Return the value of a setting and how it comes about.

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
        problem=_find_entry_problem(entry, name),
    )


def _find_entry_problem(entry: ConfigurationEntry, name: str) -> str:
    # Operators can publish to the log without the check of a node, and a node
    # of another version may allow other values. Whether a change is accepted
    # must not depend on that, so a bad value is passed over when it is read.
    if entry.value is None:
        return ''
    return find_problem(check_name(name), entry.value)
