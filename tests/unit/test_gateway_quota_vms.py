"""Tests of the quotas of workspaces over many VMs, in virtual time.

Each test names the load or the failure. In no window of 5 s more requests are
admitted than rate x window + burst, and what is refused below that is lost.
"""

import contextlib
import itertools
from collections.abc import Iterator
from typing import Any

import msgspec
import testtools
from testtools.matchers import GreaterThan, LessThan

from bronzepost._internal.core.gateway.entities import Workspace
from bronzepost._internal.core.gateway.quota_shares import (
    LOAN_SECONDS,
    RENEWAL_SECONDS,
)
from bronzepost._internal.gateway.peers.quota_messages import (
    LendShares,
    QuotaDecided,
    RequestQuota,
    SharesHeld,
    SpendQuota,
)
from bronzepost._internal.gateway.quotas.workspace_quotas import TICK_SECONDS
from tests.builders_quotas import (
    SETTLE_SECONDS,
    QuotaVm,
    QuotaWorld,
    find_bound,
    find_capacity,
    make_workspace,
)

RATE, BURST = 40.0, 20.0
LOAD = 1.5 * RATE
LIMITED = make_workspace(rate=RATE, burst=BURST)
# Sums of shares in floating point.
MOST_CAPACITY = 1 + 1e-9
QUOTA_MESSAGES = frozenset((
    LendShares,
    QuotaDecided,
    RequestQuota,
    SharesHeld,
    SpendQuota,
))


@contextlib.contextmanager
def run_world(
    vms: int, *workspaces: Workspace, **options: Any
) -> Iterator[QuotaWorld]:
    """Run VMs whose shares are in use."""
    with QuotaWorld(vms=vms, **options).run_clock() as world:
        world.put_workspaces(*(workspaces or (LIMITED,)))
        world.run(SETTLE_SECONDS)
        yield world


class QuotaTestCase(testtools.TestCase):
    """Checks of a workspace ``w``."""

    def check_used(
        self, world: QuotaWorld, least: float, *, after: float
    ) -> None:
        """Check the share of the limit that was used, and its bound."""
        self.assertThat(world.find_used('w', after=after), GreaterThan(least))
        self.check_bound(world)

    def check_bound(self, world: QuotaWorld) -> None:
        """Check that no window had more than rate x window + burst."""
        bound = find_bound(world.workspaces['w'])
        self.assertThat(world.count_most(), LessThan(bound + 1))
        self.assertThat(world.peak_capacity, LessThan(MOST_CAPACITY))


