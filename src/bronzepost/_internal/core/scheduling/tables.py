"""The scheduler's tables and their rows."""

import collections
import dataclasses

# ``reported_at`` of a server without a load report; every report is newer.
NEVER = float('-inf')
# Mean call time that is assumed until the first call of a service has finished.
INITIAL_CALL_SECONDS = 4.0
# Bounds the list of changes of a server that stops sending load reports.
MAX_OWN_CALL_CHANGES = 4096

# Time and change (+1 or -1) of each call sent to or finished at one server.
OwnCallChanges = collections.deque[tuple[float, int]]
SUB_AGENT_SEPARATOR = '.'


def find_root(program_id: str) -> str:
    """Return the program at the root of the tree: ``a`` for ``a.b.c``."""
    return program_id.partition(SUB_AGENT_SEPARATOR)[0]


def find_parent(program_id: str) -> str:
    """Return the parent program, or an empty string for a root program."""
    return program_id.rpartition(SUB_AGENT_SEPARATOR)[0]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """A backend server by its last load report and this node's own calls.

    ``slots`` is the number of calls that the server runs at a time, and
    ``cache_capacity`` the size of the engine's memory for cached prefixes and
    calls in flight, in tokens; 0 if it is not known.
    ``own_calls_since_report`` is the number of own calls sent minus own calls
    finished since ``reported_at``; it corrects the lagging report.
    ``own_prompt_tokens_in_flight`` are the prompt tokens of own calls in
    flight. ``estimated_cache_tokens`` is the estimated length of all prefixes
    of own programs in the server's cache, including calls in flight.
    """

    backend_server_id: str
    service: str
    model: str
    availability_zone: str
    running: int = 0
    waiting: int = 0
    slots: int = 1
    cache_tokens: int = 0
    cache_capacity: int = 0
    reported_at: float = NEVER
    is_leaving: bool = False
    own_calls_since_report: int = 0
    own_calls_in_flight: int = 0
    own_prompt_tokens_in_flight: int = 0
    estimated_cache_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallRequest:
    """One model or service call that needs a backend server.

    ``importance`` is 1 to 10; a higher one is served sooner. ``model`` is
    empty for a service without a model. ``availability_zone`` is the zone of
    the sending node.
    """

    program_id: str
    service: str
    availability_zone: str
    model: str = ''
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    importance: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallInFlight:
    """A call that this node has sent and that has not finished."""

    call: CallRequest
    backend_server_id: str
    sent_at: float
    expected_cached_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CachedPrefix:
    """The estimated start of a session's history in one server's cache."""

    tokens: int
    used_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ScheduledProgram:
    """The attained service and the state of one program.

    ``attained_tokens`` and ``attained_seconds`` of a root program cover its
    whole tree. A sub-agent has its own row for its importance, its history
    and its calls in flight.
    """

    program_id: str
    service: str
    model: str
    importance: int
    started_at: float
    calls_in_flight: int = 0
    attained_tokens: int = 0
    attained_seconds: float = 0
    history_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PauseStatistics:
    """Count, moving mean and moving mean deviation of one tool's pauses."""

    count: int = 0
    mean_seconds: float = 0
    mean_deviation_seconds: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgramPause:
    """A program that has been waiting for a tool since ``paused_at``."""

    program_id: str
    tool: str
    paused_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """A new program that was refused and is expected to retry."""

    service: str
    prompt_tokens: int
    first_refused_at: float
    expected_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceStatistics:
    """Numbers of calls of a service and moving means over finished ones."""

    mean_call_seconds: float = INITIAL_CALL_SECONDS
    calls_sent: int = 0
    calls_finished: int = 0
    mean_output_tokens: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SchedulingTables:
    """All tables of one scheduler instance.

    ``prefixes_by_session`` maps a session (program id) to its prefixes by
    backend server id. ``last_server_id_by_session`` is the backend server of
    the session's last model call. ``zone_latency_seconds_by_pair`` has the
    one-way latency of each pair of availability zones, in both orders.
    ``refusals_by_program`` is in the order of the first refusals.
    """

    backend_servers_by_id: dict[str, BackendServer] = dataclasses.field(
        default_factory=dict,
    )
    backend_server_ids_by_service: dict[str, list[str]] = dataclasses.field(
        default_factory=dict,
    )
    own_call_changes_by_backend_server: dict[str, OwnCallChanges] = (
        dataclasses.field(default_factory=dict)
    )
    prefixes_by_session: dict[str, dict[str, CachedPrefix]] = dataclasses.field(
        default_factory=dict,
    )
    last_server_id_by_session: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    calls_in_flight_by_id: dict[str, CallInFlight] = dataclasses.field(
        default_factory=dict,
    )
    programs_by_id: dict[str, ScheduledProgram] = dataclasses.field(
        default_factory=dict,
    )
    sub_agents_by_root: dict[str, set[str]] = dataclasses.field(
        default_factory=dict,
    )
    history_tokens_by_service: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    live_roots_by_service: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    refusals_by_program: dict[str, Refusal] = dataclasses.field(
        default_factory=dict,
    )
    pause_statistics_by_tool: dict[str, PauseStatistics] = dataclasses.field(
        default_factory=dict,
    )
    statistics_by_service: dict[str, ServiceStatistics] = dataclasses.field(
        default_factory=dict,
    )
    zone_latency_seconds_by_pair: dict[tuple[str, str], float] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
