"""Scheduling policies; ``singledispatch`` selects by these classes."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """Base class of all policies."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoundRobin(Policy):
    """Baseline: round-robin over backend servers, first come, first served."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeastOutstanding(Policy):
    """Baseline: server with the fewest calls, first come, first served."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StickyFcfs(Policy):
    """Baseline: the session's last backend server, first come, first served."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgramAware(Policy):
    """Order calls by attained service, place and admit them by cache and load.

    ``cache_weight`` (0 to 1) weighs wasted cache against latency.
    ``memory_share`` (0 to 1) is the share of the engines' memory that this
    scheduler's programs may use: 1 / number of nodes that own programs.
    """

    cache_weight: float = 0.5
    memory_share: float = 1.0


def make_policy(
    name: str,
    *,
    cache_weight: float,
    memory_share: float = 1.0,
) -> Policy:
    """Return the policy for a value of the setting ``policy``.

    Raises ``KeyError`` for an unknown name.
    """
    policies_by_name: dict[str, Policy] = {
        'round_robin': RoundRobin(),
        'least_outstanding': LeastOutstanding(),
        'sticky_fcfs': StickyFcfs(),
        'program_aware': ProgramAware(
            cache_weight=cache_weight, memory_share=memory_share
        ),
    }
    return policies_by_name[name]
