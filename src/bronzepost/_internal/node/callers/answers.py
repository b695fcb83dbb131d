"""Store answers for callers that repeat a call."""

from collections import OrderedDict
from typing import Any, Final

import msgspec

from bronzepost._internal.core.ledger import records
from bronzepost._internal.exceptions import LogServiceError, RunState
from bronzepost._internal.node.callers.answer_stream import AnswerStream
from bronzepost._internal.node.callers.refusals import refuse_not_durable
from bronzepost._internal.node.ledger.log_client import LogClient

MAX_CACHED_ANSWERS: Final = 512
# An idle node has about 12 MB of its 64 MB free.
MAX_CACHED_BYTES: Final = 4_000_000


class AnswerStore:
    """Cache of the latest answers; older ones are read from the log."""

    def __init__(self, *, log: LogClient) -> None:
        """Start with an empty cache."""
        self._log = log
        self._streams_by_call: OrderedDict[tuple[str, int], AnswerStream] = (
            OrderedDict()
        )

    def add(self, program: str, sequence: int, stream: AnswerStream) -> None:
        """Cache an answer that is being produced."""
        self._streams_by_call[program, sequence] = stream
        self._evict()

    def remove(self, program: str, sequence: int) -> None:
        """Remove an answer that ended with an error from the cache."""
        self._streams_by_call.pop((program, sequence), None)

    def get(self, program: str, sequence: int) -> AnswerStream | None:
        """Return a cached answer, or None."""
        return self._streams_by_call.get((program, sequence))

    def find(
        self, program: str, sequence: int, log_stream: str, offset: int
    ) -> AnswerStream:
        """Return the answer of a finished call, from the cache or the log.

        Raises:
            RefusedError: if the log does not answer or has dropped the record.
        """
        cached = self.get(program, sequence)
        if cached is not None:
            return cached
        try:
            page = self._log.read_records(log_stream, offset, limit=1)
        except LogServiceError as error:
            raise refuse_not_durable(error.message, RunState.RAN) from error
        if not page.records or page.records[0][0] != offset:
            raise refuse_not_durable('it has aged out', RunState.RAN)
        stream = _restore_answer(records.decode_record(page.records[0][1]))
        stream.sequence = sequence
        return stream

    def _evict(self) -> None:
        """Remove the oldest finished answers that exceed the limits."""
        cached = list(self._streams_by_call.items())
        count = len(cached)
        size = sum(stream.size_bytes for _, stream in cached)
        for call, stream in cached:
            if count <= MAX_CACHED_ANSWERS and size <= MAX_CACHED_BYTES:
                return
            if stream.is_finished:
                self._streams_by_call.pop(call)
                count -= 1
                size -= stream.size_bytes


def _restore_answer(record: records.Record) -> AnswerStream:
    stream = AnswerStream()
    match record:
        case records.TurnCompleted():
            stream.append(msgspec.json.encode(_build_chunk(record)))
        case records.Outcome():
            stream.append(record.body.encode())
            stream.status = record.status
    stream.finish()
    return stream


def _build_chunk(record: records.TurnCompleted) -> dict[str, Any]:
    """Return the answer as one chunk of a completion stream."""
    choice = {
        'index': 0,
        'delta': record.answer,
        'finish_reason': 'stop',
    }
    return {
        'id': f'{record.program}:{record.sequence}',
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': '',
        'choices': [choice],
    }
