"""Time of a routing decision by number of servers and programs."""

import statistics
import time
from collections.abc import Iterator

from bronzepost._internal.core.scheduling import events
from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.core.scheduling.order import priority
from bronzepost._internal.core.scheduling.policies import make_policy
from bronzepost._internal.core.scheduling.routing import choose_backend_server
from bronzepost._internal.core.scheduling.tables import (
    BackendServer,
    CallRequest,
    SchedulingTables,
)

from .figures import POLICIES

SERVER_COUNTS = (12, 600)
PROGRAM_COUNTS = (100, 67000)
SLOTS_PER_SERVER = 64
PROMPT_TOKENS = 8000
OUTPUT_TOKENS = 200
CACHE_WEIGHT = 0.5
DECISION_COUNT = 400
ZONE_COUNT = 6
NANOSECONDS_PER_MICROSECOND = 1000


def build_call(number: int) -> CallRequest:
    """Return a model call of the program with this number."""
    return CallRequest(
        program_id=f'program-{number}',
        service='pool',
        model='model',
        prompt_tokens=PROMPT_TOKENS,
        max_output_tokens=OUTPUT_TOKENS,
        availability_zone=f'zone-{number % ZONE_COUNT}',
    )


def build_tables(servers: int, programs: int) -> SchedulingTables:
    """Return tables of servers and of programs with one finished call each."""
    tables = SchedulingTables()
    for server in range(servers):
        backend_server = BackendServer(
            backend_server_id=f'server-{server}',
            service='pool',
            model='model',
            availability_zone=f'zone-{server % ZONE_COUNT}',
            slots=SLOTS_PER_SERVER,
        )
        apply_event(
            tables,
            events.BackendServerListed(at=0, backend_server=backend_server),
        )
    for program in range(programs):
        apply_call(tables, program, f'server-{program % servers}')
    return tables


def apply_call(tables: SchedulingTables, program: int, server_id: str) -> None:
    """Apply the start and the end of a program's call at one server."""
    call_id = f'call-{program}'
    sent = events.CallSent(
        at=program,
        call_id=call_id,
        backend_server_id=server_id,
        call=build_call(program),
    )
    apply_event(tables, sent)
    apply_event(
        tables,
        events.CallFinished(
            at=program + 1, call_id=call_id, output_tokens=OUTPUT_TOKENS
        ),
    )


def time_decisions(policy_name: str, servers: int, programs: int) -> float:
    """Return the median microseconds to rank a call and choose its server."""
    tables = build_tables(servers, programs)
    policy = make_policy(policy_name, cache_weight=CACHE_WEIGHT)
    durations: list[int] = []
    for number in range(DECISION_COUNT):
        call = build_call(number % programs)
        started = time.perf_counter_ns()
        priority(policy, tables, call, programs)
        choose_backend_server(policy, tables, call, programs)
        durations.append(time.perf_counter_ns() - started)
    return statistics.median(durations) / NANOSECONDS_PER_MICROSECOND


def measure_decisions() -> Iterator[str]:
    """Yield a line of text for each policy and size."""
    for policy in POLICIES:
        for servers in SERVER_COUNTS:
            for programs in PROGRAM_COUNTS:
                microseconds = time_decisions(policy, servers, programs)
                yield (
                    f'{policy}: {servers} backend servers,'
                    f' {programs} programs: {microseconds:.1f} us'
                )
