"""Build the timeline of one request from the log lines of several VMs."""

import dataclasses
import datetime
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final

import msgspec

from bronzepost._internal.telemetry.events import LogEvent

# Related lines without the request's id are included, starting this long before
# its first line: a lost store or server is noticed within a second or two.
CONTEXT_SECONDS: Final = 5.0

_FINAL_EVENTS: Final = frozenset((
    LogEvent.REQUEST_DONE.number,
    LogEvent.REQUEST_REFUSED.number,
))
# Events that show what a VM knew when it decided on the request.
_CONTEXT_EVENTS: Final = frozenset((
    LogEvent.STORE_LOST.number,
    LogEvent.STORE_REGAINED.number,
    LogEvent.ROUTES_IN_FORCE.number,
    LogEvent.SNAPSHOT_TAKEN.number,
    LogEvent.SNAPSHOT_REFUSED.number,
    LogEvent.ACCOUNTS_ADOPTED.number,
    LogEvent.ACCOUNTS_HANDED_OVER.number,
    LogEvent.DRAIN_STARTED.number,
    LogEvent.NODE_STARTED.number,
    LogEvent.NODE_STOPPED.number,
    LogEvent.LOGS_LEFT_OUT.number,
))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One line; ``at`` is in seconds since 1970 by the clock of its VM."""

    at: float
    node: str
    number: int
    fields: Mapping[str, Any]

    @property
    def is_final(self) -> bool:
        """Return whether the line reports the end of a request."""
        return self.number in _FINAL_EVENTS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestTimeline:
    """The lines about a request in the order of their times.

    ``clock_shift_by_node`` has the seconds that were added to the times of a
    VM whose clock differs from that of the VM that received the request.
    """

    lines: tuple[LogLine, ...]
    clock_shift_by_node: Mapping[str, float]


def read_line(text: str) -> LogLine | None:
    """Return the log line in a text, or None if it is not a log line."""
    try:
        fields = msgspec.json.decode(text)
    except msgspec.DecodeError:
        return None
    try:
        return _build_line(fields)
    except (KeyError, TypeError, ValueError):
        return None


def build_timeline(
    lines: Iterable[LogLine], request_id: str
) -> RequestTimeline:
    """Return the timeline of a request; empty without a line about it."""
    all_lines = tuple(lines)
    request_lines = [line for line in all_lines if _is_about(line, request_id)]
    if not request_lines:
        return RequestTimeline(lines=(), clock_shift_by_node={})
    clock_shift_by_node = find_clock_shifts(request_lines)
    shifted = [_correct_clock(line, clock_shift_by_node) for line in all_lines]
    shifted_request_lines = [
        line for line in shifted if _is_about(line, request_id)
    ]
    context = _list_context(shifted, shifted_request_lines)
    ordered = sorted(
        (*shifted_request_lines, *context), key=lambda line: line.at
    )
    return RequestTimeline(
        lines=tuple(ordered), clock_shift_by_node=clock_shift_by_node
    )


def find_clock_shifts(request_lines: Iterable[LogLine]) -> dict[str, float]:
    """Return the seconds to add to the times of each VM with a wrong clock.

    What other VMs did for a request must lie between its start and its end at
    the VM that received it. Without a final line no clock is corrected.
    """
    lines = tuple(request_lines)
    end = next((line for line in lines if line.is_final), None)
    if end is None:
        return {}
    start_at = end.at - float(end.fields.get('seconds', 0))
    clock_shift_by_node: dict[str, float] = {}
    for line in lines:
        late = max(line.at - end.at, 0)
        early = max(start_at - line.at, 0)
        if line.node != end.node and early + late:
            clock_shift_by_node[line.node] = early - late
    return clock_shift_by_node


def _build_line(fields: Any) -> LogLine:
    at = datetime.datetime.fromisoformat(fields['at']).timestamp()
    return LogLine(
        at=at, node=fields['node'], number=fields['number'], fields=fields
    )


def _correct_clock(
    line: LogLine, clock_shift_by_node: Mapping[str, float]
) -> LogLine:
    shift = clock_shift_by_node.get(line.node, 0)
    return dataclasses.replace(line, at=line.at + shift)


def _is_about(line: LogLine, request_id: str) -> bool:
    return line.fields.get('request') == request_id


def _list_context(
    lines: Iterable[LogLine], request_lines: Sequence[LogLine]
) -> list[LogLine]:
    times = [line.at for line in request_lines]
    nodes = {line.node for line in request_lines}
    servers = {line.fields.get('server') for line in request_lines} - {None, ''}
    first = min(times) - CONTEXT_SECONDS
    return [
        line
        for line in lines
        if first <= line.at <= max(times)
        and line.node in nodes
        and _is_context(line, servers)
    ]


def _is_context(line: LogLine, servers: set[Any]) -> bool:
    if 'request' in line.fields:
        return False
    return (
        line.number in _CONTEXT_EVENTS or line.fields.get('server') in servers
    )
