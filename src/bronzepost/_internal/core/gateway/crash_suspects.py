"""Find requests that crash the backend servers which run them.

A server that crashes breaks off all that it runs. One of these requests is the
cause, the others only shared the server with it. What tells them apart is that they
crash no other server, and that they run well elsewhere. Each crash is blamed on its
requests in proportion to how suspicious they are, and a request is deadly if it broke
off at three servers and bears most of the blame, or broke off at many. A crash under a request that
has crashed another server by itself says little of the others.
"""

import dataclasses
import math
from typing import Final

from bronzepost._internal.core.gateway.recent_runs import RECENT_SECONDS

# Servers that are restarted one after the other break off a request twice.
MIN_CRASHES: Final = 3
# More than half of three crashes, so of two requests that shared all of them neither
# is refused.
DEADLY_BLAME: Final = 1.7
# More crashes make a request deadly however many others shared them all.
MAX_CRASHES: Final = 5
# How much more suspicious a request is with each further crash: a server runs some
# ten requests at a time, one of which is the cause of its crash.
SUSPICION_PER_CRASH: Final = 10.0
# The share of the weights at a server with which a request is its only likely cause.
MAIN_SHARE: Final = 0.8
# The weight of a request of which an answer had begun, since most that crash a server
# do it as soon as it begins to run them, and of one that was not answered in time.
STARTED_WEIGHT: Final = 0.1
# For how long crashes, runs and signs of life are remembered.
RETENTION_SECONDS: Final = 120.0
MAX_SERVERS: Final = 256
# More than an engine runs at a time.
MAX_REQUESTS_PER_SERVER: Final = 256


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Break:
    """A request that broke off at a server, seen ``at`` in monotonic seconds.

    ``weight`` is how likely it is the cause compared with others. In a table by
    target, ``body`` tells requests of one target apart.
    """

    at: float
    weight: float = 1
    body: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashIndex:
    """The servers that broke off under each request.

    ``causes_by_server`` has those of a server's requests that are the only likely
    cause of some crash, there or elsewhere.
    """

    servers_by_request: dict[str, list[str]]
    causes_by_server: dict[str, set[str]]


@dataclasses.dataclass(kw_only=True, slots=True)
class CrashTable:
    """What is known of crashes; requests are named by their fingerprints.

    A request ran well at a time of ``run_at_by_request``, so breaks before do not
    count, nor do those a short time after. A server answered a request that was sent at a time of
    ``alive_at_by_server``, so it had not crashed before. The ``index`` is None until
    it is needed.
    """

    breaks_by_server: dict[str, dict[str, Break]] = dataclasses.field(
        default_factory=dict
    )
    run_at_by_request: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    alive_at_by_server: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    index: CrashIndex | None = None


def record_break(
    table: CrashTable, server: str, request: str, found: Break
) -> bool:
    """Record that a request broke off at a server; return whether it is news."""
    run_at = table.run_at_by_request.get(request, -math.inf)
    is_refuted = found.at <= max(
        table.alive_at_by_server.get(server, 0), run_at + RECENT_SECONDS
    )
    breaks = table.breaks_by_server.get(server, {})
    is_full = len(breaks) >= MAX_REQUESTS_PER_SERVER
    if is_refuted or is_full or request in breaks:
        return False
    _put_breaks(table, server, {**breaks, request: found})
    return True


def record_run(table: CrashTable, request: str, *, at: float) -> bool:
    """Record that a request ran well; return whether it was a suspect."""
    known = table.run_at_by_request.get(request, 0)
    if at <= known or not list_crashes(table, request):
        return False
    table.run_at_by_request[request] = at
    for server in list_crashes(table, request):
        breaks = table.breaks_by_server[server]
        if breaks[request].at <= at + RECENT_SECONDS:
            _put_breaks(table, server, _drop_request(breaks, request))
    return True


def record_alive(table: CrashTable, server: str, *, at: float) -> bool:
    """Record a request sent at a time that a server answered.

    Return whether the server had been taken for crashed.
    """
    breaks = table.breaks_by_server.get(server)
    if not breaks:
        return False
    later = {
        request: found for request, found in breaks.items() if found.at > at
    }
    if len(later) == len(breaks):
        return False
    table.alive_at_by_server[server] = at
    _put_breaks(table, server, later)
    return True


