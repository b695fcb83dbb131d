"""Which write to the store goes next, and when."""

import dataclasses
import math
from typing import Any
from unittest import mock

import gevent
import pytest
import testtools

from bronzepost._internal.core.gateway.store_pace import (
    MAX_APPEND_BYTES,
    PROBE_SHARE,
    Location,
    Outcome,
    PaceLimits,
    Priority,
    StoreAccess,
    WaitingWrite,
    begin_attempt,
    choose_batch,
    expect_return,
    find_pause,
    needs_peer,
    record_answer,
    record_failure,
    share_limits,
)
from bronzepost._internal.exceptions import LogHeldError, LogRefusedError
from bronzepost._internal.gateway.programs.store_lane import (
    RETURN_SPREAD_SECONDS,
)
from bronzepost._internal.gateway.programs.store_pace import (
    FIRST_PAUSE_SECONDS,
    LONGEST_PAUSE_SECONDS,
    StorePace,
)
from tests.builders_gateway import MemoryStore
from tests.builders_store_pace import OldVm, PacedVm, replay_outage

LIMITS = PaceLimits(rate=10, first_pause=0.1, longest_pause=0.5)
HALF_OF_PARTITIONS = frozenset(range(6))


def make_write(key: str, *partitions: int, **changes: Any) -> WaitingWrite:
    """Return a write to partitions of one topic."""
    locations = tuple(('turns.0', number) for number in partitions)
    return WaitingWrite(key=key, locations=locations, **changes)


def make_held_access(locations: int = 3) -> StoreAccess:
    """Return the access of a VM that was refused at so many locations."""
    access = StoreAccess()
    for number in range(locations):
        access = record_failure(
            access,
            ('turns.0', number),
            Outcome.REFUSED,
            LIMITS,
            at=0,
            spread=0,
        )
    return access


def choose(
    access: StoreAccess,
    *waiting: WaitingWrite,
    busy: tuple[Location, ...] = (),
    at: float = 0,
) -> Any:
    """Return the next append."""
    return choose_batch(access, waiting, busy, at=at)


class TestReturnOfTheStore:
    """What waited is written soon after the return, and nothing is refused.

    Turns that wait once made ten appends a second each, so that the store went on
    refusing for seconds after its return, and answers broke off at their deadline.
    """

    @pytest.mark.parametrize('limits_calls', [False, True])
    @pytest.mark.parametrize('seconds', [1, 3, 10, 30])
    @pytest.mark.parametrize(('vms', 'rate'), [(10, 800), (87, 1500)])
    def test_what_waited_is_durable_within_a_second(
        self, vms: int, rate: float, seconds: float, *, limits_calls: bool
    ) -> None:
        replay = replay_outage(
            PacedVm,
            vms=vms,
            rate=rate,
            seconds=seconds,
            limits_calls=limits_calls,
        )
        waits = replay.find_waits()
        assert len(waits) > vms
        assert max(waits) <= 1

    @pytest.mark.parametrize('seed', [1, 2, 3])
    @pytest.mark.parametrize('seconds', [1, 3, 10, 30])
    def test_what_waited_is_durable_on_a_large_fleet(
        self, seconds: float, seed: int
    ) -> None:
        """With 2,000 waiting turns and a rate of 3,200, this leaves little."""
        replay = replay_outage(
            PacedVm, vms=410, rate=3200, seconds=seconds, seed=seed
        )
        assert max(replay.find_waits()) <= 1

    @pytest.mark.parametrize('limits_calls', [False, True])
    @pytest.mark.parametrize('seconds', [1, 3, 10, 30])
    @pytest.mark.parametrize(
        ('vms', 'rate'), [(87, 1500), (410, 3200), (410, 1500)]
    )
    def test_store_that_is_back_refuses_nothing(
        self, vms: int, rate: float, seconds: float, *, limits_calls: bool
    ) -> None:
        """Also if more waits than it takes in a second."""
        replay = replay_outage(
            PacedVm,
            vms=vms,
            rate=rate,
            seconds=seconds,
            limits_calls=limits_calls,
        )
        assert replay.count_refusals(1, 3) == 0

    def test_old_rule_exceeds_the_rate(self) -> None:
        """The replay shows the fault that the queue removes."""
        old, new = (
            replay_outage(
                make_vm, vms=87, rate=1500, seconds=3, limits_calls=True
            )
            for make_vm in (OldVm, PacedVm)
        )
        assert old.count_refusals(-3, -1) > 3 * old.rate
        assert old.count_refusals(0, 0) > old.rate
        assert new.count_refusals(-3, -1) < new.rate
        assert new.count_refusals(0, 0) == 0

    def test_turns_go_on_while_half_of_the_partitions_are_down(self) -> None:
        """Each turn has another partition, which must not wait for pauses."""
        replay = replay_outage(
            PacedVm,
            vms=10,
            rate=800,
            seconds=0,
            down_partitions=HALF_OF_PARTITIONS,
        )
        waits = [
            at - replay.arrived_at[key] for key, at in replay.durable_at.items()
        ]
        assert len(waits) == len(replay.arrived_at)
        assert max(waits) <= LONGEST_PAUSE_SECONDS
        assert sum(waits) <= len(waits) * FIRST_PAUSE_SECONDS


