"""Policies of the scheduler; ``singledispatch`` selects by these classes."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """Base class of all policies."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoundRobin(Policy):
    """Baseline: backend servers in turn, calls first come, first served."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeastOutstanding(Policy):
    """Baseline: the fewest outstanding calls, first come, first served."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StickyFcfs(Policy):
    """Baseline: the session's last backend server, first come, first served."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgramAware(Policy):
    """Order, place and admit calls by what their whole program has received.

    ``cache_weight`` (0 to 1) weighs wasted cache against latency.
    ``memory_share`` (0 to 1) is the share of the engines' memory that this
    scheduler's programs may use: 1 over the number of nodes that own programs.
    """

    cache_weight: float = 0.5
    memory_share: float = 1.0


def make_policy(
    name: str,
    *,
    cache_weight: float,
    memory_share: float = 1.0,
) -> Policy:
    """Return the policy that the setting ``policy`` names.

    Raises ``KeyError`` for a name that is not a policy.
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
