"""Choose the engines that keep the prompt parts which programs share.

If the shared parts in use exceed the cache memory that an engine has left
beside its running requests, an engine that serves all parts evicts each one
before its next use. So each part is assigned to as many engines as its share
of the uses pays for, and requests with the part go to those engines. A copy has
to be worth the memory it takes, as in NashDB (Marcus et al., SIGMOD 2018).

All VMs rank the engines of a part alike, so a VM only has to know how often
each part is used: by its own callers and by those of its peers. VMs whose
counts differ a little choose sets of engines that differ by one or two.
"""

import dataclasses
import math
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
# Time constant of the exponential decay by which older uses count less.
USE_DECAY_SECONDS: Final = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PartUse:
    """The uses of a part, decayed to ``at``, which is the last use, in s."""

    tokens: int
    uses: float
    at: float


PartTable = Mapping[str, PartUse]
# Tokens and decayed uses by part, as a VM reports them to its peers.
ReportedParts = Mapping[str, tuple[int, float]]


def add_use(known: PartUse | None, part: PromptPart, *, at: float) -> PartUse:
    """Return the uses of a part with one at ``at`` added."""
    earlier_uses = decay_uses(known, at) if known else 0
    return PartUse(tokens=part.tokens, uses=earlier_uses + 1, at=at)


def list_in_use(table: PartTable, *, at: float) -> dict[str, PartUse]:
    """Return the parts in use at ``at``, with their uses decayed to it."""
    oldest = at - IN_USE_SECONDS
    return {
        key: dataclasses.replace(use, uses=decay_uses(use, at))
        for key, use in table.items()
        if use.at >= oldest
    }


def decay_uses(use: PartUse, at: float) -> float:
    """Return the uses of a part, decayed to the time ``at``."""
    return use.uses * math.exp((use.at - at) / USE_DECAY_SECONDS)


def sum_uses(
    own: PartTable, reports: Iterable[ReportedParts], *, at: float
) -> PartTable:
    """Return the uses at this VM together with those that peers report."""
    total = dict(own)
    for parts in reports:
        for key, (tokens, uses) in parts.items():
            known_uses = total[key].uses if key in total else 0
            total[key] = PartUse(tokens=tokens, uses=known_uses + uses, at=at)
    return total


def plan_copies(
    table: PartTable, *, engines: int, memory_tokens: int
) -> dict[str, int]:
    """Return on how many engines each part in use is kept.

    All engines keep all parts if their memory is large enough or unknown (0).
    Otherwise the copies of a part are proportional to its uses.

    >>> parts = {
    ...     'a': PartUse(tokens=500, uses=6, at=0),
    ...     'b': PartUse(tokens=500, uses=2, at=0),
    ... }
    >>> plan_copies(parts, engines=8, memory_tokens=1000)
    {'a': 3, 'b': 1}
    """
    needed = sum(use.tokens for use in table.values())
    if not memory_tokens or needed <= FITTING_MEMORY_FRACTION * memory_tokens:
        return dict.fromkeys(table, engines)
    total_uses = sum(use.uses for use in table.values())
    used_tokens = sum(use.uses * use.tokens for use in table.values())
    available = SHARED_PARTS_MEMORY_FRACTION * memory_tokens * engines
    copies_per_use = available / used_tokens if total_uses else 0
    return {
        key: min(max(round(use.uses * copies_per_use), 1), engines)
        for key, use in table.items()
    }


def choose_holders(
    server_ids: Iterable[str], part_id: str, copies: int
) -> frozenset[str]:
    """Return the engines that keep a part; all VMs choose the same ones."""
    return frozenset(first_members(server_ids, part_id, copies))
