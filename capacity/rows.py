"""Rows of the table, and lines through measured points."""

import dataclasses
import statistics
from collections.abc import Iterable, Sequence

Point = tuple[float, float]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """What one role costs.

    ``points`` are the measured pairs that ``slope`` was fitted to, ``scaled``
    is the value at the design scale and ``fits`` is empty without a bound.
    """

    role: str
    slope: str
    points: str = ''
    scaled: str = ''
    bound: str = ''
    fits: str = ''
    mechanism: str = ''
    command: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """A line through measured points, by least squares."""

    slope: float
    intercept: float

    def at(self, place: float) -> float:
        """Return the value of the line at a place."""
        return self.intercept + self.slope * place


def fit_line(points: Sequence[Point]) -> Line:
    """Return the line that fits the points best."""
    fitted = statistics.linear_regression(
        [place for place, _ in points], [found for _, found in points]
    )
    return Line(slope=fitted.slope, intercept=fitted.intercept)


def show_points(points: Iterable[Point]) -> str:
    """Return measured points as text."""
    return '; '.join(f'{place:g}: {found:.4g}' for place, found in points)


def judge(found: float, bound: float) -> str:
    """Return whether a value keeps within its bound."""
    return 'fits' if found <= bound else 'does not fit'


def percentile(values: Sequence[float], percent: int) -> float:
    """Return a percentile; the values need not be sorted."""
    ordered = sorted(values)
    place = round((len(ordered) - 1) * percent / 100)
    return ordered[place]


def format_row(name: str, row: Row) -> str:
    """Return a row as lines for a terminal."""
    lines = [f'{name}: {row.role}']
    for field in dataclasses.fields(row)[1:]:
        text = getattr(row, field.name)
        if text:
            lines.append(f'    {field.name:<10}{text}')
    return '\n'.join(lines)