class TestChoice(testtools.TestCase):
    """The order of writes, and what holds them back."""

    def test_write_begins_at_once_while_the_store_answers(self) -> None:
        batch = choose(StoreAccess(), make_write('a', 0, 1))
        self.assertEqual((('turns.0', 0), ('a',)), (batch.location, batch.keys))

    def test_other_location_is_used_while_the_first_is_busy(self) -> None:
        """An append to a partition has to end before the next one."""
        write = make_write('a', 0, 1)
        first = choose(StoreAccess(), write, busy=(('turns.0', 0),))
        both = (('turns.0', 0), ('turns.0', 1))
        self.assertEqual(('turns.0', 1), first.location)
        self.assertIsNone(choose(StoreAccess(), write, busy=both))

    def test_other_location_is_used_after_a_refusal(self) -> None:
        access = make_held_access(1)
        batch = choose(access, make_write('a', 0, 1))
        self.assertEqual(('turns.0', 1), batch.location)

    def test_refusals_hold_all_writes(self) -> None:
        """Guards against an attempt for each write in an outage."""
        access = make_held_access()
        self.assertTrue(access.is_held)
        self.assertIsNone(choose(access, make_write('a', 8, 9)))

    def test_one_attempt_at_a_time_while_writes_are_held(self) -> None:
        access = make_held_access()
        waiting = make_write('a', 8, 9), make_write('b', 7)
        self.assertIsNotNone(choose(access, *waiting, at=1))
        busy = (('turns.0', 0),)
        self.assertIsNone(choose(access, *waiting, busy=busy, at=1))

    def test_held_writes_try_a_location_that_has_not_failed(self) -> None:
        """It tells whether partitions or the whole store are down."""
        access = make_held_access()
        urgent = make_write('a', 0, 1, deadline_at=1)
        batch = choose(access, urgent, make_write('b', 9), at=1)
        self.assertEqual(('b',), batch.keys)

    def test_write_with_the_earliest_deadline_goes_first(self) -> None:
        late = make_write('late', 0, deadline_at=9)
        batch = choose(StoreAccess(), late, make_write('a', 1, deadline_at=5))
        self.assertEqual(('a',), batch.keys)

    def test_writes_to_one_location_are_joined(self) -> None:
        waiting = [make_write(str(number), 0) for number in range(5)]
        batch = choose(StoreAccess(), *waiting, make_write('other', 1))
        self.assertEqual(('0', '1', '2', '3', '4'), batch.keys)

    def test_joined_writes_fit_into_one_append(self) -> None:
        """The store refuses more than 2 MB in one call."""
        size = MAX_APPEND_BYTES // 8
        waiting = [make_write(str(key), 0, size=size) for key in range(9)]
        batch = choose(StoreAccess(), *waiting)
        self.assertEqual(8, len(batch.keys))

    def test_write_that_the_store_rejects_goes_alone(self) -> None:
        """The others would be rejected with it."""
        large = make_write('large', 0, size=300_000, deadline_at=1)
        small = make_write('a', 0)
        batch = choose(StoreAccess(), small, large)
        self.assertEqual(('large',), batch.keys)
        large = dataclasses.replace(large, deadline_at=math.inf)
        batch = choose(StoreAccess(), small, large)
        self.assertEqual(('a',), batch.keys)


