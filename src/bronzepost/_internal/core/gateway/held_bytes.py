"""Bound the bytes that a VM holds for callers, backend servers and peers.

The process of a VM is killed above its memory limit, and callers and servers may
read slowly. What is held for them is counted by kind. Above a first mark, requests
with large bodies are refused before their body is read; above a second one, all new
requests are. Requests that have been read go on.
"""

import dataclasses
import enum
import math
from typing import Final

# The resident memory that a process needs without what it holds for others, the
# limit of docs/design.md for the overhead of a VM.
BASE_BYTES: Final = 64_000_000
# The rest of the memory is for copies that exist for a moment (the blocks of a body
# and the body), for fragments of the heap, and for bytes in sockets.
BUDGET_SHARE: Final = 0.6
# With less, not even two bodies of the largest size fit.
MIN_BUDGET_BYTES: Final = 8_388_608
# Up to this share of the budget, more is queued for slow callers. It is below the
# marks, so that what slow callers leave unread does not keep others out.
QUEUE_MARK: Final = 0.5
# The part of what is free below that mark which may be queued for one caller (dynamic
# thresholds; Choudhury and Hahne, IEEE/ACM Transactions on Networking, 1998). It
# shrinks while memory fills, so that callers who come later have a part too.
CONNECTION_SHARE: Final = 0.125
# Marks as shares of the budget. Between them there is room for small requests, and
# above the second for what running requests receive.
LARGE_BODY_MARK: Final = 0.6
FULL_MARK: Final = 0.8
# Hysteresis keeps requests from being refused and admitted by turns.
LEAVE_FACTOR: Final = 0.9
# The size of one read of a socket; a smaller body has arrived with its headers.
LARGE_BODY_BYTES: Final = 65536


class HeldKind(enum.StrEnum):
    """For what bytes are held.

    ``requests`` are bodies of requests, ``announced`` the part of them that has not
    arrived, ``prompts`` bodies with the history of a program, ``answers`` what is
    kept of answers, ``unsent`` what is queued for callers, ``tunnels`` what is
    relayed for other VMs, ``turns`` histories in memory, and ``connections`` the
    state of open connections of callers.
    """

    REQUESTS = 'requests'
    ANNOUNCED = 'announced'
    PROMPTS = 'prompts'
    ANSWERS = 'answers'
    UNSENT = 'unsent'
    TUNNELS = 'tunnels'
    TURNS = 'turns'
    CONNECTIONS = 'connections'


class Pressure(enum.IntEnum):
    """How much of the budget is used; higher numbers refuse more."""

    NONE = 0
    LARGE_BODIES = 1
    FULL = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemoryBudget:
    """How many bytes a VM holds."""

    total_bytes: int

    @property
    def connection_bytes(self) -> float:
        """Return how many bytes are queued for one caller at most."""
        return CONNECTION_SHARE * QUEUE_MARK * self.total_bytes

    @property
    def marks(self) -> dict[Pressure, float]:
        """Return the bytes above which each pressure begins."""
        return {
            Pressure.LARGE_BODIES: LARGE_BODY_MARK * self.total_bytes,
            Pressure.FULL: FULL_MARK * self.total_bytes,
        }


def plan_budget(memory_bytes: int) -> MemoryBudget:
    """Return the budget of a process with a memory limit.

    >>> plan_budget(128_000_000).total_bytes
    38400000
    """
    total_bytes = max(
        int(BUDGET_SHARE * (memory_bytes - BASE_BYTES)), MIN_BUDGET_BYTES
    )
    return MemoryBudget(total_bytes=total_bytes)


def judge_pressure(
    budget: MemoryBudget, held_bytes: int, previous: Pressure
) -> Pressure:
    """Return the pressure, which ends somewhat below the mark where it began.

    >>> budget = MemoryBudget(total_bytes=1000)
    >>> judge_pressure(budget, 601, Pressure.NONE)
    <Pressure.LARGE_BODIES: 1>
    >>> judge_pressure(budget, 560, Pressure.LARGE_BODIES)
    <Pressure.LARGE_BODIES: 1>
    >>> judge_pressure(budget, 560, Pressure.NONE)
    <Pressure.NONE: 0>
    """
    reached = Pressure.NONE
    for pressure, mark in budget.marks.items():
        factor = LEAVE_FACTOR if pressure <= previous else 1
        if held_bytes > factor * mark:
            reached = pressure
    return reached


def find_range(budget: MemoryBudget, pressure: Pressure) -> tuple[float, float]:
    """Return between which held bytes a pressure lasts.

    The first are not within the range, the second are.
    """
    marks = budget.marks
    lowest = LEAVE_FACTOR * marks.get(pressure, -math.inf)
    highest = min(
        (mark for other, mark in marks.items() if other > pressure),
        default=math.inf,
    )
    return lowest, highest


def has_room_for_body(
    budget: MemoryBudget,
    *,
    held_bytes: int,
    announced_bytes: int,
    body_bytes: int,
    pressure: Pressure,
) -> bool:
    """Return whether a body may be read.

    Large bodies that were announced earlier count in full, though they have not
    arrived. They do not count for small requests, so that callers who announce much
    and send nothing keep out none of these.
    """
    if body_bytes <= LARGE_BODY_BYTES:
        return True
    wanted_bytes = held_bytes + announced_bytes + body_bytes
    mark = budget.marks[Pressure.LARGE_BODIES]
    return pressure is Pressure.NONE and wanted_bytes <= mark


def may_queue(
    budget: MemoryBudget,
    *,
    held_bytes: int,
    queued_bytes: int,
    block_bytes: int,
) -> bool:
    """Return whether a block may be queued for a caller.

    One block is always queued, so that each caller gets its answer: at its pace,
    and without more from the server until the caller has read it.
    """
    if not queued_bytes:
        return True
    free_bytes = QUEUE_MARK * budget.total_bytes - held_bytes
    return queued_bytes + block_bytes <= CONNECTION_SHARE * free_bytes
