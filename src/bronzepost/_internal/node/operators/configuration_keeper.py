"""Carry out the actions that the configuration requests."""

import functools
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent.event import Event

from bronzepost._internal.core import configuration as core
from bronzepost._internal.exceptions import (
    LogRefusedError,
    LogServiceError,
    RefusedError,
)
from bronzepost._internal.node.callers.refusals import refuse_unconfirmed_change
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.ledger.log_client import LogClient
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

STREAM: Final = 'configuration'
# A change that is not read back from the log by then may still be accepted.
CHANGE_TIMEOUT_SECONDS: Final = 5.0
MAX_APPEND_ATTEMPTS: Final = 3

SendMessage = Callable[[str, Any], object]
ReportOffset = Callable[[int], None]


class ConfigurationKeeper:
    """Keeps the settings tree of this node up to date."""

    def __init__(
        self,
        *,
        tables: core.ConfigurationTables,
        log: LogClient,
        send: SendMessage,
        report_offset: ReportOffset,
    ) -> None:
        """Use the log, and a transport to other nodes.

        ``report_offset`` is called with the offset up to which the tree holds
        the log.
        """
        self.tables = tables
        self.log = log
        self.send = send
        self.report_offset = report_offset
        self.changed = Event()
        self._is_ready_logged = False

    def handle_event(self, event: core.ConfigurationEvent) -> None:
        """Apply an event to the tree and carry out the resulting actions."""
        for action in core.apply_event(self.tables, event):
            carry_out(action, self)

    def tick(self) -> None:
        """Run the periodic work of the configuration."""
        self.handle_event(core.Tick(at=read_clock()))

    def log_ready_once(self) -> None:
        """Log that the node has a configuration, the first time only."""
        if self.tables.is_ready and not self._is_ready_logged:
            self._is_ready_logged = True
            emit(LogEvent.CONFIGURATION_READY, offset=self.tables.next_offset)

    def lookup(
        self, organisation: str, service: str, program: str, name: str
    ) -> core.SettingValue:
        """Return the value of a setting for a program."""
        return core.inherit(self.tables, organisation, service, program, name)

    def propose(
        self,
        *,
        path: str,
        value: core.SettingValue,
        base_revision: int,
        author: str,
    ) -> core.ChangeResult:
        """Append a change and return whether it was accepted.

        The result is known only when the record has been read back.

        Raises:
            RefusedError: if the change is not allowed, or if it is not read
                back in time; ``run`` says whether it may still be accepted.
        """
        event = core.ChangeProposed(
            at=read_clock(),
            path=path,
            value=value,
            base_revision=base_revision,
            author=author,
        )
        record_id = ''
        for action in core.apply_event(self.tables, event):
            if isinstance(action, core.AppendRecords):
                record_id = action.record_id
            carry_out(action, self)
        return self._wait_for_result(record_id)

    def append(self, action: core.AppendRecords) -> None:
        """Append records, in each attempt with the same record identifiers."""
        if not action.record_id:
            emit(LogEvent.SNAPSHOT_APPENDED)
        bodies = [core.record_to_builtins(record) for record in action.records]
        for _ in range(MAX_APPEND_ATTEMPTS):
            try:
                self.log.append_records(STREAM, bodies)
            except LogRefusedError as refused:
                gevent.sleep(refused.retry_after_seconds)
                continue
            except LogServiceError as error:
                emit(LogEvent.APPEND_AMBIGUOUS, error=error)
            break
        self.handle_event(core.RecordAppended(at=read_clock()))

    def read(self, from_offset: int) -> None:
        """Read the configuration stream; a failed read changes nothing."""
        try:
            page = self.log.read_records(STREAM, from_offset)
        except LogServiceError:
            return
        read = core.LogRead(
            at=read_clock(),
            first_offset=page.first_offset,
            next_offset=page.next_offset,
            records=tuple(
                core.RecordAtOffset(
                    offset=offset, record=core.record_from_builtins(body)
                )
                for offset, body in page.records
            ),
        )
        self.handle_event(read)

    def _wait_for_result(self, record_id: str) -> core.ChangeResult:
        end = read_clock() + CHANGE_TIMEOUT_SECONDS
        while read_clock() < end:
            outcome = core.find_result(self.tables, record_id)
            if outcome is not None:
                return outcome
            self.changed.clear()
            self.changed.wait(end - read_clock())
        refusal: RefusedError = refuse_unconfirmed_change()
        raise refusal


@functools.singledispatch
def carry_out(
    action: core.ConfigurationAction, keeper: ConfigurationKeeper
) -> None:
    """Carry out an action; a function is registered for each kind."""
    raise NotImplementedError(type(action).__name__)


@carry_out.register
def _(action: core.ReadLog, keeper: ConfigurationKeeper) -> None:
    gevent.spawn(keeper.read, action.from_offset)


@carry_out.register
def _(action: core.AppendRecords, keeper: ConfigurationKeeper) -> None:
    gevent.spawn(keeper.append, action)


@carry_out.register
def _(action: core.Send, keeper: ConfigurationKeeper) -> None:
    keeper.send(action.peer_address, action.message)


@carry_out.register
def _(action: core.OffsetReached, keeper: ConfigurationKeeper) -> None:
    keeper.log_ready_once()
    keeper.report_offset(action.next_offset)
    keeper.changed.set()


@carry_out.register
def _(action: core.ChangeAccepted, keeper: ConfigurationKeeper) -> None:
    emit(LogEvent.CHANGE_ACCEPTED, path=action.path, revision=action.revision)
    keeper.changed.set()


@carry_out.register
def _(action: core.ChangeRejected, keeper: ConfigurationKeeper) -> None:
    emit(LogEvent.CHANGE_REJECTED, path=action.path, winner=action.author)
    keeper.changed.set()
