"""Tests of the buckets and of the sums of shares, without VMs."""

import dataclasses
import itertools

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import GreaterThan, LessThan

from bronzepost._internal.core.gateway.quota_shares import (
    HeldLoan,
    HeldShares,
    Lending,
    advance,
    drop_loan,
    find_loan_seconds,
    find_renewal_seconds,
    is_returned,
    put_loan,
    set_own_share,
)
from bronzepost._internal.core.gateway.quotas import (
    MAX_RETRY_SECONDS,
    MAX_STEPS,
    WINDOW_SECONDS,
    Bucket,
    BucketDecision,
    CapacityStep,
    Quota,
    add_step,
    add_tokens,
    change_quota,
    find_pace,
    settle,
    take_token,
)

QUOTA = Quota(rate=10, burst=20)
WHOLE = (CapacityStep(at=0, capacity=1),)
# Errors of sums in floating point, in tokens.
TOLERANCE = 1e-6


def take(
    bucket: Bucket, capacity: float = 1, *, is_first_turn: bool = False
) -> BucketDecision:
    """Take a token now or never."""
    return take_token(
        bucket, capacity, max_wait_seconds=0, is_first_turn=is_first_turn
    )


def fill(bucket: Bucket, at: float, *steps: CapacityStep) -> Bucket:
    """Return a bucket filled until a time."""
    return settle(bucket, steps or WHOLE, at=at)


def count_takes(bucket: Bucket, capacity: float = 1) -> int:
    """Return how many tokens a bucket gives at once."""
    count = 0
    decision = take(bucket, capacity)
    while decision.is_granted:
        count += 1
        decision = take(decision.bucket, capacity)
    return count


def take_some(
    bucket: Bucket, capacity: float, tries: int
) -> tuple[Bucket, int]:
    """Try to take tokens; return the bucket, and how many there were."""
    taken = 0
    for _ in range(tries):
        decision = take(bucket, capacity)
        bucket = decision.bucket
        taken += decision.is_granted
    return bucket, taken


