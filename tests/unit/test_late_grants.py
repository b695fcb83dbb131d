"""Tokens whose grant takes longer than a try of the turn that needs them."""

from typing import Final

import gevent

from bronzepost._internal.gateway.programs.accounts import Accounts
from bronzepost._internal.gateway.programs.allowance_writer import (
    IDLE_SECONDS,
)
from bronzepost._internal.gateway.programs.budget_keeper import (
    FLUSH_INTERVAL_SECONDS,
    RETRY_AFTER_SECONDS,
)
from bronzepost._internal.gateway.programs.grants import GRANT_TIMEOUT_SECONDS
from tests.builders_gateway import (
    BUDGET,
    MemoryStore,
    make_account,
    make_reservation,
    make_writer,
)
from tests.builders_virtual_time import run_in_virtual_time

# An append of a slow store, in seconds.
APPEND_SECONDS: Final = 1.0
# More than the time from one flush to the next.
FLUSHED_SECONDS: Final = FLUSH_INTERVAL_SECONDS + 0.1


class SlowHome:
    """A home whose store takes long, and a program of one turn."""

    def __init__(self, *, boot: str = 'x') -> None:
        """Start with the program's account; ``boot`` holds what is granted."""
        self.store = MemoryStore()
        self.store.append_delay_seconds = APPEND_SECONDS
        self.accounts = Accounts(boot=boot)
        self.accounts.put(make_account(most=BUDGET))
        self.writer = make_writer(self.store, self.accounts)

    def count_available(self) -> int:
        """Return the tokens that the home may reserve."""
        account = self.accounts.by_program['p-1']
        return account.count_available(self.accounts.holder)

    def try_turn(self) -> bool:
        """Ask for all tokens; return whether they are granted in time."""
        request = make_reservation(tokens=BUDGET)
        return self.writer.grant(request, GRANT_TIMEOUT_SECONDS)

    def flush_for(self, seconds: float) -> None:
        """Flush as often as a VM does, for some time."""
        for _ in range(int(seconds / FLUSH_INTERVAL_SECONDS) + 1):
            self.writer.flush()
            gevent.sleep(FLUSH_INTERVAL_SECONDS)


class TestLateGrants:
    """A turn is refused while its grant is being stored."""

    def test_late_grant_is_kept_for_the_next_try_of_its_turn(self) -> None:
        """Guards against tokens that are returned before the turn is retried.

        Each try then waited for a new append.
        """
        with run_in_virtual_time():
            home = SlowHome()
            assert not home.try_turn()
            gevent.sleep(APPEND_SECONDS - GRANT_TIMEOUT_SECONDS)
            home.writer.flush()
            gevent.sleep(RETRY_AFTER_SECONDS)
            assert home.count_available() == BUDGET

    def test_late_grant_that_no_turn_uses_is_returned(self) -> None:
        """Guards against tokens that stay with a VM that is asked no more.

        They are free once the grant is idle, the next flush has come, and one
        append has stored the return.
        """
        with run_in_virtual_time():
            home = SlowHome()
            assert not home.try_turn()
            gevent.sleep(APPEND_SECONDS - GRANT_TIMEOUT_SECONDS)
            home.flush_for(IDLE_SECONDS + FLUSHED_SECONDS + APPEND_SECONDS)
            other = SlowHome(boot='y')
            other.writer = make_writer(home.store, other.accounts)
            assert other.writer.grant(make_reservation(tokens=BUDGET), 60)
            assert other.count_available() == BUDGET