def drop_old(table: CrashTable, *, at: float) -> None:
    """Forget what is old, and the oldest crashes if there are too many."""
    oldest = at - RETENTION_SECONDS
    for server in list(table.breaks_by_server):
        recent = {
            request: found
            for request, found in table.breaks_by_server[server].items()
            if found.at >= oldest
        }
        _put_breaks(table, server, recent)
    excess = len(table.breaks_by_server) - MAX_SERVERS
    for server in tuple(table.breaks_by_server)[: max(excess, 0)]:
        _put_breaks(table, server, {})
    table.run_at_by_request = _drop_before(table.run_at_by_request, oldest)
    table.alive_at_by_server = _drop_before(table.alive_at_by_server, oldest)


def list_crashes(table: CrashTable, request: str) -> list[str]:
    """Return the servers that crashed under a request, as far as known."""
    return _get_index(table).servers_by_request.get(request, [])


def compute_blame(table: CrashTable, request: str) -> float:
    """Return the sum of a request's shares of the blame for crashes."""
    blame: float = 0
    for server in list_crashes(table, request):
        breaks = table.breaks_by_server[server]
        suspicions = {
            other: found.weight * _weigh_crashes(table, other)
            for other, found in breaks.items()
        }
        blame += suspicions[request] / sum(suspicions.values())
    return blame


def is_suspect(table: CrashTable, request: str) -> bool:
    """Return whether a request is likely enough to crash the next server.

    It broke off at two, or at one before its answer had begun.
    """
    crashes = list_crashes(table, request)
    return len(crashes) > 1 or any(
        table.breaks_by_server[server][request].weight > STARTED_WEIGHT
        for server in crashes
    )


def is_deadly(table: CrashTable, request: str) -> bool:
    """Return whether a request must not run any more."""
    crashes = len(list_crashes(table, request))
    if crashes < MIN_CRASHES:
        return False
    return (
        crashes >= MAX_CRASHES or compute_blame(table, request) >= DEADLY_BLAME
    )


def is_deadly_target(table: CrashTable, target: str) -> bool:
    """Return whether no request of a target must run any more.

    If all crashes are those of one body, only this body is refused: nothing else
    could show any more that the target runs well.
    """
    bodies = {
        table.breaks_by_server[server][target].body
        for server in list_crashes(table, target)
    }
    return len(bodies) > 1 and is_deadly(table, target)


def _weigh_crashes(table: CrashTable, request: str) -> float:
    causes_by_server = _get_index(table).causes_by_server
    unexplained = sum(
        causes_by_server[server] <= {request}
        for server in list_crashes(table, request)
    )
    weight: float = SUSPICION_PER_CRASH ** (unexplained - 1)
    return weight


def _get_index(table: CrashTable) -> CrashIndex:
    if table.index is None:
        table.index = _build_index(table)
    return table.index


def _build_index(table: CrashTable) -> CrashIndex:
    servers_by_request: dict[str, list[str]] = {}
    causes = set()
    for server, breaks in table.breaks_by_server.items():
        for request in breaks:
            servers_by_request.setdefault(request, []).append(server)
        causes |= _find_causes(breaks)
    return CrashIndex(
        servers_by_request=servers_by_request,
        causes_by_server={
            name: causes.intersection(requests)
            for name, requests in table.breaks_by_server.items()
        },
    )


def _find_causes(breaks: dict[str, Break]) -> set[str]:
    least = MAIN_SHARE * sum(found.weight for found in breaks.values())
    return {
        request for request, found in breaks.items() if found.weight >= least
    }


def _drop_before(times: dict[str, float], oldest: float) -> dict[str, float]:
    return {name: at for name, at in times.items() if at >= oldest}


def _drop_request(breaks: dict[str, Break], request: str) -> dict[str, Break]:
    return {other: found for other, found in breaks.items() if other != request}


def _put_breaks(
    table: CrashTable, server: str, breaks: dict[str, Break]
) -> None:
    table.index = None
    if breaks:
        table.breaks_by_server[server] = breaks
    else:
        table.breaks_by_server.pop(server, None)
