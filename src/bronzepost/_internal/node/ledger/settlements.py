"""Wait until submitted records are settled."""

import dataclasses
from collections.abc import Sequence

import gevent
from gevent.event import AsyncResult


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settlement:
    """The result of a submitted record.

    ``offset`` is its offset on the log, or -1 if only a mirror holds it.
    """

    valid: bool
    offset: int
    reason: str


class Settlements:
    """Results of the submitted records that calls wait for."""

    def __init__(self) -> None:
        """Start with no waiter."""
        self._results_by_record: dict[str, AsyncResult] = {}

    def expect(self, record_ids: Sequence[str]) -> None:
        """Store the results of these records until ``wait`` returns them.

        Call this before the records can be sent.
        """
        for record_id in record_ids:
            self._results_by_record.setdefault(record_id, AsyncResult())

    def settle(self, record_id: str, settlement: Settlement) -> None:
        """Set a record's result if it is expected."""
        result = self._results_by_record.get(record_id)
        if result is not None:
            result.set(settlement)

    def wait(
        self, record_ids: Sequence[str], timeout_seconds: float
    ) -> list[Settlement]:
        """Wait for expected records; return the results settled in time."""
        results = [
            self._results_by_record[record_id] for record_id in record_ids
        ]
        gevent.wait(results, timeout=timeout_seconds)
        for record_id in record_ids:
            self._results_by_record.pop(record_id, None)
        return [result.value for result in results if result.ready()]
