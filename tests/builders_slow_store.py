"""A store that answers slowly and loses answers, shared by several VMs.

Times are virtual and in seconds.
"""

import contextlib
import dataclasses
import random
from collections.abc import Callable, Sequence
from typing import Any, Final

import gevent

from bronzepost._internal.exceptions import (
    AmbiguousAppendError,
    LogRefusedError,
    LogServiceError,
)
from bronzepost._internal.gateway.programs.keyed_store import (
    KeyedPartition,
    KeyedRecord,
)
from tests.builders_gateway import MemoryStore

# Timeout of a call to the store in the platform's client.
CALL_TIMEOUT_SECONDS: Final = 1.5
_SLOW_SECONDS: Final = (0.5, 1.5)
_LOST_ANSWERS: Final = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cut:
    """A VM that is cut off for a time, in seconds after the start."""

    vm: str = ''
    begins_at: float = 0
    ends_at: float = 0

    def includes(self, vm: str, at: float) -> bool:
        """Return whether a VM is cut off at a time."""
        return vm == self.vm and self.begins_at <= at < self.ends_at


@dataclasses.dataclass(kw_only=True)
class SharedStore:
    """The records of all VMs, and how the store fails.

    ``read_seconds`` returns the time since the start, and ``note_append`` is
    called with the records of each append when it takes effect.
    """

    chance: random.Random
    read_seconds: Callable[[], float]
    note_append: Callable[[Sequence[KeyedRecord]], None]
    lost_answers: float = _LOST_ANSWERS
    cut: Cut = Cut()
    stored: MemoryStore = dataclasses.field(default_factory=MemoryStore)

    def is_cut_off(self, vm: str) -> bool:
        """Return whether the store refuses a VM now."""
        return self.cut.includes(vm, self.read_seconds())

    def append(self, append: tuple[Any, ...], expected_end: int | None) -> int:
        """Append records to the store now."""
        topic, partition, records = append
        end = self.stored.append_keyed(
            topic, partition, records, expected_end=expected_end
        )
        self.note_append(records)
        return end


class SlowStore:
    """The store as one VM sees it: slow, and some answers are lost."""

    partitions = 1

    def __init__(self, *, store: SharedStore, vm: str) -> None:
        """Call a shared store from a VM."""
        self._shared = store
        self._vm = vm

    def read_partition(self, topic: str, partition: int) -> KeyedPartition:
        """Return the newest record of each key, after a while."""
        self._wait()
        return self._shared.stored.read_partition(topic, partition)

    def find_record(
        self, topic: str, partition: int, key: str
    ) -> KeyedRecord | None:
        """Return the newest record of a key, after a while."""
        self._wait()
        return self._shared.stored.find_record(topic, partition, key)

    def append_keyed(
        self,
        topic: str,
        partition: int,
        records: Sequence[KeyedRecord],
        *,
        expected_end: int | None = None,
    ) -> int:
        """Append records; without an answer they may be stored later."""
        self._check()
        chance = self._shared.chance
        seconds = chance.uniform(*_SLOW_SECONDS)
        append = (topic, partition, records)
        if chance.random() < self._shared.lost_answers:
            late = chance.uniform(0, 2 * CALL_TIMEOUT_SECONDS)
            gevent.spawn_later(late, self._append_late, append, expected_end)
            gevent.sleep(CALL_TIMEOUT_SECONDS)
            raise AmbiguousAppendError('no answer', step='append')
        before = chance.uniform(0, seconds)
        gevent.sleep(before)
        with contextlib.ExitStack() as stack:
            stack.callback(gevent.sleep, seconds - before)
            return self._shared.append(append, expected_end)

    def _append_late(self, append: tuple[Any, ...], end: int | None) -> None:
        with contextlib.suppress(LogServiceError):
            self._shared.append(append, end)

    def _check(self) -> None:
        if self._shared.is_cut_off(self._vm):
            raise LogRefusedError(
                'cut off', step='call', peer='', retry_after_seconds=1
            )

    def _wait(self) -> None:
        self._check()
        if self._shared.chance.random() < self._shared.lost_answers:
            gevent.sleep(CALL_TIMEOUT_SECONDS)
            raise LogServiceError('no answer', step='read')
        gevent.sleep(self._shared.chance.uniform(*_SLOW_SECONDS))
