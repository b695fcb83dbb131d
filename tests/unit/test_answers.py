"""Tests of the answers that a node keeps."""

from testtools import TestCase

from bronzepost._internal.node import answers
from bronzepost._internal.node.answer_stream import AnswerStream
from bronzepost._internal.node.http_exchange import HttpPeer
from bronzepost._internal.node.log_client import LogClient

HALF = answers.MAX_CACHED_BYTES // 2 + 1


class AnswerStoreTest(TestCase):
    """Guard the memory that kept answers take."""

    def setUp(self) -> None:
        """Start with an empty store."""
        super().setUp()
        peer = HttpPeer(address='127.0.0.1:1')
        self.store = answers.AnswerStore(log=LogClient(peer=peer))

    def keep(self, sequence: int, *, size: int, finished: bool = True) -> None:
        """Keep an answer of a size."""
        stream = AnswerStream()
        stream.append(bytes(size))
        if finished:
            stream.finish()
        self.store.add('p', sequence, stream)

    def test_oldest_answers_go_first(self) -> None:
        """Guard against answers that fill the node's memory."""
        self.keep(1, size=HALF)
        self.keep(2, size=HALF)
        self.assertIsNone(self.store.get('p', 1))
        self.assertIsNotNone(self.store.get('p', 2))

    def test_answers_under_way_are_kept(self) -> None:
        """Guard against losing an answer that somebody waits for."""
        self.keep(1, size=HALF, finished=False)
        self.keep(2, size=HALF)
        self.keep(3, size=HALF)
        self.assertIsNotNone(self.store.get('p', 1))
        self.assertIsNone(self.store.get('p', 2))