class TestBuckets(testtools.TestCase):
    """A bucket fills at the rate of the capacity, up to its burst."""

    def test_bucket_begins_empty_and_fills_to_the_burst(self) -> None:
        """Guard against a burst at each VM that becomes an owner."""
        bucket = Bucket(quota=QUOTA, at=0)
        self.assertEqual(0, count_takes(bucket))
        self.assertEqual(10, count_takes(fill(bucket, 1)))
        self.assertEqual(20, count_takes(fill(bucket, 60)))

    def test_tokens_are_lost_where_the_capacity_falls(self) -> None:
        """Guard against tokens of a share that another VM uses by now."""
        steps = (*WHOLE, CapacityStep(at=60, capacity=0.25))
        bucket = fill(Bucket(quota=QUOTA, at=0), 60, *steps)
        self.assertAlmostEqual(5, bucket.level)

    def test_dip_of_the_capacity_between_two_requests_counts(self) -> None:
        """Guard against a quiet bucket that keeps what was lent elsewhere."""
        steps = (
            *WHOLE,
            CapacityStep(at=60, capacity=0),
            CapacityStep(at=61, capacity=1),
        )
        bucket = fill(Bucket(quota=QUOTA, at=0), 59)
        self.assertAlmostEqual(10, fill(bucket, 62, *steps).level)

    def test_bucket_without_history_begins_empty(self) -> None:
        """Guard against steps that are forgotten."""
        steps: tuple[CapacityStep, ...] = ()
        for at in range(MAX_STEPS + 2):
            steps = add_step(steps, at=at, capacity=at % 2)
        self.assertEqual(MAX_STEPS, len(steps))
        bucket = Bucket(quota=QUOTA, at=0, level=20)
        self.assertThat(
            settle(bucket, steps, at=steps[0].at + 0.01).level, LessThan(1.0)
        )

    def test_bucket_of_less_than_one_token_fills_more_slowly(self) -> None:
        """The tokens of a window stay its part of the quota."""
        for capacity in (0.02, 0.04, 0.3, 0.9, 1):
            pace = find_pace(Quota(rate=10, burst=0.5), capacity)
            tokens = pace.depth + pace.fill * WINDOW_SECONDS
            self.assertThat(tokens, LessThan(50.5 * capacity + TOLERANCE))
        self.assertEqual(0, find_pace(QUOTA, 0.01).fill)

    def test_lowered_quota_takes_tokens_away(self) -> None:
        """Guard against the burst of a quota that has been lowered."""
        bucket = fill(Bucket(quota=QUOTA, at=0), 60)
        lowered = change_quota(bucket, Quota(rate=1, burst=3), 1)
        self.assertEqual(3, count_takes(lowered))

    def test_debts_are_paid_first(self) -> None:
        """Guard against retries that add to the quota."""
        bucket = add_tokens(fill(Bucket(quota=QUOTA, at=0), 60), 1, -30)
        self.assertEqual(0, count_takes(fill(bucket, 61)))
        self.assertEqual(5, count_takes(fill(bucket, 61.5)))
        self.assertEqual(20, count_takes(add_tokens(bucket, 1, 1000)))

    def test_refused_requests_are_told_the_next_free_places(self) -> None:
        """Guard against callers that come back at once, or all together."""
        bucket = Bucket(quota=QUOTA, at=0)
        told = []
        for _ in range(100):
            decision = take(bucket)
            bucket = decision.bucket
            told.append(decision.wait_seconds)
        self.assertAlmostEqual(0.1, told[0])
        self.assertAlmostEqual(0.2, told[1])
        self.assertThat(max(told), LessThan(MAX_RETRY_SECONDS + TOLERANCE))
        self.assertTrue(min(told) > 0)

    def test_programs_start_only_if_they_can_end(self) -> None:
        """A program takes five requests, and the workspace is short."""
        bucket = Bucket(
            quota=QUOTA,
            at=0,
            requests=50,
            first_turns=10,
            level=5,
            refused_at=0,
        )
        self.assertFalse(take(bucket, is_first_turn=True).is_granted)
        self.assertTrue(take(bucket).is_granted)
        self.assertTrue(take(fill(bucket, 0.6), is_first_turn=True).is_granted)

    def test_programs_start_below_the_quota(self) -> None:
        """Guard against a bound on programs that costs requests."""
        bucket = Bucket(
            quota=QUOTA,
            at=0,
            requests=50,
            first_turns=10,
            level=5,
            refused_at=-WINDOW_SECONDS,
        )
        self.assertTrue(take(bucket, is_first_turn=True).is_granted)
        full = dataclasses.replace(bucket, refused_at=0, level=16)
        self.assertTrue(take(full, is_first_turn=True).is_granted)


class TestWindows(testtools.TestCase):
    """All buckets of a workspace together keep to its quota."""

    @settings(deadline=None, max_examples=100)
    @given(
        moves=st.lists(
            st.tuples(
                st.floats(min_value=0, max_value=2),
                st.integers(min_value=0, max_value=2),
                st.floats(min_value=0, max_value=1),
                st.integers(min_value=0, max_value=40),
            ),
            max_size=40,
        ),
        rate=st.floats(min_value=0.5, max_value=20),
        burst=st.integers(min_value=1, max_value=20),
    )
    def test_moving_shares_add_no_tokens(
        self,
        moves: list[tuple[float, int, float, int]],
        rate: float,
        burst: float,
    ) -> None:
        """Three VMs pass their shares on, and each takes what it can.

        A bucket that moves with less than one token may give one more.
        """
        quota = Quota(rate=rate, burst=burst)
        steps = [add_step((), at=0, capacity=0) for _ in range(3)]
        buckets = [Bucket(quota=quota, at=0) for _ in range(3)]
        at: float = 0
        times: list[float] = []
        for pause, vm, share, tries in moves:
            at += pause
            capacities = [each[-1].capacity for each in steps]
            capacities[vm] = min(share, 1 - sum(capacities) + capacities[vm])
            steps[vm] = add_step(steps[vm], at=at, capacity=capacities[vm])
            for index in range(3):
                bucket, taken = take_some(
                    settle(buckets[index], steps[index], at=at),
                    capacities[index],
                    tries,
                )
                buckets[index] = bucket
                times.extend(itertools.repeat(at, taken))
        bound = rate * WINDOW_SECONDS + burst + len(buckets)
        for first in times:
            count = sum(
                first <= each < first + WINDOW_SECONDS for each in times
            )
            self.assertThat(count, LessThan(bound + TOLERANCE + 1))


