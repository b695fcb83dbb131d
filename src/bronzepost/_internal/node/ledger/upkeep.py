"""End programs at their limits and keep live histories on the log."""

from typing import Any, Final

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.journal import Journal, submit_record
from bronzepost._internal.core.ledger.state import ProgramEntry
from bronzepost._internal.core.ledger.upkeep import (
    Activity,
    ProgramLimits,
    find_programs_to_end,
    list_aging_histories,
    prune_ended_programs,
)
from bronzepost._internal.exceptions import LogServiceError
from bronzepost._internal.node.callers.call_settings import SettingLookup
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.ledger.journal_keeper import JournalKeeper
from bronzepost._internal.node.ledger.log_client import LogClient
from bronzepost._internal.node.programs.program_calls import ProgramCalls
from bronzepost._internal.node.programs.program_ends import ProgramEnds
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

UPKEEP_INTERVAL_SECONDS: Final = 2.0


class ProgramUpkeep:
    """Periodic work on the programs of the partitions that this node owns."""

    def __init__(
        self,
        *,
        journal_keeper: JournalKeeper,
        program_calls: ProgramCalls,
        program_ends: ProgramEnds,
        log: LogClient,
        lookup_setting: SettingLookup,
    ) -> None:
        """Use the journals and log; ``lookup_setting`` reads settings."""
        self._journal_keeper = journal_keeper
        self._program_calls = program_calls
        self._program_ends = program_ends
        self._log = log
        self._lookup_setting = lookup_setting
        self._activity_by_program: dict[str, Activity] = {}

    def run(self) -> None:
        """End programs at their limits, prune ended ones, store histories.

        Histories near the end of the log's retention are appended again.
        """
        for journal in self._journal_keeper.list_owned_journals():
            self._end_programs(journal)
            prune_ended_programs(journal)
            self._reappend_histories(journal)

    def _end_programs(self, journal: Journal) -> None:
        reasons = find_programs_to_end(
            journal,
            self._activity_by_program,
            at=read_clock(),
            running=self._program_calls.running_by_program,
            find_limits=self._find_limits,
        )
        for program, reason in reasons.items():
            emit(LogEvent.PROGRAM_ENDED, program=program, reason=reason)
            self._program_ends.end(journal, program, reason)

    def _find_limits(self, program: ProgramEntry) -> ProgramLimits:
        root = program.program.partition('.')[0]
        scope = (program.organisation, program.service, root)
        return ProgramLimits(
            turn_limit=self._lookup_setting(*scope, 'turn_limit'),
            idle_seconds=self._lookup_setting(*scope, 'idle_seconds'),
        )

    def _reappend_histories(self, journal: Journal) -> None:
        # A pending record may be a history that was submitted before and is
        # not on the log yet; it must not be submitted once more.
        if not journal.is_settled:
            return
        for program in list_aging_histories(journal):
            self._reappend_history(journal, program)

    def _reappend_history(
        self, journal: Journal, program: ProgramEntry
    ) -> None:
        messages: list[dict[str, Any]] = []
        try:
            for offset in program.history_offsets:
                messages.extend(self._read_messages(journal, offset))
        except LogServiceError as error:
            emit(LogEvent.RETENTION_GAP, error=error, program=program.program)
            return
        snapshot = records.HistorySnapshot(
            record_id=journal.next_record_id(),
            epoch=journal.view.epoch,
            node=journal.node,
            program=program.program,
            messages=messages,
            digest=program.digest,
        )
        if submit_record(journal, snapshot).valid:
            emit(LogEvent.HISTORY_REAPPENDED, program=program.program)
            self._journal_keeper.send_pending(journal)

    def _read_messages(
        self, journal: Journal, offset: int
    ) -> list[dict[str, Any]]:
        """Return the messages of one record of a history.

        Raises:
            LogServiceError: if the log does not answer, or no longer has the
                record, or if the record is not part of a history.
        """
        page = self._log.read_records(journal.stream, offset, limit=1)
        if not page.records or page.records[0][0] != offset:
            raise LogServiceError(
                f'record {offset} is no longer on the log', step='read history'
            )
        record = records.decode_record(page.records[0][1])
        if isinstance(record, records.TurnCompleted):
            return [*record.messages, record.answer]
        if isinstance(record, records.HistorySnapshot):
            return record.messages
        raise LogServiceError(
            f'record {offset} is not part of a history', step='read history'
        )
