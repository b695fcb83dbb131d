"""Claims on budgets whose holders do not run any more."""

from collections.abc import Callable, Iterable

from bronzepost._internal.core.gateway.lost_tokens import LOST_GRANTS_HOLDER
from bronzepost._internal.core.gateway.program_account import ProgramAccount


class OrphanedClaims:
    """Find the claims that no holder will write to the store.

    A holder writes its claims when the store answers again. If it is gone, only the
    VMs with copies know of them, and those may restart too.
    """

    def __init__(self, *, is_running: Callable[[str], bool]) -> None:
        """``is_running`` tells whether the VM of a holder still runs."""
        self._is_running = is_running
        # The claims that the store has, as totals by program and holder.
        self._stored_by_claim: dict[tuple[str, str], int] = {}

    def note_stored(self, accounts: Iterable[ProgramAccount]) -> None:
        """Record that the store has the claims of some accounts."""
        for account in accounts:
            for holder in account.claimed_by_holder:
                if account.find_unstored(holder):
                    claim = account.program_id, holder
                    self._stored_by_claim[claim] = account.find_total(holder)

    def list_programs(
        self, accounts: Iterable[ProgramAccount], *, holder: str
    ) -> list[str]:
        """Return the programs with claims that are to be written for others.

        ``holder`` is this VM, which writes its own claims.
        """
        return [
            account.program_id
            for account in accounts
            if any(
                not self._is_running(name)
                for name in self._list_unwritten(account, holder)
            )
        ]

    def _list_unwritten(
        self, account: ProgramAccount, holder: str
    ) -> list[str]:
        own = account.adopted | {holder, LOST_GRANTS_HOLDER}
        return [
            name
            for name in account.claimed_by_holder.keys() - own
            if account.find_unstored(name)
            and account.find_total(name)
            > self._stored_by_claim.get((account.program_id, name), 0)
        ]
