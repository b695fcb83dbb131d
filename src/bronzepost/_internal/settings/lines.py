"""Find the line of each key of a settings file.

The TOML parser returns values without line numbers, so this module parses the
headers and keys again. The text must be valid TOML.
"""

import re
import tomllib
from collections.abc import Mapping

Path = tuple[str | int, ...]

_HEADER = re.compile(r'\s*\[(?P<array>\[)?(?P<key>[^\[\]]+)\]')
_ASSIGNMENT = re.compile(
    r'\s*(?P<key>(?:[\w-]+|"[^"]*"|\'[^\']*\')(?:\s*\.\s*[\w-]+)*)\s*=',
    re.ASCII,
)
_TRIPLE_QUOTE = re.compile(r'"""|\'\'\'')


def _parse_key(text: str) -> tuple[str, ...]:
    table = tomllib.loads(f'{text} = 0')
    names: list[str] = []
    node: object = table
    while isinstance(node, Mapping):
        name, node = next(iter(node.items()))
        names.append(name)
    return tuple(names)


class _LineIndex:
    """Record the line of each key and table while a file is read."""

    def __init__(self) -> None:
        self.lines_by_path: dict[Path, int] = {}
        self._table: Path = ()
        self._lengths_by_array: dict[Path, int] = {}
        self._in_multiline_string = False

    def add_line(self, line: str, number: int) -> None:
        """Record the key or table of a line outside a multi-line string."""
        continues_string = self._in_multiline_string
        if len(_TRIPLE_QUOTE.findall(line)) % 2:
            self._in_multiline_string = not continues_string
        if continues_string:
            return
        header = _HEADER.match(line)
        assignment = _ASSIGNMENT.match(line)
        if assignment:
            path = self._table + _parse_key(assignment['key'])
            self.lines_by_path.setdefault(path, number)
        elif header:
            self._enter_table(_parse_key(header['key']), bool(header['array']))
            self.lines_by_path.setdefault(self._table, number)

    def _enter_table(self, key: Path, is_array: bool) -> None:
        self._table = key
        if is_array:
            index = self._lengths_by_array.get(key, 0)
            self._lengths_by_array[key] = index + 1
            self._table = (*key, index)


def find_lines(text: str) -> dict[Path, int]:
    """Return the line number, from 1, of each key and table of a file."""
    line_index = _LineIndex()
    for number, line in enumerate(text.splitlines(), start=1):
        line_index.add_line(line, number)
    return line_index.lines_by_path


def find_line(lines_by_path: Mapping[Path, int], path: Path) -> int:
    """Return the line of a path, or of the closest table that contains it.

    Without such a table it is line 1.
    """
    for length in range(len(path), 0, -1):
        line = lines_by_path.get(path[:length])
        if line is not None:
            return line
    return 1
