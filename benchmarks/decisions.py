"""Cost of a routing decision at several sizes."""

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
SLOTS = 64
PROMPT_TOKENS = 8000
OUTPUT_TOKENS = 200
CACHE_WEIGHT = 0.5
DECISIONS = 400
ZONES = 6
NANOSECONDS_PER_MICROSECOND = 1000


def build_call(number: int) -> CallRequest:
    """Return the next call of one program."""
    return CallRequest(
        program_id=f'program-{number}',
        service='pool',
        model='model',
        prompt_tokens=PROMPT_TOKENS,
        max_output_tokens=OUTPUT_TOKENS,
        availability_zone=f'zone-{number % ZONES}',
    )


def build_tables(servers: int, programs: int) -> SchedulingTables:
    """Return tables of servers and of programs that each had one call."""
    tables = SchedulingTables()
    for server in range(servers):
        row = BackendServer(
            backend_server_id=f'server-{server}',
            service='pool',
            model='model',
            availability_zone=f'zone-{server % ZONES}',
            slots=SLOTS,
        )
        apply_event(
            tables, events.BackendServerListed(at=0, backend_server=row)
        )
    for program in range(programs):
        run_call(tables, program, f'server-{program % servers}')
    return tables


def run_call(tables: SchedulingTables, program: int, identifier: str) -> None:
    """Apply the events of one call."""
    call_id = f'call-{program}'
    sent = events.CallSent(
        at=program,
        call_id=call_id,
        backend_server_id=identifier,
        call=build_call(program),
    )
    apply_event(tables, sent)
    apply_event(
        tables,
        events.CallFinished(
            at=program + 1, call_id=call_id, output_tokens=OUTPUT_TOKENS
        ),
    )


def time_decisions(policy: str, servers: int, programs: int) -> float:
    """Return the median microseconds of priority and choice for a call."""
    tables = build_tables(servers, programs)
    rules = make_policy(policy, cache_weight=CACHE_WEIGHT)
    taken: list[int] = []
    for number in range(DECISIONS):
        call = build_call(number % programs)
        started = time.perf_counter_ns()
        priority(rules, tables, call, programs)
        choose_backend_server(rules, tables, call, programs)
        taken.append(time.perf_counter_ns() - started)
    return statistics.median(taken) / NANOSECONDS_PER_MICROSECOND


def measure_decisions() -> Iterator[str]:
    """Yield a line for each policy and size."""
    for policy in POLICIES:
        for servers in SERVER_COUNTS:
            for programs in PROGRAM_COUNTS:
                taken = time_decisions(policy, servers, programs)
                yield (
                    f'{policy}: {servers} backend servers,'
                    f' {programs} programs: {taken:.1f} us'
                )