class TestAccess(testtools.TestCase):
    """What attempts tell about the access of a VM to the store."""

    def test_writes_are_paced_after_the_first_answer(self) -> None:
        """Guards against all VMs sending what waited at the same moment."""
        access = record_answer(
            make_held_access(), ('turns.0', 1), at=2, seconds=0.004
        )
        write = make_write('a', 0)
        for at in (2, 2.1, 2.2):
            self.assertIsNotNone(choose(access, write, at=at))
            access = begin_attempt(access, LIMITS, at=at)
            self.assertIsNone(choose(access, write, at=at + 0.09))

    def test_refusal_by_rate_lowers_the_pace(self) -> None:
        access = StoreAccess()
        for _ in range(3):
            access = record_failure(
                access,
                ('turns.0', 0),
                Outcome.LIMITED,
                LIMITS,
                at=0,
                spread=0.5,
            )
        self.assertEqual(0.125, access.rate_factor)
        self.assertFalse(access.is_held)
        self.assertIsNone(choose(access, make_write('a', 0), at=0.1))
        self.assertIsNotNone(choose(access, make_write('a', 0), at=0.8))

    def test_rejected_write_holds_no_others(self) -> None:
        """Guards against a turn that is too large and stops all turns."""
        access = make_held_access(2)
        for number in range(5):
            access = record_failure(
                access,
                ('turns.0', number),
                Outcome.REJECTED,
                LIMITS,
                at=0,
                spread=0,
            )
        self.assertFalse(access.is_held)
        self.assertIsNone(choose(access, make_write('a', 4), at=0))

    def test_late_answers_keep_the_pace_at_the_share(self) -> None:
        """Guards against a queue at the store that grows until it refuses."""
        access = StoreAccess(is_paced=True, rate_factor=4)
        for seconds, factor in ((0.3, 4), (0.6, 1), (0.01, 2)):
            access = record_answer(
                access, ('turns.0', 0), at=1, seconds=seconds
            )
            self.assertEqual(factor, access.rate_factor)

    def test_pauses_grow_and_are_spread(self) -> None:
        pauses = [find_pause(count, LIMITS, 1) for count in (1, 2, 3, 4, 99)]
        self.assertEqual([0.1, 0.2, 0.4, 0.5, 0.5], pauses)
        self.assertEqual(0.05, find_pause(1, LIMITS, 0))

    def test_attempts_of_a_large_fleet_stay_within_their_part(self) -> None:
        limits = share_limits(
            store_rate=1500, vms=410, first_pause=0.1, longest_pause=0.5
        )
        self.assertTrue(410 / limits.longest_pause <= 1500 * PROBE_SHARE)

    def test_lone_vm_makes_progress(self) -> None:
        limits = share_limits(
            store_rate=1, vms=410, first_pause=0.1, longest_pause=0.5
        )
        self.assertEqual(1, limits.rate)

    def test_return_of_the_store_ends_the_pauses(self) -> None:
        """A VM may have long pauses after a long outage."""
        access = make_held_access()
        for at in (1, 2, 3, 4):
            access = record_failure(
                access,
                ('turns.0', 0),
                Outcome.REFUSED,
                LIMITS,
                at=at,
                spread=1,
            )
        self.assertIsNone(choose(access, make_write('a', 0), at=4.1))
        access = expect_return(access, until=4.05)
        self.assertIsNotNone(choose(access, make_write('a', 0), at=4.1))

    def test_peer_is_needed_for_a_write_that_no_location_takes(self) -> None:
        access = make_held_access(2)
        self.assertTrue(needs_peer(access, make_write('a', 0, 1)))
        self.assertFalse(needs_peer(access, make_write('a', 1, 2)))
        self.assertTrue(needs_peer(make_held_access(), make_write('a', 8)))


