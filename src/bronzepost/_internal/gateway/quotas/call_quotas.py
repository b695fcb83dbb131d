"""The tokens of one request of a caller: its first send, and each further one."""

from typing import Final

from bronzepost._internal.gateway.callers.refusals import (
    refuse_over_quota,
    refuse_quota_undecided,
)
from bronzepost._internal.gateway.quotas.workspace_quotas import (
    UNDECIDED,
    WorkspaceQuotas,
)
from bronzepost._internal.gateway.requests.pending_call import PendingCall
from bronzepost._internal.node.clock import read_clock

# The part of the target latency for which the first turn of a program waits for its
# token. A caller that is refused within a quarter of it may still be served in time
# later.
FIRST_TURN_WAIT_SHARE: Final = 0.2
# The part for other requests: one that is refused twice ends its whole program.
WAIT_SHARE: Final = 1.0


class CallQuotas:
    """Admit requests, and count what they send."""

    def __init__(self, *, quotas: WorkspaceQuotas) -> None:
        """Count on ``quotas``."""
        self._quotas = quotas

    def admit(self, pending: PendingCall) -> None:
        """Take the token for the first send of a request.

        Raises:
            RefusedError: if the workspace is over its quota, or nobody knows.
        """
        is_first_turn = pending.call.is_turn and pending.call.is_first_turn
        share = FIRST_TURN_WAIT_SHARE if is_first_turn else WAIT_SHARE
        decision = self._quotas.admit(
            pending.workspace,
            is_first_turn=is_first_turn,
            max_wait_seconds=pending.route.target_seconds * share,
        )
        if decision.reason == UNDECIDED:
            raise refuse_quota_undecided(decision.retry_after_seconds)
        if not decision.is_granted:
            raise refuse_over_quota(decision.retry_after_seconds)
        pending.token_at = read_clock()

    def record_send(self, pending: PendingCall) -> None:
        """Take a token for a further send, before it counts in ``sends``."""
        if pending.sends:
            self._quotas.charge(pending.workspace)
            pending.token_at = read_clock()

    def record_not_run(self, pending: PendingCall) -> None:
        """Give the token of a send back that was surely not run."""
        self._quotas.refund(
            pending.workspace, age_seconds=read_clock() - pending.token_at
        )

    def close(self, pending: PendingCall) -> None:
        """Give the token of a request back that has ended without a send."""
        if pending.token_at and not pending.sends:
            self.record_not_run(pending)
