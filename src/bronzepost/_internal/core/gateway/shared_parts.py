"""Choose the engines that keep the prompt parts which programs share.

If the shared parts in use exceed the cache memory that an engine has left
beside its running requests, an engine that serves all parts evicts each one
before its next use. So each part is assigned to as many engines as the memory
allows, and requests with the part go to those engines. A copy has to be worth
the memory it takes, as in NashDB (Marcus et al., SIGMOD 2018).

All VMs rank the engines of a part alike, so a VM only has to know which parts
are in use: its own and those that its peers report.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from bronzepost._internal.core.gateway.entities import PromptPart
from bronzepost._internal.core.rendezvous import first_members

# Shared parts up to this fraction of an engine's memory stay cached beside a
# batch of running requests.
FITTING_MEMORY_FRACTION: Final = 0.4
# The fraction that larger sets of shared parts may take; the branches of paused
# programs need the rest. A smaller fraction leaves each part on fewer engines,
# so the load is uneven and programs depend on fewer engines.
SHARED_PARTS_MEMORY_FRACTION: Final = 0.25
# A part that no request has used for this long is no longer in use; programs
# last up to 20 s.
IN_USE_SECONDS: Final = 20.0

# The tokens of each part in use, and the time in seconds of its last use.
PartTable = Mapping[str, tuple[int, float]]


def record_uses(
    table: PartTable, parts: Iterable[PromptPart], *, at: float
) -> PartTable:
    """Return the table with the parts used at ``at``, without expired ones."""
    oldest = at - IN_USE_SECONDS
    kept = {key: use for key, use in table.items() if use[1] >= oldest}
    kept.update((part.part_id, (part.tokens, at)) for part in parts)
    return kept


def list_tokens(table: PartTable, *, at: float) -> dict[str, int]:
    """Return the tokens of each part that is in use at ``at``, by part id."""
    oldest = at - IN_USE_SECONDS
    return {
        key: tokens
        for key, (tokens, used_at) in table.items()
        if used_at >= oldest
    }


def count_copies(table: PartTable, *, engines: int, memory_tokens: int) -> int:
    """Return on how many engines each part in use is kept.

    All engines keep all parts if their memory is large enough or unknown (0).

    >>> parts = {'a': (600, 0.0), 'b': (400, 0.0)}
    >>> count_copies(parts, engines=10, memory_tokens=1000)
    2
    """
    needed = sum(tokens for tokens, _ in table.values())
    if not memory_tokens or needed <= FITTING_MEMORY_FRACTION * memory_tokens:
        return engines
    available = SHARED_PARTS_MEMORY_FRACTION * memory_tokens
    return max(int(engines * available / needed), 1)


def choose_holders(
    server_ids: Iterable[str], part_id: str, copies: int
) -> frozenset[str]:
    """Return the engines that keep a part; all VMs choose the same ones."""
    return frozenset(first_members(server_ids, part_id, copies))
