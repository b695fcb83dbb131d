"""Tests of the limits that backend servers name, and of how VMs share them."""

import math
from typing import Any

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import GreaterThan, HasLength, LessThan

from bronzepost._internal.core.gateway.request_pace import (
    MAX_RETRY_SECONDS,
    Pace,
    start_pace,
    take_turn,
)
from bronzepost._internal.core.gateway.server_limits import (
    MAX_RATE,
    MIN_RATE,
    RAMP_SECONDS,
    RETENTION_SECONDS,
    LimitTable,
    find_rate,
    parse_limit,
    record_limit,
    record_no_limit,
)
from bronzepost._internal.core.membership import MemberChanged, MemberState
from bronzepost._internal.gateway.peers.message_parts import NamedLimit
from tests.builders_limits import (
    SERVER,
    START,
    LimitWorld,
    find_most_allowed,
)

LIMIT = 7.0
LOAD = 100.0
LOAD_SECONDS = 20.0


class TestParsing(testtools.TestCase):
    """Only decimal numbers are limits."""

    def test_decimal_numbers(self) -> None:
        for text, limit in ((b'7', 7.0), (b' 7.9 ', 7.9), (b'0', 0)):
            self.assertEqual(limit, parse_limit([text]))

    def test_values_that_are_no_limit(self) -> None:
        """Guard against limits that are never reached or stop all requests."""
        for text in (b'', b'x', b'-1', b'nan', b'inf', b'1e9', b'7 8', b'0x7'):
            self.assertIsNone(parse_limit([text]))

    def test_lowest_of_several(self) -> None:
        self.assertEqual(2.5, parse_limit([b'7', b'2.5']))
        self.assertEqual(2.5, parse_limit([b'7, 2.5, x']))


class TestLimits(testtools.TestCase):
    """The newest answer decides, whichever VM got it."""

    def name(self, rate: float, at: float = START) -> LimitTable:
        return record_limit({}, SERVER, rate=rate, at=at)

    def test_newest_answer_decides(self) -> None:
        table = record_limit(self.name(7), SERVER, rate=9, at=START + 1)
        table = record_limit(table, SERVER, rate=5, at=START)
        table = record_no_limit(table, SERVER, at=START)
        self.assertEqual(9, find_rate(table, SERVER, at=START + 1))

    def test_rate_rises_after_the_end(self) -> None:
        """Guard against all VMs sending what they have at the same moment."""
        table = record_no_limit(self.name(7), SERVER, at=START)
        table = record_no_limit(table, SERVER, at=START + 1)
        rates = [
            find_rate(table, SERVER, at=START + seconds)
            for seconds in (0, 1, 2, RAMP_SECONDS)
        ]
        self.assertEqual([7, 14, 28, math.inf], rates)

    def test_low_limit_lets_a_request_hear_of_its_end(self) -> None:
        for rate in (0, MIN_RATE / 2):
            table = self.name(rate)
            self.assertEqual(MIN_RATE, find_rate(table, SERVER, at=START))

    def test_high_limit_has_no_effect(self) -> None:
        table = self.name(MAX_RATE)
        self.assertEqual(math.inf, find_rate(table, SERVER, at=START))

    def test_limit_that_no_answer_confirms_is_forgotten(self) -> None:
        at = START + RETENTION_SECONDS + 1
        self.assertEqual(math.inf, find_rate(self.name(7), SERVER, at=at))

    def test_unreadable_limit_leaves_the_last_one(self) -> None:
        world = LimitWorld(vms=1)
        with world.run_clock():
            world.hear(b'7')
            world.hear(b'many')
            rate = world.vms[0].directory.limits.find_rate(SERVER)
        self.assertEqual(7, rate)


class TestPace(testtools.TestCase):
    """Turns keep to the rate however they are asked for."""

    @settings(derandomize=True)
    @given(
        rate=st.floats(min_value=0.5, max_value=50),
        steps=st.lists(
            st.tuples(
                st.floats(min_value=0, max_value=2),
                st.sampled_from([-0.25, 0, 0.2, 1]),
            ),
            min_size=1,
            max_size=60,
        ),
    )
    def test_turns_in_any_window(self, rate: float, steps: Any) -> None:
        """Guard against bursts above what the users' rule allows."""
        at = START
        pace = start_pace(rate=rate, at=at)
        turns = []
        for seconds, max_wait in steps:
            at += seconds / rate
            decision = take_turn(
                pace, rate=rate, at=at, max_wait_seconds=max_wait
            )
            pace = decision.pace
            if decision.is_granted:
                self.assertTrue(decision.wait_seconds <= max(max_wait, 0))
                turns.append(at + decision.wait_seconds)
        for first in turns:
            window = [turn for turn in turns if first <= turn < first + 4]
            self.assertTrue(len(window) < find_most_allowed(rate))

    def test_requests_without_a_turn_come_back_at_different_times(self) -> None:
        """Guard against callers that all ask again at one moment."""
        pace = Pace(next_at=START + 1)
        waits = []
        for _ in range(10):
            decision = take_turn(pace, rate=10, at=START, max_wait_seconds=0)
            pace = decision.pace
            waits.append(decision.wait_seconds)
        self.assertThat(set(waits), HasLength(len(waits)))
        self.assertTrue(max(waits) <= MAX_RETRY_SECONDS)


