"""Typed form of ``shapes.toml``."""

import pathlib

import msgspec

SHAPES_PATH = pathlib.Path(__file__).parent / 'shapes.toml'


class Lognormal(msgspec.Struct, frozen=True, kw_only=True):
    """A clipped lognormal distribution."""

    median: float
    sigma: float
    low: float
    high: float


class EngineShape(msgspec.Struct, frozen=True, kw_only=True):
    """Speeds, limits and delays of one model engine."""

    slots: int
    step_base_seconds: float
    step_seconds_per_sequence: float
    prefill_tokens_per_second: float
    prefill_chunk_tokens: int
    block_tokens: int
    report_interval_seconds: float
    report_lag_seconds: float
    cache_event_lag_seconds: float
    cache_event_gap_fraction: float


class PlainShape(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one server of a plain service."""

    slots: int


class ProgramDistributions(msgspec.Struct, frozen=True, kw_only=True):
    """Distributions from which programs are drawn."""

    turns: Lognormal
    first_prompt_tokens: Lognormal
    growth_tokens: Lognormal
    output_tokens: Lognormal
    context_limit_tokens: int
    max_output_tokens: int
    sub_agent_share: float
    sub_agents_high: int
    sub_agent_turns: Lognormal
    sub_agent_prompt_tokens: Lognormal
    important_share: float
    importance: int
    high_importance: int


class Tool(msgspec.Struct, frozen=True, kw_only=True):
    """A tool that programs call between two turns.

    ``share`` is the probability of the tool, and ``routed`` says whether the
    call goes to a plain service; otherwise the program only pauses.
    """

    name: str
    share: float
    routed: bool
    seconds: Lognormal


class CacheShape(msgspec.Struct, frozen=True, kw_only=True):
    """Total size of all prefix caches, as a share of the working set."""

    working_set_share: float


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """Servers and ordinary load of one organisation."""

    name: str
    cache_weight: float
    zones: tuple[str, ...]
    zone_distance_seconds: float
    engine_service: str
    engine_zones: tuple[int, ...]
    plain_service: str
    plain_zones: tuple[int, ...]
    programs_per_second: float
    lookups_per_second: float


class TraceShape(msgspec.Struct, frozen=True, kw_only=True):
    """Arrivals and faults of one trace; times in seconds."""

    name: str
    seconds: float
    crowd_from: float = 0
    crowd_until: float = 0
    crowd_factor: float = 1
    zone_lost_at: float | None = None
    detection_seconds: float = 0
    with_lookups: bool = False


class Shapes(msgspec.Struct, frozen=True, kw_only=True):
    """Contents of ``shapes.toml``."""

    engine: EngineShape
    plain: PlainShape
    shape: ProgramDistributions
    tools: tuple[Tool, ...]
    cache: CacheShape
    deployments: tuple[Deployment, ...]
    traces: tuple[TraceShape, ...]


def load_shapes() -> Shapes:
    """Read and validate ``shapes.toml``."""
    return msgspec.toml.decode(SHAPES_PATH.read_bytes(), type=Shapes)
