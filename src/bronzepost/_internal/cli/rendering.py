"""Print answers of a node as JSON, or as aligned text for a person."""

import json
from collections.abc import Mapping, Sequence

GAP = '  '
# A wider cell would wrap on a terminal of 80 columns; --json prints it all.
CELL_WIDTH = 48

_DECIMALS = 3


def print_answer(
    answer: object, *, as_json: bool, columns: Sequence[str] = ()
) -> None:
    """Print an answer; tables show ``columns`` first, then all others."""
    if as_json:
        print(json.dumps(answer, indent=2, ensure_ascii=False))
    else:
        print(render(answer, columns))


def render(answer: object, columns: Sequence[str] = ()) -> str:
    """Return an answer as text, whatever fields it has."""
    if isinstance(answer, Mapping):
        return _render_mapping(answer, columns)
    if _is_table(answer):
        return _render_table(answer, columns)
    return write_cell(answer)


def write_cell(entry: object) -> str:
    """Return one value as short text."""
    if entry is None:
        return '-'
    if isinstance(entry, str):
        text = entry
    elif isinstance(entry, float):
        text = f'{round(entry, _DECIMALS):g}'
    else:
        text = json.dumps(entry, ensure_ascii=False)
    if len(text) > CELL_WIDTH:
        return f'{text[: CELL_WIDTH - 1]}…'
    return text


def _is_table(answer: object) -> bool:
    return isinstance(answer, list) and all(
        isinstance(row, Mapping) for row in answer
    )


def _render_mapping(
    answer: Mapping[str, object], columns: Sequence[str]
) -> str:
    blocks = []
    plain = {
        name: entry for name, entry in answer.items() if not _is_table(entry)
    }
    if plain:
        blocks.append(_render_pairs(plain))
    for name, rows in answer.items():
        if name not in plain:
            blocks.append(f'{name}:\n{_render_table(rows, columns)}')
    return '\n\n'.join(blocks)


def _render_pairs(pairs: Mapping[str, object]) -> str:
    width = max(len(name) for name in pairs)
    return '\n'.join(
        f'{name:<{width}}{GAP}{write_cell(entry)}'.rstrip()
        for name, entry in pairs.items()
    )


def _render_table(rows: object, columns: Sequence[str]) -> str:
    if not isinstance(rows, list) or not rows:
        return 'none'
    names = _order_columns(rows, columns)
    lines = [
        names,
        *([write_cell(row.get(name)) for name in names] for row in rows),
    ]
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    return '\n'.join(_align(line, widths) for line in lines)


def _order_columns(
    rows: Sequence[Mapping[str, object]], columns: Sequence[str]
) -> list[str]:
    found = dict.fromkeys(name for row in rows for name in row)
    preferred = [name for name in columns if name in found]
    return preferred + [name for name in found if name not in preferred]


def _align(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = (
        cell.ljust(width) for cell, width in zip(line, widths, strict=True)
    )
    return GAP.join(cells).rstrip()
