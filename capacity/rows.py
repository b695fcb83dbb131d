"""Rows of the results, and lines fitted to measured points."""

import dataclasses
import statistics
from collections.abc import Iterable, Sequence

Point = tuple[float, float]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """Cost of one role.

    ``points`` are the measured pairs from which ``slope`` was fitted,
    ``scaled`` is the value at the design scale, and ``fits`` tells whether it
    is within ``bound``, if known.
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
    """A line fitted to measured points by least squares."""

    slope: float
    intercept: float

    def value_at(self, x_value: float) -> float:
        """Return the value of the line at ``x_value``."""
        return self.intercept + self.slope * x_value


def fit_line(points: Sequence[Point]) -> Line:
    """Fit a line to the points by least squares."""
    fitted = statistics.linear_regression(
        [x_value for x_value, _ in points], [value for _, value in points]
    )
    return Line(slope=fitted.slope, intercept=fitted.intercept)


def format_points(points: Iterable[Point]) -> str:
    """Return measured points as text."""
    return '; '.join(f'{x_value:g}: {value:.4g}' for x_value, value in points)


def check_bound(value: float, bound: float) -> str:
    """Return the text that says whether a value is within its bound."""
    return 'fits' if value <= bound else 'does not fit'


def percentile(values: Sequence[float], percent: int) -> float:
    """Return the value nearest to a percentile; values may be unsorted."""
    ordered = sorted(values)
    index = round((len(ordered) - 1) * percent / 100)
    return ordered[index]


def format_row(name: str, row: Row) -> str:
    """Return a row as lines of text; empty fields are left out."""
    lines = [f'{name}: {row.role}']
    for field in dataclasses.fields(row)[1:]:
        text = getattr(row, field.name)
        if text:
            lines.append(f'    {field.name:<10}{text}')
    return '\n'.join(lines)


def make_fitted_row(role: str, points: list[Point], *, mechanism: str) -> Row:
    """Return a row with a line through its points; the last one is the largest."""
    line = fit_line(points)
    count, measured = points[-1]
    return Row(
        role=role,
        slope=f'{line.intercept:.2f} + {line.slope:.5f} for each',
        points=format_points(points),
        scaled=f'{measured:.1f} measured at {count}',
        mechanism=mechanism,
    )
