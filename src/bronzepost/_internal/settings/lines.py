"""Find the line of a settings file on which a key stands.

The TOML parser gives values without positions, so that this module reads the
headers and keys again. It needs no more than TOML that has already parsed.
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


class _Reader:
    """Follow the headers of a file and note the line of each key."""

    def __init__(self) -> None:
        self.lines_by_path: dict[Path, int] = {}
        self._table: Path = ()
        self._lengths_by_array: dict[Path, int] = {}
        self._inside_text = False

    def read(self, line: str, number: int) -> None:
        """Note what the line defines, unless it continues a long string."""
        continues = self._inside_text
        if len(_TRIPLE_QUOTE.findall(line)) % 2:
            self._inside_text = not continues
        if continues:
            return
        header = _HEADER.match(line)
        assignment = _ASSIGNMENT.match(line)
        if assignment:
            path = self._table + _parse_key(assignment['key'])
            self.lines_by_path.setdefault(path, number)
        elif header:
            self._enter(_parse_key(header['key']), bool(header['array']))
            self.lines_by_path.setdefault(self._table, number)

    def _enter(self, key: Path, is_array: bool) -> None:
        self._table = key
        if is_array:
            index = self._lengths_by_array.get(key, 0)
            self._lengths_by_array[key] = index + 1
            self._table = (*key, index)


def find_lines(text: str) -> dict[Path, int]:
    """Return the line number, from 1, of each key and table of a file."""
    reader = _Reader()
    for number, line in enumerate(text.splitlines(), start=1):
        reader.read(line, number)
    return reader.lines_by_path


def find_line(lines_by_path: Mapping[Path, int], path: Path) -> int:
    """Return the line of a path, or of the nearest table around it.

    A key that is missing from the whole file is said to be on line 1.
    """
    for length in range(len(path), 0, -1):
        line = lines_by_path.get(path[:length])
        if line is not None:
            return line
    return 1
