"""Estimate whether the running requests of an engine fit into its memory.

An engine crashes, or preempts requests, if what they need exceeds its memory. A
request needs its prompt and its answer, whose length is known as a maximum only. The
first part of a prompt, which requests share, is in memory once.
"""

import dataclasses
from collections.abc import Mapping
from typing import Final

from bronzepost._internal.core.gateway.entities import CallRequest, PromptPart

# Weight of a new request in the mean of its service.
SMOOTHING_FACTOR: Final = 0.05

# The running requests by the shared part of their prompts.
CountByPart = Mapping[PromptPart, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineUse:
    """What runs at an engine, as one VM knows it.

    ``own_tokens`` are those of its own requests without shared parts, which are in
    ``shared_parts``. Other VMs report the number of their requests only; each
    counts with ``mean_tokens``.
    """

    own_tokens: int
    shared_parts: frozenset[PromptPart]
    other_requests: float
    mean_tokens: float

    def estimate_tokens(self, call: CallRequest) -> float:
        """Return the tokens in memory with one more request."""
        shared = self.shared_parts
        if call.shared_part is not None:
            shared |= {call.shared_part}
        return (
            self.own_tokens
            + self.other_requests * self.mean_tokens
            + sum(part.tokens for part in shared)
            + count_own_tokens(call)
        )


def count_own_tokens(call: CallRequest) -> int:
    """Return the tokens of a request that it shares with no other one."""
    return call.unshared_tokens + call.max_output_tokens


def count_tokens(call: CallRequest) -> int:
    """Return the tokens that a request needs by itself at the most."""
    shared_tokens = sum(part.tokens for part in call.prompt_parts[:1])
    return shared_tokens + count_own_tokens(call)


def is_larger_than_engine(call: CallRequest, memory_tokens: int) -> bool:
    """Return whether no engine can run a request; 0 is an unknown memory."""
    return 0 < memory_tokens < count_tokens(call)


def is_full(use: EngineUse, call: CallRequest, memory_tokens: int) -> bool:
    """Return whether a request might exceed the memory; 0 is an unknown one.

    >>> use = EngineUse(
    ...     own_tokens=600, shared_parts=frozenset(), other_requests=2,
    ...     mean_tokens=150,
    ... )
    >>> is_full(use, CallRequest(request_id='a', max_output_tokens=100), 1000)
    False
    >>> is_full(use, CallRequest(request_id='a', max_output_tokens=101), 1000)
    True
    """
    return 0 < memory_tokens < use.estimate_tokens(call)


def update_mean(known: float | None, call: CallRequest) -> float:
    """Return the mean tokens of the requests of a service with one more."""
    tokens = count_own_tokens(call)
    if known is None:
        return tokens
    return known + SMOOTHING_FACTOR * (tokens - known)
