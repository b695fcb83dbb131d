"""Budgets of programs whose VMs all start at once and find each other late."""

from typing import Any, Final

import gevent

from bronzepost._internal.telemetry.events import LogEvent
from tests.builders_late_members import (
    BUDGET,
    SERVED_SECONDS,
    Answer,
    LateFleet,
    start_late_fleet,
)

SEEDS: Final = range(40)
LOOP_CALLERS: Final = 4
# Three turns of this size use up what is left of the budget, and after a loss of
# all VMs nothing is assumed forgotten of such turns.
SMALL_TURN_TOKENS: Final = 250
# Tokens that the turns before the loss had generated.
SPENT_TOKENS: Final = 150


def find_end(answers: list[Answer]) -> float:
    """Return when a turn was served, in seconds after the start."""
    return answers[-1].at if answers and not answers[-1].code else float('inf')


def play_turn(seed: int, *, spent: int | None, previous: str) -> float:
    """Return when a turn was served after a loss of all VMs."""
    with start_late_fleet(seed=seed, spent=spent) as fleet:
        return find_end(
            fleet.run_turn(until=SERVED_SECONDS, previous_turn=previous)
        )


def list_turn_events(seed: int) -> list[dict[str, Any]]:
    """Return what VMs log during a turn from before a loss of all VMs."""
    with start_late_fleet(seed=seed, spent=SPENT_TOKENS) as fleet:
        fleet.run_turn(until=SERVED_SECONDS, previous_turn='t0')
        return fleet.events


def play_loop(seed: int, *, spent: int | None, previous: str) -> int:
    """Return the tokens that a loop of concurrent turns has spent in all."""
    with start_late_fleet(seed=seed, spent=spent) as fleet:
        fleet.cut_off_some()
        callers = [
            gevent.spawn(run_loop, fleet, previous) for _ in range(LOOP_CALLERS)
        ]
        gevent.joinall(callers, raise_error=True)
        return (spent or 0) + fleet.used_tokens


def run_loop(fleet: LateFleet, previous: str) -> None:
    """Run turns one after the other until the time of a test ends."""
    while fleet.seconds < SERVED_SECONDS:
        fleet.run_turn(
            until=SERVED_SECONDS,
            tokens=SMALL_TURN_TOKENS,
            previous_turn=previous,
        )


class TestLateMembers:
    """Several VMs act as the home of a program one after the other."""

    def test_next_turn_is_served_while_the_store_is_slow(self) -> None:
        """Guards against a turn that gets 503 in all its tries after a loss.

        Homes were granted tokens after they had refused the turn, returned them
        before its next try, and made each other's appends fail.
        """
        late = [
            seed
            for seed in SEEDS
            if play_turn(seed, spent=SPENT_TOKENS, previous='t0')
            > SERVED_SECONDS
        ]
        assert not late

    def test_turn_of_a_new_program_is_served_while_the_store_is_slow(
        self,
    ) -> None:
        """Guards against a new program that gets 503 in all its tries."""
        late = [
            seed
            for seed in SEEDS
            if play_turn(seed, spent=None, previous='') > SERVED_SECONDS
        ]
        assert not late

    def test_home_that_waits_for_the_store_answers_in_time(self) -> None:
        """Guards against a home that is taken for silent and replaced.

        It waited up to four times for a grant, and the VM that asked gave up.
        """
        silent = [
            (seed, event['peer'])
            for seed in SEEDS
            for event in list_turn_events(seed)
            if event.get('number') == LogEvent.HOME_SILENT.number
        ]
        assert not silent

    def test_no_token_is_granted_twice(self) -> None:
        """Guards against homes that grant what others have granted already.

        One VM is cut off from the store meanwhile, one from its peers, and
        appends without an answer take effect late.
        """
        exceeded = [
            seed
            for seed in SEEDS
            if play_loop(seed, spent=SPENT_TOKENS, previous='t0') > BUDGET
        ]
        assert not exceeded

    def test_no_token_of_a_new_program_is_granted_twice(self) -> None:
        """Guards against VMs that have found no others and agree by themselves.

        Each of them granted the pool of a new program.
        """
        exceeded = [
            seed
            for seed in SEEDS
            if play_loop(seed, spent=None, previous='') > BUDGET
        ]
        assert not exceeded