class TestPacedStore(testtools.TestCase):
    """Budgets, reads and sweeps use the same access."""

    def setUp(self) -> None:
        """Open a store that is down, with counted calls."""
        super().setUp()
        self.store = MemoryStore(partitions=12)
        self.store.is_down = True
        self.calls = mock.Mock(wraps=self.store, partitions=12)
        fleet = mock.Mock()
        self.reports = mock.Mock(has_store=True)
        fleet.list_serving_peers.return_value = ()
        self.pace = StorePace(fleet=fleet, reports=self.reports)
        self.budgets = self.pace.open_store(self.calls, Priority.BUDGET)
        self.sweeps = self.pace.open_store(self.calls, Priority.SWEEP)

    def append(self, partition: int) -> str:
        """Return how an append to a partition of budgets ended."""
        try:
            self.budgets.append_keyed('budgets', partition, [])
        except LogRefusedError as error:
            return type(error).__name__
        return 'stored'

    def test_refused_budgets_make_few_calls(self) -> None:
        """A home has twelve partitions that it writes twice a second."""
        outcomes = [self.append(number) for number in range(12)]
        self.assertEqual({'LogRefusedError'}, set(outcomes[:3]))
        self.assertEqual({'LogHeldError'}, set(outcomes[3:]))
        self.assertEqual(3, self.calls.append_keyed.call_count)

    def test_refused_reads_make_few_calls(self) -> None:
        """Refused reads of missing turns were 2,240 of a day."""
        for number in range(12):
            with self.assertRaises(LogRefusedError):
                self.budgets.find_record('turns.0', number, 'k')
        self.assertEqual(3, self.calls.find_record.call_count)

    def test_budgets_go_on_with_the_store(self) -> None:
        for number in range(12):
            self.append(number)
        self.store.is_down = False
        gevent.sleep(0.11)
        self.assertEqual('stored', self.append(0))
        self.assertEqual('stored', self.append(1))

    def test_return_that_other_reads_show_ends_the_pauses(self) -> None:
        for number in range(12):
            self.append(number)
        self.reports.has_store = False
        self.append(0)
        self.store.is_down = False
        self.reports.has_store = True
        self.append(0)
        gevent.sleep(RETURN_SPREAD_SECONDS)
        self.assertEqual('stored', self.append(0))

    def test_sweeps_wait_until_nothing_else_does(self) -> None:
        for number in range(12):
            self.append(number)
        self.store.is_down = False
        gevent.sleep(0.11)
        self.append(0)
        self.assertFalse(self.pace.writes.access.is_calm)
        self.assertRaises(
            LogHeldError, self.sweeps.append_keyed, 'turns.0', 0, []
        )

    def test_silent_store_counts_as_failed_before_its_timeout(self) -> None:
        """The timeout of a call is 1.5 s."""
        self.store.is_down = False
        self.store.append_delay_seconds = math.inf
        target = 'bronzepost._internal.gateway.programs.store_lane'
        with mock.patch(f'{target}.SILENT_SECONDS', 0.01):
            for number in range(3):
                appending = gevent.spawn(self.append, number)
                self.addCleanup(appending.kill)
            gevent.sleep(0.05)
        self.assertTrue(self.pace.writes.access.is_held)