class TestLoad(QuotaTestCase):
    """No failure."""

    def test_load_above_the_limit_at_all_vms_uses_it(self) -> None:
        """One workspace asks for 1.5 times its limit, at 62 VMs."""
        with run_world(62) as world:
            start = world.now
            world.load(rate=LOAD, seconds=30)
            world.run(30)
            self.check_used(world, 0.95, after=start)

    def test_load_above_the_limit_at_one_vm_uses_it(self) -> None:
        """All callers of the workspace use one of 62 VMs."""
        with run_world(62) as world:
            start = world.now
            world.load(rate=LOAD, seconds=30, vms=world.list_running()[:1])
            world.run(30)
            self.check_used(world, 0.95, after=start)

    def test_hot_workspace_takes_nothing_from_others(self) -> None:
        """One workspace at 7.5 times its usual, 72 others keep theirs."""
        others = [
            make_workspace(f'w-{number}', rate=1, burst=5)
            for number in range(72)
        ]
        with run_world(20, LIMITED, *others) as world:
            start = world.now
            world.load(rate=7.5 * RATE, seconds=20)
            for other in others:
                world.load(other.name, rate=0.5, seconds=20)
            world.run(20)
            self.check_used(world, 0.95, after=start)
            sent = sum(
                len(world.sent_at_by_workspace[other.name]) for other in others
            )
            asked = sum(world.asked[other.name] for other in others)
            self.assertThat(sent / asked, GreaterThan(0.995))

    def test_small_quota_is_usable(self) -> None:
        """Two requests a second and no burst, at 62 VMs: each share is 0.03.

        Its bucket holds one token, so requests have to wait for the next one.
        """
        workspace = make_workspace(rate=2, burst=0)
        with run_world(62, workspace) as world:
            start = world.now
            world.load(rate=6, seconds=60, max_wait_seconds=0.5)
            world.run(60)
            # The one token of its bucket takes 1 of the 10 in a window.
            self.check_used(world, 0.85, after=start)

    def test_lowered_quota_holds_at_once(self) -> None:
        """A quota is lowered to a quarter under load, and raised again."""
        with run_world(10) as world:
            world.load(rate=LOAD, seconds=40)
            world.run(10)
            lowered = make_workspace(rate=RATE / 4, burst=BURST / 4)
            world.put_workspaces(lowered)
            start = world.now
            world.run(15)
            self.assertThat(
                world.count_most(after=start),
                LessThan(find_bound(lowered) + 1),
            )
            world.put_workspaces(LIMITED)
            start = world.now
            world.run(15)
            self.check_used(world, 0.95, after=start)

    def test_waiting_requests_are_sent_in_turn(self) -> None:
        """Guard against requests that wait for one token together."""
        with run_world(5) as world:
            world.load(rate=LOAD, seconds=20, max_wait_seconds=0.3)
            start = world.now
            world.run(20)
            self.check_used(world, 0.95, after=start)

    def test_further_sends_count(self) -> None:
        """Retries take tokens from later requests."""
        with run_world(5) as world:
            vm = world.list_running()[0]
            with world.act_as(vm):
                for _ in range(int(BURST)):
                    vm.quotas.charge(LIMITED)
            self.assertFalse(world.send(vm).is_granted)
            with world.act_as(vm):
                vm.quotas.refund(LIMITED)
                vm.quotas.refund(LIMITED, age_seconds=5)
            self.assertTrue(world.send(vm).is_granted)
            self.assertFalse(world.send(vm).is_granted)

    def test_refused_callers_are_told_different_times(self) -> None:
        """Guard against callers that come back together, or never."""
        with run_world(5) as world:
            vm = world.list_running()[0]
            decisions = [world.send(vm) for _ in range(60)]
            told = [
                decision.retry_after_seconds
                for decision in decisions
                if not decision.is_granted
            ]
            for earlier, later in itertools.pairwise(told):
                self.assertAlmostEqual(1 / RATE, later - earlier, places=6)

    def test_programs_are_not_left_half_done(self) -> None:
        """Three times as many programs begin as the quota can finish."""
        turns = 7
        with run_world(5) as world:
            done = world.run_programs(
                rate=3 * RATE / turns, seconds=60, turns=turns, pause=0.5
            )
            world.run(70)
            self.check_bound(world)
            finished = sum(count == turns for count in done)
            self.assertThat(finished * turns / (RATE * 60), GreaterThan(0.8))


