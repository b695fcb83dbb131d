"""Interface of a store that keeps the newest record of each key."""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from bronzepost._internal.exceptions import LogServiceError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyedRecord:
    """A record with its key; empty content drops the key."""

    key: str
    content: bytes
    offset: int = -1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyedPartition:
    """The newest record of each key, and the end offset of the partition."""

    records: tuple[KeyedRecord, ...]
    end_offset: int


class AppendConflictError(LogServiceError):
    """The partition does not end at the expected offset; nothing was stored."""


class KeyedStore(Protocol):
    """A store of topics with partitions, shared by all VMs."""

    partitions: int

    def read_partition(self, topic: str, partition: int) -> KeyedPartition:
        """Return the newest record of each key of a partition.

        Raises:
            LogServiceError: if the store does not answer.
        """

    def find_record(
        self, topic: str, partition: int, key: str
    ) -> KeyedRecord | None:
        """Return the newest record of a key, or None if there is none.

        Raises:
            LogServiceError: if the store does not answer.
        """

    def append_keyed(
        self,
        topic: str,
        partition: int,
        records: Sequence[KeyedRecord],
        *,
        expected_end: int | None = None,
    ) -> int:
        """Append records atomically and return the offset after the last.

        With ``expected_end``, they are stored only if the partition ends at
        that offset.

        Raises:
            AppendConflictError: if the partition ends at another offset.
            LogRefusedError: if the store refused the append.
            AmbiguousAppendError: if the store may have stored the records or
                may still store them.
        """
