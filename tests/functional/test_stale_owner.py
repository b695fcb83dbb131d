"""Tests of a former owner that has not read of its successor's claim yet."""

import time
from contextlib import ExitStack
from typing import Any

import gevent
from testtools import TestCase

from bronzepost._internal.core.ledger import calls
from bronzepost._internal.core.ledger.journal import Journal
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.node.callers.answers import AnswerStore
from bronzepost._internal.node.ledger.journal_keeper import JournalKeeper
from bronzepost._internal.node.ledger.partitions import Partitions
from bronzepost._internal.node.programs.program_calls import ProgramCalls
from tests.builders_node import build_keeper, build_log_client
from tests.functional.standin_processes import running_standin

CLAIM_TIMEOUT_SECONDS = 5
PARTITION = 7


def fail_if_run(*arguments: Any) -> None:
    """Fail the test; passed as the work of a call that must not run."""
    raise AssertionError('the call ran')


def build_partitions(node: str, journal_keeper: JournalKeeper) -> Partitions:
    """Return the partitions of a node in a cluster of two."""
    return Partitions(
        node=node,
        journal_keeper=journal_keeper,
        list_serving=lambda: frozenset(('node-a', 'node-b')),
        list_boots=lambda: {'node-a': 'a1', 'node-b': 'b1'},
        may_claim=lambda: True,
        list_running=tuple,
    )


class StaleOwnerTest(TestCase):
    """Guard the answers of a node for a partition that it has lost."""

    def setUp(self) -> None:
        """Let one node claim a partition, and then another node."""
        super().setUp()
        with ExitStack() as stack:
            address = stack.enter_context(running_standin('log'))
            self.addCleanup(stack.pop_all().close)
        self.log = build_log_client(address)
        journal_keeper, stale = self.claim('node-a')
        self.journal_keeper = journal_keeper
        self.stale = stale
        self.claim('node-b')

    def claim(self, node: str) -> tuple[JournalKeeper, Journal]:
        """Claim the partition; return its journal keeper and its journal."""
        journal_keeper = build_keeper(node, self.log, boot=f'{node[-1]}1')
        journal = journal_keeper.get_or_create_journal(PARTITION)
        self.assertTrue(journal_keeper.catch_up(journal, CLAIM_TIMEOUT_SECONDS))
        self.assertTrue(journal_keeper.claim(journal, CLAIM_TIMEOUT_SECONDS))
        return journal_keeper, journal

    def test_lost_ownership_is_detected_by_reading(self) -> None:
        """Guard against an owner that never finds out about its successor."""
        self.assertTrue(self.stale.is_owner)
        self.assertFalse(self.journal_keeper.confirm_owner(self.stale))
        self.assertEqual('node-b', self.stale.state.owner)

    def test_current_owner_is_confirmed(self) -> None:
        """Guard against an owner that refuses programs of its partition."""
        journal_keeper, journal = self.claim('node-c')
        self.assertTrue(journal_keeper.confirm_owner(journal))

    def test_stale_owner_refuses_with_a_retry(self) -> None:
        """Guard against "unknown program" when only the owner has changed."""
        program_calls = ProgramCalls(
            journal_keeper=self.journal_keeper,
            answers=AnswerStore(log=self.log),
            mirroring=self.journal_keeper.mirroring,
        )
        call = calls.CallRequest(
            program='trip-41',
            sequence=2,
            key='',
            organisation='kostiumy',
            service='pass-assistant',
            worst_case=10,
            budget=100,
        )
        refusal = self.assertRaises(
            RefusedError,
            program_calls.begin,
            self.stale,
            call,
            deadline_at=0,
            run_call=fail_if_run,
        )
        self.assertEqual('owner_unavailable', refusal.code)
        self.assertIsNotNone(refusal.retry_after_seconds)

    def test_released_partition_is_claimed(self) -> None:
        """Guard against a preferred owner that never notices a release."""
        keeper_b, _ = self.claim('node-b')
        self.assertFalse(self.journal_keeper.confirm_owner(self.stale))
        build_partitions('node-b', keeper_b).release_idle()
        partitions = build_partitions('node-a', self.journal_keeper)
        deadline = time.monotonic() + CLAIM_TIMEOUT_SECONDS
        while not self.stale.is_owner and time.monotonic() < deadline:
            partitions.tick()
            self.journal_keeper.tick()
            gevent.sleep(0.05)
        self.assertTrue(self.stale.is_owner)