class TestHeldShares(testtools.TestCase):
    """The capacity is the sum of the loans that have not ended."""

    def hold(self, **ends: float) -> HeldShares:
        held = set_own_share(HeldShares(), own=0.25, max_share=0.25, at=0)
        for lender, end in ends.items():
            loan = HeldLoan(share=0.25, ends_at=end)
            held = put_loan(held, lender, loan, at=0)
        return held

    def test_loans_end_by_themselves(self) -> None:
        """Guard against an owner that uses shares their lenders use again."""
        held = self.hold(a=1, b=2)
        capacities = [advance(held, at=at).capacity for at in (0, 0.99, 1, 2)]
        self.assertEqual([0.75, 0.75, 0.5, 0.25], capacities)

    def test_end_is_a_step_at_its_own_time(self) -> None:
        """Guard against tokens between the end of a loan and the next request."""
        held = advance(self.hold(a=1), at=10)
        self.assertEqual(CapacityStep(at=1, capacity=0.25), held.steps[-1])

    def test_loan_that_has_ended_does_not_count(self) -> None:
        held = put_loan(self.hold(), 'a', HeldLoan(share=0.25, ends_at=1), at=1)
        self.assertEqual(0.25, held.capacity)

    def test_returned_loan_does_not_count(self) -> None:
        held = drop_loan(self.hold(a=5, b=5), 'a', at=1)
        self.assertEqual(0.5, held.capacity)
        self.assertEqual(0.5, drop_loan(held, 'a', at=2).capacity)

    def test_share_of_a_lender_that_counts_too_few_vms(self) -> None:
        """Guard against lenders that have not heard of the newest VMs."""
        held = put_loan(self.hold(), 'a', HeldLoan(share=1, ends_at=5), at=0)
        self.assertEqual(0.5, held.capacity)
        held = set_own_share(held, own=0.1, max_share=0.1, at=1)
        self.assertAlmostEqual(0.2, held.capacity)

    def test_renewals_of_many_vms_are_bounded(self) -> None:
        """Guard against owners that receive more with each VM."""
        self.assertEqual(0.5, find_renewal_seconds(10))
        self.assertAlmostEqual(100, 410 / find_renewal_seconds(410))
        for vms in (10, 90, 410):
            self.assertThat(
                find_loan_seconds(vms) / find_renewal_seconds(vms),
                GreaterThan(2.0),
            )

    def test_late_return_does_not_end_a_loan(self) -> None:
        """Guard against a return that was sent before the loan began.

        It may also be of the owner's process before, whose loan has ended.
        """
        lending = Lending(owner='b', first_number=5, ends_at=9, epoch=2)
        self.assertTrue(is_returned(lending, owner='b', epoch=2, number=5))
        self.assertFalse(is_returned(lending, owner='b', epoch=2, number=4))
        self.assertFalse(is_returned(lending, owner='b', epoch=1, number=6))
        self.assertFalse(is_returned(lending, owner='c', epoch=2, number=6))
        self.assertFalse(is_returned(None, owner='b', epoch=2, number=6))
