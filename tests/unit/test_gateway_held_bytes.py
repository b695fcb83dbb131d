"""Tests of the account of the bytes that a VM holds for others."""

import testtools

from bronzepost._internal.core.gateway.held_bytes import (
    LARGE_BODY_BYTES,
    HeldKind,
    MemoryBudget,
    Pressure,
    find_range,
    has_room_for_body,
    judge_pressure,
    may_queue,
    plan_budget,
)
from bronzepost._internal.gateway.callers.body_account import BodyAccount
from bronzepost._internal.gateway.callers.held_memory import (
    HeldMemory,
    MemoryShortError,
)

BUDGET = MemoryBudget(total_bytes=1_000_000)
SMALLEST_VM_BYTES = 128_000_000
LARGEST_VM_BYTES = 552_000_000
# The resident memory of a process at its peak before anything is held.
RESIDENT_BYTES = 54_000_000
LARGE = LARGE_BODY_BYTES + 1


class TestBudget(testtools.TestCase):
    """The budget follows from the memory limit of the process."""

    def test_budget_leaves_room_below_the_limit(self) -> None:
        """Guard against a process that is killed while within its budget."""
        for memory_bytes in (SMALLEST_VM_BYTES, LARGEST_VM_BYTES):
            budget = plan_budget(memory_bytes)
            self.assertTrue(RESIDENT_BYTES + budget.total_bytes < memory_bytes)

    def test_budget_of_a_tiny_limit_is_not_negative(self) -> None:
        """Guard against a VM that refuses everything from its start."""
        budget = plan_budget(1)
        self.assertTrue(budget.total_bytes > 0)
        pressure = judge_pressure(budget, 0, Pressure.NONE)
        self.assertIs(Pressure.NONE, pressure)


class TestPressure(testtools.TestCase):
    """Large bodies are refused first, then all requests."""

    def judge(self, held: int, previous: Pressure) -> Pressure:
        return judge_pressure(BUDGET, held, previous)

    def test_marks(self) -> None:
        for held, expected in (
            (600_000, Pressure.NONE),
            (600_001, Pressure.LARGE_BODIES),
            (800_000, Pressure.LARGE_BODIES),
            (800_001, Pressure.FULL),
        ):
            self.assertIs(expected, self.judge(held, Pressure.NONE))

    def test_range_agrees_with_the_marks(self) -> None:
        """Guard against a pressure that is not judged when it changes."""
        for previous in Pressure:
            lowest, highest = find_range(BUDGET, previous)
            for held in range(0, 1_000_000, 5000):
                is_same = self.judge(held, previous) is previous
                self.assertEqual(lowest < held <= highest, is_same)

    def test_pressure_ends_below_the_mark_where_it_began(self) -> None:
        """Guard against requests that are refused and admitted by turns."""
        self.assertIs(Pressure.FULL, self.judge(730_000, Pressure.FULL))
        self.assertIs(Pressure.LARGE_BODIES, self.judge(719_000, Pressure.FULL))
        self.assertIs(
            Pressure.LARGE_BODIES, self.judge(550_000, Pressure.LARGE_BODIES)
        )
        self.assertIs(Pressure.NONE, self.judge(539_000, Pressure.LARGE_BODIES))


class TestBodies(testtools.TestCase):
    """A body is read only if there is room for all of it."""

    def has_room(self, body_bytes: int, **changes: int) -> bool:
        held_bytes = changes.get('held_bytes', 0)
        return has_room_for_body(
            BUDGET,
            held_bytes=held_bytes,
            announced_bytes=changes.get('announced_bytes', 0),
            body_bytes=body_bytes,
            pressure=judge_pressure(BUDGET, held_bytes, Pressure.NONE),
        )

    def test_large_body_counts_before_it_arrives(self) -> None:
        """Guard against many callers who begin to send large bodies at once."""
        self.assertIs(True, self.has_room(LARGE, announced_bytes=500_000))
        self.assertIs(False, self.has_room(LARGE, announced_bytes=550_000))

    def test_announced_bytes_keep_out_no_small_body(self) -> None:
        """Guard against callers who announce much and send nothing."""
        self.assertIs(True, self.has_room(10, announced_bytes=5_000_000))

    def test_large_body_is_refused_above_the_first_mark(self) -> None:
        self.assertIs(False, self.has_room(LARGE, held_bytes=600_001))
        self.assertIs(True, self.has_room(10, held_bytes=600_001))

    def test_body_without_length_is_refused_when_it_grows(self) -> None:
        """Guard against chunked bodies, whose size is not announced."""
        memory = HeldMemory(memory_bytes=1)
        accounts = [BodyAccount(memory) for _ in range(4)]
        body_bytes = memory.budget.total_bytes // 4
        for account in accounts[:2]:
            account.reserve(body_bytes)
            account.count_arrived(body_bytes)
        self.assertRaises(MemoryShortError, accounts[2].reserve, body_bytes)
        accounts[0].close()
        accounts[2].reserve(body_bytes)

    def test_account_is_empty_after_the_requests(self) -> None:
        """Guard against bytes that are counted for ever."""
        memory = HeldMemory()
        account = BodyAccount(memory)
        account.reserve(LARGE)
        for arrived in (1, 1000, LARGE):
            account.count_arrived(arrived)
            held = memory.bytes_by_kind
            self.assertEqual(arrived, held[HeldKind.REQUESTS])
            self.assertEqual(LARGE - arrived, held[HeldKind.ANNOUNCED])
        account.complete(LARGE)
        account.close()
        self.assertEqual(0, memory.held_bytes)
        self.assertEqual(0, memory.bytes_by_kind[HeldKind.ANNOUNCED])


class TestQueues(testtools.TestCase):
    """What is queued for callers is bounded for each and for all."""

    def may_queue(self, *, held: int, queued: int, block: int) -> bool:
        return may_queue(
            BUDGET, held_bytes=held, queued_bytes=queued, block_bytes=block
        )

    def test_bound_of_one_caller(self) -> None:
        """Guard against one slow caller who takes the memory of all."""
        self.assertIs(
            True, self.may_queue(held=50_000, queued=50_000, block=6_000)
        )
        self.assertIs(
            False, self.may_queue(held=50_000, queued=50_000, block=7_000)
        )

    def test_bound_shrinks_while_memory_fills(self) -> None:
        """Guard against slow callers for whom others are refused."""
        self.assertIs(
            True, self.may_queue(held=420_000, queued=8_000, block=2_000)
        )
        self.assertIs(
            False, self.may_queue(held=420_000, queued=8_000, block=2_001)
        )
        self.assertIs(False, self.may_queue(held=500_000, queued=1, block=1))

    def test_one_block_is_always_queued(self) -> None:
        """Guard against an answer that waits for callers who never read."""
        self.assertIs(
            True, self.may_queue(held=2_000_000, queued=0, block=60_000)
        )
