"""Tests of the answers that a node caches."""

from testtools import TestCase

from bronzepost._internal.node.callers import answers
from bronzepost._internal.node.callers.answer_stream import AnswerStream
from bronzepost._internal.node.callers.http_exchange import ExchangeClient
from bronzepost._internal.node.ledger.log_client import LogClient

HALF_LIMIT_BYTES = answers.MAX_CACHED_BYTES // 2 + 1


class AnswerStoreTest(TestCase):
    """Guard the memory limit of cached answers."""

    def setUp(self) -> None:
        """Create an empty store."""
        super().setUp()
        client = ExchangeClient(address='127.0.0.1:1')
        self.store = answers.AnswerStore(log=LogClient(exchange_client=client))

    def add_answer(
        self, sequence: int, *, size: int, finished: bool = True
    ) -> None:
        """Add an answer of ``size`` bytes to the store."""
        stream = AnswerStream()
        stream.append(bytes(size))
        if finished:
            stream.finish()
        self.store.add('p', sequence, stream)

    def test_oldest_answers_are_evicted_first(self) -> None:
        """Guard against answers that fill the node's memory."""
        self.add_answer(1, size=HALF_LIMIT_BYTES)
        self.add_answer(2, size=HALF_LIMIT_BYTES)
        self.assertIsNone(self.store.get('p', 1))
        self.assertIsNotNone(self.store.get('p', 2))

    def test_unfinished_answers_are_not_evicted(self) -> None:
        """Guard against evicting an answer that a caller waits for."""
        self.add_answer(1, size=HALF_LIMIT_BYTES, finished=False)
        self.add_answer(2, size=HALF_LIMIT_BYTES)
        self.add_answer(3, size=HALF_LIMIT_BYTES)
        self.assertIsNotNone(self.store.get('p', 1))
        self.assertIsNone(self.store.get('p', 2))
