"""The status of a node, as operators read it."""

from collections.abc import Callable
from typing import Any

from bronzepost._internal.node.ledger.journal_keeper import JournalKeeper
from bronzepost._internal.node.peers.cluster import Cluster
from bronzepost._internal.node.programs.program_calls import ProgramCalls


class NodeStatus:
    """Summarises the state of a node."""

    def __init__(
        self,
        *,
        journal_keeper: JournalKeeper,
        program_calls: ProgramCalls,
        cluster: Cluster,
        is_draining: Callable[[], bool],
    ) -> None:
        """Use the components whose state is summarised."""
        self._journal_keeper = journal_keeper
        self._program_calls = program_calls
        self._cluster = cluster
        self._is_draining = is_draining

    def describe(self) -> dict[str, Any]:
        """Return the fields of the status response."""
        journals = self._journal_keeper.journals_by_partition.values()
        tables = self._cluster.configuration.tables
        return {
            'name': self._cluster.members.own_name,
            'state': 'draining' if self._is_draining() else 'serving',
            'configuration_offset': tables.next_offset,
            'partitions': len(self._journal_keeper.list_owned_journals()),
            'calls_running': len(self._program_calls.running_by_program),
            'members': len(self._cluster.list_boots()),
            'log_failing': any(
                journal.requests.failing_since is not None
                for journal in journals
            ),
        }
