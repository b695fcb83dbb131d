"""Tell the story of one request from the log lines of several VMs."""

import dataclasses
import datetime
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final

import msgspec

from bronzepost._internal.telemetry.events import LogEvent

# Lines without the request's id are shown from so long before its start: a
# lost store or server is noticed within a second or two.
CONTEXT_SECONDS: Final = 5.0

_ENDS: Final = frozenset((
    LogEvent.REQUEST_DONE.number,
    LogEvent.REQUEST_REFUSED.number,
))
# What a VM believed when it decided on the request.
_CONTEXT: Final = frozenset((
    LogEvent.STORE_LOST.number,
    LogEvent.STORE_REGAINED.number,
    LogEvent.ROUTES_IN_FORCE.number,
    LogEvent.ACCOUNTS_ADOPTED.number,
    LogEvent.ACCOUNTS_HANDED_OVER.number,
    LogEvent.DRAIN_STARTED.number,
    LogEvent.NODE_STARTED.number,
    LogEvent.NODE_STOPPED.number,
    LogEvent.LOGS_LEFT_OUT.number,
))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One line, with its time in seconds since the epoch by its VM's clock."""

    at: float
    node: str
    number: int
    fields: Mapping[str, Any]

    @property
    def is_end(self) -> bool:
        """Return whether the line says how a request ended."""
        return self.number in _ENDS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Story:
    """The lines about a request in the order of their times.

    ``shift_by_node`` has the seconds that were added to the times of a VM
    whose clock differs from that of the VM that took the request.
    """

    lines: tuple[LogLine, ...]
    shift_by_node: Mapping[str, float]


def read_line(text: str) -> LogLine | None:
    """Return a log line, or None for text that is none."""
    try:
        fields = msgspec.json.decode(text)
    except msgspec.DecodeError:
        return None
    try:
        return _build_line(fields)
    except (KeyError, TypeError, ValueError):
        return None


def tell_story(lines: Iterable[LogLine], request_id: str) -> Story:
    """Return what the lines say of a request; empty if they say nothing."""
    known = tuple(lines)
    own = [line for line in known if _is_about(line, request_id)]
    if not own:
        return Story(lines=(), shift_by_node={})
    shift_by_node = find_shifts(own)
    shifted = [_shift(line, shift_by_node) for line in known]
    about = [line for line in shifted if _is_about(line, request_id)]
    context = _list_context(shifted, about)
    told = sorted((*about, *context), key=lambda line: line.at)
    return Story(lines=tuple(told), shift_by_node=shift_by_node)


def find_shifts(own: Iterable[LogLine]) -> dict[str, float]:
    """Return how to move the clocks of VMs so that the story is possible.

    What other VMs did for a request lies between its start and its end at the
    VM that took it.
    """
    lines = tuple(own)
    end = next((line for line in lines if line.is_end), None)
    if end is None:
        return {}
    start_at = end.at - float(end.fields.get('seconds', 0))
    shift_by_node: dict[str, float] = {}
    for line in lines:
        late = max(line.at - end.at, 0)
        early = max(start_at - line.at, 0)
        if line.node != end.node and early + late:
            shift_by_node[line.node] = early - late
    return shift_by_node


def _build_line(fields: Any) -> LogLine:
    at = datetime.datetime.fromisoformat(fields['at']).timestamp()
    return LogLine(
        at=at, node=fields['node'], number=fields['number'], fields=fields
    )


def _shift(line: LogLine, shift_by_node: Mapping[str, float]) -> LogLine:
    shift = shift_by_node.get(line.node, 0)
    return dataclasses.replace(line, at=line.at + shift)


def _is_about(line: LogLine, request_id: str) -> bool:
    return line.fields.get('request') == request_id


def _list_context(
    lines: Iterable[LogLine], about: Sequence[LogLine]
) -> list[LogLine]:
    moments = [line.at for line in about]
    names = {line.node for line in about}
    servers = {line.fields.get('server') for line in about} - {None, ''}
    first = min(moments) - CONTEXT_SECONDS
    return [
        line
        for line in lines
        if first <= line.at <= max(moments)
        and line.node in names
        and _is_context(line, servers)
    ]


def _is_context(line: LogLine, servers: set[Any]) -> bool:
    if 'request' in line.fields:
        return False
    return line.number in _CONTEXT or line.fields.get('server') in servers
