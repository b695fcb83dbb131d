"""Write the reference pages of events and metrics from their catalogues."""

from collections.abc import Iterable, Sequence

from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.events import Area, LogEvent
from bronzepost._internal.telemetry.metrics import (
    FLUSH_INTERVAL_SECONDS,
    MAX_SAMPLES_PER_FLUSH,
)

GENERATED = 'This page is made by `scripts/write_references.py`.'

_EVENTS_HEAD = f"""# Log events

{GENERATED}

Each line has `at` (UTC), `level`, `event`, `number`, `node` and the fields of
the event. An error has its message in `error`, and `step` and `peer` say where
it arose. A number never changes its meaning. A warning may need a person, an
error does: see `operators.md`.
"""

_METRICS_HEAD = f"""# Metrics

{GENERATED}

A node sends its metrics to `statsd_address` as `bronzepost.NODE.NAME`; with
`by code` or `by reason` a last part follows. Characters of the node's name that
statsd does not allow are sent as `_`. Values are combined and sent every
{FLUSH_INTERVAL_SECONDS} s, with at most {MAX_SAMPLES_PER_FLUSH} values of each timing.
"""


def write_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    rule = ['---' for _name in head]
    lines = [head, rule, *rows]
    return '\n'.join(f'| {" | ".join(cells)} |' for cells in lines)


def write_events_page() -> str:
    """Return the page of all log events, by area."""
    sections = [_EVENTS_HEAD]
    for area in Area:
        title = area.name.replace('_', ' ').capitalize()
        rows = [
            (
                str(event.number),
                event.event_name,
                event.level,
                event.description,
            )
            for event in LogEvent
            if event.area is area
        ]
        table = write_table(('number', 'event', 'level', 'meaning'), rows)
        sections.append(f'## {area.value} {title}\n\n{table}\n')
    return '\n'.join(sections)


def write_metrics_page() -> str:
    """Return the page of all metrics."""
    rows = [
        (metric.metric_name, metric.kind, metric.unit, metric.description)
        for metric in Metric
    ]
    table = write_table(('name', 'kind', 'unit', 'meaning'), rows)
    return f'{_METRICS_HEAD}\n{table}\n'
