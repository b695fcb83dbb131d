"""The account of the bytes that this VM holds for others."""

import random
from collections import Counter
from http import HTTPStatus
from typing import Final

from bronzepost._internal.core.gateway.held_bytes import (
    HeldKind,
    MemoryBudget,
    Pressure,
    find_range,
    has_room_for_body,
    judge_pressure,
    may_queue,
    plan_budget,
)
from bronzepost._internal.exceptions import ProtocolError, RefusedError
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.exposition import METRICS
from bronzepost._internal.telemetry.logs import emit

# The smallest memory limit of a VM.
DEFAULT_MEMORY_BYTES: Final = 128_000_000
# Slow callers have read some of what is held for them by then.
RETRY_AFTER_SECONDS: Final = 0.5


class MemoryShortError(ProtocolError):
    """A body is not read, since this VM holds too much."""


class HeldMemory:
    """Count held bytes by kind; ``pressure`` says what is refused."""

    def __init__(self, *, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        """Start with nothing held, for a process with a memory limit."""
        self.pressure = Pressure.NONE
        self.bytes_by_kind: Counter[HeldKind] = Counter()
        self.held_bytes = 0
        self.peak_bytes = 0
        self._budget = plan_budget(memory_bytes)
        self._range = find_range(self._budget, self.pressure)

    @property
    def budget(self) -> MemoryBudget:
        """Return the bounds of what is held."""
        return self._budget

    @property
    def is_full(self) -> bool:
        """Return whether all new requests are refused."""
        return self.pressure is Pressure.FULL

    def use_limit(self, memory_bytes: int) -> None:
        """Change the memory limit of the process."""
        self._budget = plan_budget(memory_bytes)
        self._judge()

    def open(self, kind: HeldKind) -> 'HeldBytes':
        """Return a holder of no bytes yet."""
        return HeldBytes(memory=self, kind=kind)

    def add(self, kind: HeldKind, delta: int) -> None:
        """Count bytes that are held from now on, or fewer if negative."""
        self.bytes_by_kind[kind] += delta
        if kind is HeldKind.ANNOUNCED:
            return
        self.held_bytes += delta
        if self.held_bytes > self.peak_bytes:
            self.peak_bytes = self.held_bytes
        lowest, highest = self._range
        if not lowest < self.held_bytes <= highest:
            self._judge()

    def has_room_for_body(self, body_bytes: int, own_bytes: int) -> bool:
        """Return whether a body may be read; ``own_bytes`` are held for it."""
        return has_room_for_body(
            self._budget,
            held_bytes=self.held_bytes - own_bytes,
            announced_bytes=self.bytes_by_kind[HeldKind.ANNOUNCED],
            body_bytes=body_bytes,
            pressure=self.pressure,
        )

    def may_queue(self, queued_bytes: int, block_bytes: int) -> bool:
        """Return whether a block may be queued for a caller."""
        return may_queue(
            self._budget,
            held_bytes=self.held_bytes,
            queued_bytes=queued_bytes,
            block_bytes=block_bytes,
        )

    def _judge(self) -> None:
        previous = self.pressure
        self.pressure = judge_pressure(self._budget, self.held_bytes, previous)
        if self.pressure is not previous:
            is_higher = self.pressure > previous
            emit(
                LogEvent.MEMORY_SHORT
                if is_higher
                else LogEvent.MEMORY_REGAINED,
                pressure=self.pressure.name.lower(),
                held=self.held_bytes,
                budget=self._budget.total_bytes,
                by_kind={
                    kind.value: count
                    for kind, count in self.bytes_by_kind.items()
                    if count
                },
            )


class HeldBytes:
    """The bytes that one owner holds, which ends with ``close``."""

    def __init__(self, *, memory: HeldMemory, kind: HeldKind) -> None:
        """Hold no bytes yet."""
        self.size = 0
        self._memory = memory
        self._kind = kind

    def __enter__(self) -> 'HeldBytes':
        """Return the holder."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Release all bytes."""
        self.close()

    def resize(self, size: int) -> None:
        """Hold so many bytes from now on."""
        if size != self.size:
            delta = size - self.size
            self.size = size
            self._memory.add(self._kind, delta)

    def grow(self, delta: int) -> None:
        """Hold more bytes, or fewer if negative."""
        self.resize(self.size + delta)

    def close(self) -> None:
        """Release all bytes."""
        self.resize(0)


def count_refused(kind: str) -> None:
    """Count a request that is refused for lack of memory."""
    METRICS.memory_refusals.labels(kind=kind).inc()


def refuse_memory() -> RefusedError:
    """Return the error of a VM that holds too much to take the request.

    Callers are told different times, so that they do not come back together.
    """
    spread = 1 + random.random()  # noqa: S311
    return RefusedError(
        'this VM holds too much for others to take the request',
        code='memory_short',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='read request',
        retry_after_seconds=RETRY_AFTER_SECONDS * spread,
    )
