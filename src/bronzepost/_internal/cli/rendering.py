"""Print answers of a node as JSON, or as aligned text."""

import json
from collections.abc import Mapping, Sequence

COLUMN_GAP = '  '
# Wider cells would wrap on a terminal of 80 columns; --json does not cut them.
MAX_CELL_WIDTH = 48

_DECIMALS = 3


def print_answer(
    answer: object, *, as_json: bool, columns: Sequence[str] = ()
) -> None:
    """Print an answer; tables have ``columns`` first, then all others."""
    if as_json:
        print(json.dumps(answer, indent=2, ensure_ascii=False))
    else:
        print(render(answer, columns))


def render(answer: object, columns: Sequence[str] = ()) -> str:
    """Return an answer as text; it may have any fields."""
    if isinstance(answer, Mapping):
        return _render_mapping(answer, columns)
    if _is_table(answer):
        return _render_table(answer, columns)
    return format_cell(answer)


def format_cell(entry: object) -> str:
    """Return a value as text of at most ``MAX_CELL_WIDTH`` characters."""
    if entry is None:
        return '-'
    if isinstance(entry, str):
        text = entry
    elif isinstance(entry, float):
        text = f'{round(entry, _DECIMALS):g}'
    else:
        text = json.dumps(entry, ensure_ascii=False)
    if len(text) > MAX_CELL_WIDTH:
        return f'{text[: MAX_CELL_WIDTH - 1]}…'
    return text


def _is_table(answer: object) -> bool:
    return isinstance(answer, list) and all(
        isinstance(row, Mapping) for row in answer
    )


def _render_mapping(
    answer: Mapping[str, object], columns: Sequence[str]
) -> str:
    blocks = []
    pairs = {
        name: entry for name, entry in answer.items() if not _is_table(entry)
    }
    if pairs:
        blocks.append(_render_pairs(pairs))
    for name, rows in answer.items():
        if name not in pairs:
            blocks.append(f'{name}:\n{_render_table(rows, columns)}')
    return '\n\n'.join(blocks)


def _render_pairs(pairs: Mapping[str, object]) -> str:
    width = max(len(name) for name in pairs)
    return '\n'.join(
        f'{name:<{width}}{COLUMN_GAP}{format_cell(entry)}'.rstrip()
        for name, entry in pairs.items()
    )


def _render_table(rows: object, columns: Sequence[str]) -> str:
    if not isinstance(rows, list) or not rows:
        return 'none'
    names = _order_columns(rows, columns)
    lines = [
        names,
        *([format_cell(row.get(name)) for name in names] for row in rows),
    ]
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    return '\n'.join(_align(line, widths) for line in lines)


def _order_columns(
    rows: Sequence[Mapping[str, object]], columns: Sequence[str]
) -> list[str]:
    all_names = dict.fromkeys(name for row in rows for name in row)
    preferred = [name for name in columns if name in all_names]
    return preferred + [name for name in all_names if name not in preferred]


def _align(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = (
        cell.ljust(width) for cell, width in zip(line, widths, strict=True)
    )
    return COLUMN_GAP.join(cells).rstrip()
