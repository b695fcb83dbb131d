"""Whether this VM knows all claims on budgets that it has agreed to."""

from collections.abc import Sequence
from typing import Final

from bronzepost._internal.exceptions import LogServiceError
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.allowance_writer import (
    AllowanceWriter,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# For this long after the store answers again, or after the start, other VMs may
# have allowances that are not in the store yet. They write them twice a second,
# and a slow append takes up to 1.5 s.
STORE_RECOVERY_SECONDS: Final = 3.0


class VoterMemory:
    """The memory of one partition's claims, which a restart erases.

    It is whole again once this VM has read the claims from before its start. They
    are in the store when that has answered for ``STORE_RECOVERY_SECONDS``: their
    holders have written them by then, or other VMs if the holders are gone. Later
    claims are sent to this VM.
    """

    def __init__(
        self, *, reports: PeerReports, writer: AllowanceWriter
    ) -> None:
        """``writer`` reads the partition."""
        self.is_whole = False
        self._reports = reports
        self._writer = writer

    def restore(self) -> None:
        """Read the earlier claims if they are in the store by now.

        Raises:
            LogServiceError: if the store does not answer.
        """
        seconds = self._reports.store_available_seconds
        if self.is_whole or seconds < STORE_RECOVERY_SECONDS:
            return
        self._writer.read_claims()
        self.is_whole = True


def restore_memories(memories: Sequence[VoterMemory]) -> None:
    """Restore the memories of all partitions, until the store does not answer."""
    incomplete = [memory for memory in memories if not memory.is_whole]
    error: LogServiceError | None = None
    try:
        for memory in incomplete:
            memory.restore()
    except LogServiceError as failure:
        error = failure
    restored = sum(one.is_whole for one in incomplete)
    if restored or error:
        emit(LogEvent.CLAIMS_READ, partitions=restored, error=error)