class TestFailures(QuotaTestCase):
    """VMs, links and clocks that fail under 1.5 times the limit."""

    def test_killed_vms_leave_most_of_the_limit(self) -> None:
        """One of 62 VMs is killed every 5 s and does not come back."""
        with run_world(62) as world:
            start = world.now
            world.load(rate=LOAD, seconds=60)
            for _ in range(12):
                world.kill(world.rng.choice(world.list_running()))
                world.run(5)
            self.check_used(world, 0.85, after=start)

    def test_killed_owner_is_replaced(self) -> None:
        """The owner is killed; its loans end, and are lent to the next one.

        The share of the killed VM is unused for 30 s.
        """
        with run_world(10) as world:
            world.load(rate=LOAD, seconds=20)
            world.run(1)
            world.kill(world.find_owner())
            world.run(LOAN_SECONDS + RENEWAL_SECONDS + 2 * TICK_SECONDS)
            self.assertAlmostEqual(0.9, world.sum_capacity())
            start = world.now
            world.run(17)
            self.check_used(world, 0.9 * 0.95, after=start)

    def test_stopping_owner_returns_its_loans(self) -> None:
        """The owner gets SIGTERM; the next one decides at once."""
        with run_world(10) as world:
            start = world.now
            world.load(rate=LOAD, seconds=20)
            world.stop(world.find_owner())
            world.run(2 * TICK_SECONDS)
            # Shares of a tenth until they are renewed as ninths.
            self.assertThat(world.sum_capacity(), GreaterThan(0.88))
            world.run(1)
            self.assertAlmostEqual(1, world.sum_capacity())
            world.run(18)
            self.check_used(world, 0.95, after=start)

    def test_owners_that_stop_one_after_the_other(self) -> None:
        """Guard against a burst at each VM that becomes the owner."""
        with run_world(10) as world:
            start = world.now
            world.load(rate=LOAD, seconds=20)
            world.run(5)
            for _ in range(4):
                world.stop(world.find_owner())
                world.run(1.2)
            world.run(10)
            self.check_used(world, 0.9, after=start)

    def test_paused_vm_uses_no_share_of_a_smaller_fleet(self) -> None:
        """A VM of three is frozen while six others start."""
        with run_world(3) as world:
            _, (frozen, _) = split_owner(world)
            world.freeze(frozen)
            for number in range(6):
                world.start_vm(f'new-{number}')
            world.run(8)
            world.load(rate=LOAD, seconds=10)
            world.wake(frozen)
            world.run(0.2)
            self.assertThat(world.sum_capacity(), LessThan(MOST_CAPACITY))
            world.run(10)
            self.check_bound(world)

    def test_stopping_lender_recalls_its_share(self) -> None:
        """Guard against a share that is still lent when others divide it."""
        with run_world(10) as world:
            _, others = split_owner(world)
            world.stop(others[0])
            world.run(TICK_SECONDS)
            self.assertAlmostEqual(0.9, world.sum_capacity())
            world.run(2)
            self.assertAlmostEqual(1, world.sum_capacity())

    def test_frozen_owner_uses_no_loan_that_has_ended(self) -> None:
        """The owner is frozen for 0.5 to 8 s, and asked by callers after it."""
        for is_lost in (False, True):
            with run_world(10) as world:
                world.load(rate=LOAD, seconds=40)
                freeze_owners(world, 0.5, 1.5, 3, 8, is_inbox_lost=is_lost)
                self.check_bound(world)

    def test_owner_whose_clock_stood_still_hears_its_lenders(self) -> None:
        """A pause of a VM that its clock does not show, messages kept."""
        with run_world(10) as world:
            world.load(rate=LOAD, seconds=30)
            freeze_owners(world, 3, 8, is_clock_still=True)
            self.check_bound(world)

    def test_owner_whose_clock_stood_still_is_bounded(self) -> None:
        """The same with messages lost: nothing tells the owner of the pause.

        The users' bound adds a tenth and 20 requests for such faults.
        """
        with run_world(10) as world:
            world.load(rate=LOAD, seconds=30)
            freeze_owners(world, 3, 8, is_clock_still=True, is_inbox_lost=True)
            bound = find_bound(LIMITED) * 1.1 + 20
            self.assertThat(world.count_most(), LessThan(bound + 1))

    def test_owner_that_is_cut_off_alone(self) -> None:
        """The owner keeps its callers, but loses the loans and most of its rate."""
        with run_world(10) as world:
            start = world.now
            owner, others = split_owner(world)
            world.load(rate=LOAD, seconds=40)
            world.cut([owner], others)
            world.load(rate=200, seconds=20, vms=[owner])
            world.run(20)
            world.heal()
            world.run(20)
            self.check_used(world, 0.9, after=start)

    def test_halves_that_are_cut_apart(self) -> None:
        """Each half has an owner of its own, with half of the quota."""
        with run_world(10) as world:
            start = world.now
            vms = world.list_running()
            world.load(rate=LOAD, seconds=40)
            world.cut(vms[:5], vms[5:])
            world.run(20)
            world.heal()
            world.run(20)
            self.check_used(world, 0.9, after=start)

    def test_link_that_works_one_way(self) -> None:
        """Messages to or from the owner are lost, those the other way arrive."""
        for is_to_owner in (False, True):
            with run_world(10) as world:
                start = world.now
                owner, others = split_owner(world)
                groups = [others, [owner]] if is_to_owner else [[owner], others]
                world.load(rate=LOAD, seconds=40)
                world.cut(*groups, is_one_way=True)
                world.run(20)
                world.heal()
                world.run(20)
                self.check_used(world, 0.9, after=start)

    def test_loss_of_all_vms(self) -> None:
        """All VMs are killed within a window and start again, after a burst."""
        with run_world(10) as world:
            world.load(rate=LOAD, seconds=25)
            world.run(3)
            for vm in world.list_running():
                world.kill(vm)
            world.run(0.5)
            for name in list(world.vms_by_name):
                world.start_vm(name, seeds_after=3)
            world.run(10)
            start = world.now
            world.run(10)
            self.check_used(world, 0.95, after=start)

    def test_vms_that_start_have_no_share_yet(self) -> None:
        """Twenty VMs join ten; seeds are old by 3 s, gossip takes 1.5 s."""
        with run_world(10) as world:
            start = world.now
            world.load(rate=LOAD, seconds=40)
            for number in range(20):
                world.start_vm(f'new-{number}', join=1.5, seeds_after=3)
                world.run(0.3)
            world.run(34)
            self.check_used(world, 0.9, after=start)

    def test_restarted_lender_does_not_use_a_share_that_is_lent(self) -> None:
        """A lender is killed and back at once; its former loan still counts."""
        with run_world(3) as world:
            _, others = split_owner(world)
            for lender in others:
                world.kill(lender)
                world.start_vm(lender.own_name, join=0)
            world.load(rate=LOAD, seconds=20)
            world.run(20)
            self.check_bound(world)

    def test_vms_of_builds_without_quotas_get_no_message(self) -> None:
        """Four of ten VMs run the build before; their shares are unused."""
        with run_world(10, protocols=[0, 1, 0, 1, 0, 1, 0]) as world:
            start = world.now
            old = [vm for vm in world.vms_by_name.values() if not vm.protocol]
            inbox = [record_messages(vm, object) for vm in old]
            world.load(rate=LOAD, seconds=20)
            world.run(20)
            self.check_bound(world)
            self.assertThat(
                world.find_used('w', after=start), GreaterThan(0.58)
            )
            self.assertAlmostEqual(0.6, world.sum_capacity())
            self.assertEqual([[], [], [], []], inbox)

    def test_late_renewals_have_ended(self) -> None:
        """Messages to the owner are late by 1 and 3 s, its answers are not."""
        for seconds in (1, 3):
            with run_world(10) as world:
                owner, others = split_owner(world)
                world.load(rate=LOAD, seconds=25)
                for other in others:
                    link = (other.own_name, owner.own_name)
                    world.delays[link] = seconds
                world.run(15)
                world.delays.clear()
                world.run(10)
                self.check_bound(world)

    def test_reading_of_a_former_process_does_not_count(self) -> None:
        """Guard against a new VM of the same name, with another clock."""
        with run_world(3) as world:
            owner, (lender, _) = split_owner(world)
            renewals = record_messages(owner, LendShares)
            world.run(1)
            last = renewals[-1][1]
            world.kill(owner)
            restarted = world.start_vm(owner.own_name)
            restarted.receive(
                lender.own_name,
                msgspec.structs.replace(last, number=last.number + 1),
            )
            with world.act_as(restarted):
                self.assertEqual(0, find_capacity(restarted, 'w'))

    def test_late_loan_does_not_return(self) -> None:
        """A renewal arrives after the recall that was sent after it."""
        with run_world(3) as world:
            owner, (lender, other) = split_owner(world)
            renewals = record_messages(owner, LendShares)
            world.run(1)
            last = [
                message
                for sender, message in renewals
                if sender == lender.own_name
            ][-1]
            world.cut([owner], [lender, other])
            world.heal()
            with world.act_as(lender):
                lender.quotas.leave()
            before = world.sum_capacity()
            owner.receive(lender.own_name, last)
            self.assertAlmostEqual(before, world.sum_capacity())


