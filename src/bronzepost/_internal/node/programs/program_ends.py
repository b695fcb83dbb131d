"""End programs and release their sessions on the engines."""

import dataclasses
from typing import Final

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.journal import Journal, submit_record
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.engines.engine_memory import EngineMemory
from bronzepost._internal.node.ledger.journal_keeper import JournalKeeper
from bronzepost._internal.node.programs.program_calls import ProgramCalls
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

END_TIMEOUT_SECONDS: Final = 2.0
_MILLISECONDS_PER_SECOND: Final = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndedProgram:
    """A program that has ended.

    ``spent`` is in units of its budget. ``durable`` tells whether the log has
    accepted the end.
    """

    program: str
    reason: str
    spent: int
    calls: int
    durable: bool


class ProgramEnds:
    """Ends programs of the partitions that this node owns."""

    def __init__(
        self,
        *,
        journal_keeper: JournalKeeper,
        engine_memory: EngineMemory,
        program_calls: ProgramCalls,
    ) -> None:
        """Use the node's journals and the sessions that engines hold."""
        self._program_calls = program_calls
        self._journal_keeper = journal_keeper
        self._engine_memory = engine_memory

    def end(
        self, journal: Journal, program: str, reason: str
    ) -> EndedProgram | None:
        """End a program and its sub-agents; return None if it is unknown.

        For a program that has ended already, the first end is returned.
        """
        entry = journal.view.programs_by_id.get(program)
        if entry is None:
            return None
        spent = entry.spent
        durable = True
        if not entry.ended:
            durable = self._append_end(journal, program, reason)
        entry = journal.view.programs_by_id[program]
        return EndedProgram(
            program=program,
            reason=entry.ended,
            spent=spent,
            calls=entry.sequence,
            durable=durable,
        )

    def _append_end(self, journal: Journal, program: str, reason: str) -> bool:
        live_tree = [
            name
            for name, entry in journal.view.programs_by_id.items()
            if not entry.ended and f'{name}.'.startswith(f'{program}.')
        ]
        record = records.ProgramEnded(
            record_id=journal.next_record_id(),
            epoch=journal.view.epoch,
            node=journal.node,
            program=program,
            reason=reason,
        )
        submit_record(journal, record)
        self._journal_keeper.settlements.expect([record.record_id])
        self._journal_keeper.send_pending(journal)
        settled = self._journal_keeper.settlements.wait(
            [record.record_id], END_TIMEOUT_SECONDS
        )
        emit(LogEvent.PROGRAM_ENDED, program=program, reason=reason)
        self._journal_keeper.metrics.count(Metric.PROGRAMS_ENDED, label=reason)
        self._report_latency(program)
        for session in live_tree:
            self._engine_memory.release_ended(session)
        return bool(settled) and settled[0].valid

    def _report_latency(self, program: str) -> None:
        # The start is unknown here if the program began on another node.
        started_at = self._program_calls.started_at_by_program.pop(
            program, None
        )
        if started_at is not None:
            elapsed = (read_clock() - started_at) * _MILLISECONDS_PER_SECOND
            self._journal_keeper.metrics.timing(Metric.PROGRAM_LATENCY, elapsed)
