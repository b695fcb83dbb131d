"""Write the reference page of the settings from their classes."""

import dataclasses
from collections.abc import Iterator
from typing import Any

from bronzepost._internal.settings.classes import Settings
from bronzepost._internal.settings.rules import Help
from bronzepost._internal.settings.validation import (
    find_note,
    is_required,
    list_element_type,
    list_expectation,
    list_fields,
    write_value,
)

_HEAD = """# Settings of a process

This page is made by `scripts/write_references.py`.

The settings are one TOML file for each process. `bronzepost check FILE` names
all problems of a file with their lines, and `examples/` has a file for each
deployment. Values that operators change while the system runs are in the
settings tree instead: see `operators.md`.

Rules between values:

- Without a key in `peers.keys` and in `operators.keys`, every address of the
  node has to be a loopback address.
- The addresses of a node differ from each other.
- No two distances name the same zones, in either order.
"""


def write_settings_page() -> str:
    """Return the page of all settings, by table."""
    return '\n'.join([_HEAD, *_write_sections()])


def _write_sections() -> Iterator[str]:
    hints = list_fields(Settings)
    for field in dataclasses.fields(Settings):
        hint = hints[field.name]
        element = list_element_type(hint)
        header = f'[[{field.name}]]' if element else f'[{field.name}]'
        owner = element or hint
        rows = '\n'.join(_write_rows(owner))
        yield (
            f'## `{header}`\n\n{owner.__doc__}\n\n'
            f'| key | meaning | expected | default |\n'
            f'| --- | --- | --- | --- |\n{rows}\n'
        )


def _write_rows(owner: Any) -> Iterator[str]:
    hints = list_fields(owner)
    for field in dataclasses.fields(owner):
        hint = hints[field.name]
        note = find_note(hint, Help)
        meaning = note.text if note else ''
        yield (
            f'| `{field.name}` | {meaning} | {list_expectation(hint)}'
            f' | {_write_default(field)} |'
        )


def _write_default(field: dataclasses.Field[Any]) -> str:
    if is_required(field):
        return 'required'
    return f'`{write_value(field.default)}`'