class TestSharing(testtools.TestCase):
    """All VMs together keep to the limit, and use it."""

    def send_load(self, world: LimitWorld, *, limit: float = LIMIT) -> None:
        with world.run_clock():
            world.hear(b'%.1f' % limit)
            world.send_load(*world.vms, rate=LOAD, seconds=LOAD_SECONDS)

    def test_many_vms_keep_the_limit(self) -> None:
        """Guard against a burst or a minimum for each VM, which add up."""
        for count in (1, 13, 90, 195):
            for limit in (0.5, 2.5, LIMIT):
                world = LimitWorld(vms=count)
                self.send_load(world, limit=limit)
                self.assertThat(
                    world.count_most(START), LessThan(find_most_allowed(limit))
                )

    def test_one_vm_may_use_the_whole_limit(self) -> None:
        """Guard against equal shares, which waste what idle VMs do not use."""
        world = LimitWorld(vms=13)
        with world.run_clock():
            world.hear(b'%.1f' % LIMIT)
            world.send_load(world.vms[5], rate=LOAD, seconds=LOAD_SECONDS)
        self.assertThat(
            len(world.sent_at), GreaterThan(0.9 * LIMIT * LOAD_SECONDS)
        )

    def test_requests_that_wait_have_turns_of_their_own(self) -> None:
        world = LimitWorld(vms=13)
        with world.run_clock():
            world.hear(b'%.1f' % LIMIT)
            world.send_load(
                *world.vms, rate=LOAD, seconds=LOAD_SECONDS, max_wait=0.5
            )
        self.assertThat(
            world.count_most(START), LessThan(find_most_allowed(LIMIT))
        )

    def test_lost_owner(self) -> None:
        """Guard against a limit that nobody or everybody gives out."""
        world = LimitWorld(vms=13)
        with world.run_clock():
            world.hear(b'%.1f' % LIMIT)
            world.send_load(*world.vms, rate=LOAD, seconds=5)
            world.vms_by_name.pop(world.vms.pop(0).own_name)
            lost_at = world.now
            world.send_load(*world.vms, rate=LOAD, seconds=LOAD_SECONDS)
        self.assertThat(
            world.count_most(START), LessThan(find_most_allowed(LIMIT))
        )
        later = [at for at in world.sent_at if at > lost_at]
        self.assertThat(len(later), GreaterThan(0.9 * LIMIT * LOAD_SECONDS))

    def test_two_sides_of_a_cut_share_the_limit(self) -> None:
        """Guard against an owner on each side that gives out all of it."""
        for minority in (1, 6):
            world = LimitWorld(vms=13)
            cut_off = {vm.own_name for vm in world.vms[:minority]}
            for vm in world.vms:
                is_cut_off = vm.own_name in cut_off
                others = world.vms_by_name.keys() - cut_off
                vm.cut_off = set(others) if is_cut_off else set(cut_off)
            self.send_load(world)
            self.assertThat(
                world.count_most(START), LessThan(find_most_allowed(LIMIT))
            )

    def test_vm_that_cannot_reach_the_owner_has_a_share(self) -> None:
        """Guard against a second owner beside one that others still reach."""
        world = LimitWorld(vms=13)
        world.vms[5].cut_off = {'vm-000'}
        self.send_load(world)
        self.assertThat(
            world.count_most(START), LessThan(find_most_allowed(LIMIT))
        )

    def test_lost_vms_may_still_send(self) -> None:
        """Guard against giving their share away as soon as they are dead."""
        world = LimitWorld(vms=6)
        with world.run_clock():
            for vm in world.vms:
                for number in range(7):
                    vm.lost_members.record(make_death(f'lost-{number}'))
        self.send_load(world)
        self.assertThat(
            world.count_most(START), LessThan(find_most_allowed(LIMIT * 6 / 13))
        )

    def test_peer_that_is_told_keeps_the_limit(self) -> None:
        """Guard against each VM learning a limit by exceeding it."""
        world = LimitWorld(vms=2)
        first, second = world.vms
        with world.run_clock():
            first.hear(b'7')
            for server_id, limit in first.directory.limits.list_own().items():
                second.directory.limits.receive(server_id, limit, 'vm-000')
            self.assertEqual(7, second.directory.limits.find_rate(SERVER))
            self.assertEqual({}, second.directory.limits.list_own())

    def test_old_news_of_a_peer_is_ignored(self) -> None:
        world = LimitWorld(vms=1)
        limits = world.vms[0].directory.limits
        with world.run_clock():
            world.hear(b'7')
            world.now += 1
            limits.receive(
                SERVER, NamedLimit(rate=9, age_seconds=2), sender='vm-001'
            )
            self.assertEqual(7, limits.find_rate(SERVER))
            ended = NamedLimit(rate=7, age_seconds=0.5, is_ended=True)
            limits.receive(SERVER, ended, sender='vm-001')
            self.assertEqual(0, limits.count())

    def test_server_without_limit_needs_no_permit(self) -> None:
        world = LimitWorld(vms=2)
        with world.run_clock():
            world.hear()
            self.assertTrue(world.send(world.vms[1]))
        self.assertEqual([], world.vms[1].sent)


def make_death(name: str) -> MemberChanged:
    """Return the change of a member that is declared dead."""
    return MemberChanged(
        name=name,
        previous=MemberState.SUSPECTED,
        current=MemberState.DEAD,
        incarnation=1,
    )