class TestWithoutQuotas(testtools.TestCase):
    """Deployments without workspaces are served as before."""

    def test_no_message_without_a_limit(self) -> None:
        """A workspace without a limit, and requests without a workspace."""
        with run_world(5, make_workspace()) as world:
            world.load(rate=50, seconds=5)
            world.run(5)
            self.assertEqual(
                world.asked['w'], len(world.sent_at_by_workspace['w'])
            )
            vm = world.list_running()[0]
            self.assertTrue(vm.quotas.admit(None).is_granted)
            sent = {kind for vm in world.list_running() for kind in vm.sent}
            self.assertEqual(set(), sent & QUOTA_MESSAGES)

    def test_quiet_workspaces_cost_no_message(self) -> None:
        """Guard against messages that grow with the workspaces."""
        counts = []
        for number in (73, 2700):
            workspaces = [
                make_workspace(f'w-{index}', rate=1) for index in range(number)
            ]
            with run_world(10, *workspaces) as world:
                counts.append(sum(len(vm.sent) for vm in world.list_running()))
        self.assertEqual(counts[0], counts[1])


def split_owner(world: QuotaWorld) -> tuple[QuotaVm, list[QuotaVm]]:
    """Return the owner of ``w``, and the other VMs."""
    owner = world.find_owner()
    return owner, [vm for vm in world.list_running() if vm is not owner]


def freeze_owners(
    world: QuotaWorld,
    *durations: float,
    is_clock_still: bool = False,
    is_inbox_lost: bool = False,
) -> None:
    """Freeze the owner for some seconds each, and let callers ask it then."""
    for seconds in durations:
        owner = world.find_owner()
        world.freeze(owner)
        world.run(seconds)
        if is_inbox_lost:
            owner.inbox.clear()
        world.wake(owner, stood_still=seconds if is_clock_still else 0)
        world.load(rate=200, seconds=2, vms=[owner])
        world.run(6)


def record_messages(vm: QuotaVm, kind: type) -> list[tuple[str, Any]]:
    """Return a list that gets the messages of a kind that a VM receives."""
    messages: list[tuple[str, Any]] = []
    receive = vm.receive

    def record(sender: str, message: Any) -> None:
        receive(sender, message)
        if isinstance(message, kind):
            messages.append((sender, message))

    vm.receive = record  # type: ignore[method-assign]
    return messages
