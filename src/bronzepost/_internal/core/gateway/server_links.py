"""Which backend servers this VM can open connections to.

A connection that fails is the fault of the server, of the link or of the VM, and the
VM cannot tell them apart by one failure. It knows more if it compares servers: as long
as it reaches others, its own links work. If it has heard from none since a connection
failed, it tries some, and if none of them answers, it has lost its links.
"""

import dataclasses
import enum
import math
from typing import Final

# Connections that open in a row until a link that failed is used again. A link that
# comes and goes would otherwise break off requests each time.
OPENED_TO_TRUST: Final = 2
# The time between a connection that opens on such a link and the next one.
CONFIRM_SECONDS: Final = 0.2
# The first and the longest time until a link that fails is probed again.
FIRST_PROBE_SECONDS: Final = 0.3
MAX_PROBE_SECONDS: Final = 1.0
_BACKOFF_FACTOR: Final = 1.5


class Path(enum.StrEnum):
    """How to reach a server.

    With ``OPEN`` an open connection of this VM may be used, but no new one can be
    opened.
    """

    DIRECT = 'direct'
    OPEN = 'open'
    RELAY = 'relay'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FailingLink:
    """A link on which the last connection could not be opened.

    It fails ``since`` a time and was last tried at ``tried_at``, both in monotonic
    seconds. It ``is_silent`` if the last attempt ended without an answer, not with a
    refusal. ``opened`` counts the connections that were opened since then.
    """

    since: float
    tried_at: float
    probe_at: float
    is_silent: bool
    probe_seconds: float = FIRST_PROBE_SECONDS
    opened: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class LinkTable:
    """The links of this VM to servers; times are in monotonic seconds.

    ``heard_at_by_server`` is when a server has last answered over its link, and
    ``opened_at_by_server`` when a connection to it was last opened. ``last_failure``
    is the failing link that was tried last, and ``worked_at`` the last sign that
    other links work where it failed. At ``cut_off_at`` no server answered that was
    tried to find out whether any link works.
    """

    failing_by_server: dict[str, FailingLink] = dataclasses.field(
        default_factory=dict
    )
    heard_at_by_server: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    opened_at_by_server: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    worked_at: float = -math.inf
    cut_off_at: float = -math.inf
    last_failure: FailingLink | None = None


def record_heard(table: LinkTable, server: str, *, at: float) -> None:
    """Record bytes of a server on a connection of this VM."""
    table.heard_at_by_server[server] = at
    is_silent = table.last_failure is None or table.last_failure.is_silent
    if is_silent and server not in table.failing_by_server:
        table.worked_at = at


def record_failed(
    table: LinkTable,
    server: str,
    *,
    tried_at: float,
    at: float,
    is_silent: bool,
) -> bool:
    """Record a connection that did not open; return whether that is news.

    It was tried from ``tried_at`` until ``at``.
    """
    known = table.failing_by_server.get(server)
    if known is None:
        table.failing_by_server[server] = FailingLink(
            since=tried_at,
            tried_at=tried_at,
            probe_at=at + FIRST_PROBE_SECONDS,
            is_silent=is_silent,
        )
        _update(table)
        return True
    probe_seconds = min(
        known.probe_seconds * _BACKOFF_FACTOR, MAX_PROBE_SECONDS
    )
    table.failing_by_server[server] = dataclasses.replace(
        known,
        tried_at=max(known.tried_at, tried_at),
        probe_at=at + probe_seconds,
        probe_seconds=probe_seconds,
        is_silent=is_silent,
        opened=0,
    )
    _update(table)
    return False


def record_opened(table: LinkTable, server: str, *, at: float) -> bool:
    """Record a connection that opened; return whether the link is used again."""
    record_heard(table, server, at=at)
    table.opened_at_by_server[server] = at
    known = table.failing_by_server.get(server)
    if known is None:
        table.worked_at = at
        return False
    opened = known.opened + 1
    if opened >= OPENED_TO_TRUST:
        table.failing_by_server.pop(server)
        _update(table)
        return True
    table.failing_by_server[server] = dataclasses.replace(
        known, opened=opened, probe_at=at + CONFIRM_SECONDS
    )
    return False


def remove_server(table: LinkTable, server: str) -> None:
    """Forget a server that has left."""
    table.failing_by_server.pop(server, None)
    table.heard_at_by_server.pop(server, None)
    table.opened_at_by_server.pop(server, None)
    _update(table)


def list_working(table: LinkTable) -> list[str]:
    """Return the servers whose links do not fail, the last heard ones first."""
    working = table.heard_at_by_server.keys() - table.failing_by_server.keys()
    return sorted(
        working, key=table.heard_at_by_server.__getitem__, reverse=True
    )


def record_cut_off(table: LinkTable, *, at: float) -> None:
    """Record that none of the servers answered that were tried until a time."""
    if needs_check(table):
        table.cut_off_at = at


def is_cut_off(table: LinkTable) -> bool:
    """Return whether this VM has lost its links to all servers, as far as known."""
    has_failed = bool(table.failing_by_server)
    return has_failed and table.cut_off_at > table.worked_at


def needs_check(table: LinkTable) -> bool:
    """Return whether the links of this VM may be at fault for the last failure.

    It has heard from no server since its last attempt at a failing link began.
    """
    last_failure = table.last_failure
    return last_failure is not None and last_failure.tried_at > table.worked_at


def is_silent_since(table: LinkTable, since: float) -> bool:
    """Return whether nothing at all has come over any link since a time.

    A VM whose connections are refused is not silent: open ones may live on.
    """
    last_failure = table.last_failure
    if last_failure is None or not is_cut_off(table):
        return False
    last_heard_at = max(table.heard_at_by_server.values(), default=-math.inf)
    was_silent = last_failure.is_silent and last_failure.since <= since
    return was_silent and last_heard_at < since


def is_answering(table: LinkTable, server: str) -> bool:
    """Return whether a server has answered since its link was last tried."""
    failing = table.failing_by_server.get(server)
    if failing is None:
        return not is_cut_off(table)
    return table.heard_at_by_server.get(server, -math.inf) > failing.tried_at


def find_path(table: LinkTable, server: str) -> Path:
    """Return how to reach a server.

    Open connections are used if new ones are refused, or if the server has
    answered on one since. Others may be as silent as the attempt to open one.
    """
    failing = table.failing_by_server.get(server)
    if failing is None and is_cut_off(table):
        failing = table.last_failure
    if failing is None:
        return Path.DIRECT
    heard_at = table.heard_at_by_server.get(server, -math.inf)
    if failing.is_silent and heard_at <= failing.tried_at:
        return Path.RELAY
    return Path.OPEN


def list_due(table: LinkTable, *, at: float) -> list[str]:
    """Return the servers whose links are to be probed, the first due ones first."""
    due = {
        server: failing.probe_at
        for server, failing in table.failing_by_server.items()
        if failing.probe_at <= at
    }
    return sorted(due, key=due.__getitem__)


def _update(table: LinkTable) -> None:
    table.last_failure = max(
        table.failing_by_server.values(),
        key=lambda failing: failing.tried_at,
        default=None,
    )
    # Open connections may live on where new ones are refused, so that bytes on
    # them do not show that connections can be opened.
    is_silent = table.last_failure is None or table.last_failure.is_silent
    signs = table.heard_at_by_server if is_silent else table.opened_at_by_server
    table.worked_at = max(
        (
            at
            for server, at in signs.items()
            if server not in table.failing_by_server
        ),
        default=-math.inf,
    )
