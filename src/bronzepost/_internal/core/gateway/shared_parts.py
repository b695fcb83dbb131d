"""Choose the engines that keep the prompt parts which programs share.

Answers hot shared prompts: together the parts in use are larger than what the
memory of an engine holds beside its requests, and engines that serve all of
them evict each part before its next use. So each part is kept on as many
engines as their memory allows, and requests go to those. A copy must pay for
the memory it takes, as in NashDB (Marcus et al., SIGMOD 2018).

All VMs rank the engines of a part alike, so a VM only has to know which parts
are in use, its own and those that the others report.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from bronzepost._internal.core.gateway.entities import PromptPart
from bronzepost._internal.core.rendezvous import first_members

# Shared parts up to this share of an engine's memory stay in it beside a batch
# of running requests (8% of what was read on zokk-passes, at 0.31).
FITTING_SHARE: Final = 0.4
# The share that they may take otherwise; the lines of paused programs need the
# rest. Less makes the load uneven, and programs depend on fewer engines.
SHARED_MEMORY_SHARE: Final = 0.25
# A part that was not asked for at a VM for this long is not in use; programs
# last up to 20 s.
IN_USE_SECONDS: Final = 20.0

# The tokens of each part in use, and the time in seconds of its last use.
PartTable = Mapping[str, tuple[int, float]]


def note_uses(
    table: PartTable, parts: Iterable[PromptPart], *, at: float
) -> PartTable:
    """Return the parts in use after requests with some parts."""
    oldest = at - IN_USE_SECONDS
    kept = {key: use for key, use in table.items() if use[1] >= oldest}
    kept.update((part.part_id, (part.tokens, at)) for part in parts)
    return kept


def list_tokens(table: PartTable, *, at: float) -> dict[str, int]:
    """Return the tokens of each part that is in use at a time."""
    oldest = at - IN_USE_SECONDS
    return {
        key: tokens for key, (tokens, last) in table.items() if last >= oldest
    }


def count_copies(table: PartTable, *, engines: int, memory_tokens: int) -> int:
    """Return on how many engines each part in use is kept.

    All of them keep all parts if their memory is large enough, or not known.

    >>> parts = {'a': (600, 0.0), 'b': (400, 0.0)}
    >>> count_copies(parts, engines=10, memory_tokens=1000)
    2
    """
    needed = sum(tokens for tokens, _ in table.values())
    if not memory_tokens or needed <= FITTING_SHARE * memory_tokens:
        return engines
    room = SHARED_MEMORY_SHARE * memory_tokens
    return max(int(engines * room / needed), 1)


def choose_holders(
    server_ids: Iterable[str], part_id: str, copies: int
) -> frozenset[str]:
    """Return the engines that keep a part, the same at every VM."""
    return frozenset(first_members(server_ids, part_id, copies))
