"""Describe a node to a person who is on duty."""

from collections.abc import Callable
from typing import Any

from bronzepost._internal.node.cluster import Cluster
from bronzepost._internal.node.journal_keeper import JournalKeeper
from bronzepost._internal.node.program_calls import ProgramCalls


class NodeStatus:
    """The state of a node in a few lines."""

    def __init__(
        self,
        *,
        keeper: JournalKeeper,
        programs: ProgramCalls,
        cluster: Cluster,
        is_draining: Callable[[], bool],
    ) -> None:
        """Use the parts that are described."""
        self._keeper = keeper
        self._programs = programs
        self._cluster = cluster
        self._is_draining = is_draining

    def describe(self) -> dict[str, Any]:
        """Return the state by the names of its parts."""
        journals = self._keeper.journals_by_partition.values()
        tables = self._cluster.configuration.tables
        return {
            'name': self._cluster.members.own_name,
            'state': 'draining' if self._is_draining() else 'serving',
            'configuration_offset': tables.next_offset,
            'partitions': len(self._keeper.list_owned_journals()),
            'calls_running': len(self._programs.running_by_program),
            'members': len(self._cluster.list_boots()),
            'log_failing': any(
                journal.requests.failing_since is not None
                for journal in journals
            ),
        }
