"""Carry out what the configuration asks for."""

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
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.log_client import LogClient
from bronzepost._internal.node.refusals import refuse_unconfirmed_change
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

STREAM: Final = 'configuration'
# A change that is not read back within this time may still be accepted.
CHANGE_SECONDS: Final = 5.0
APPEND_ATTEMPTS: Final = 3

SendMessage = Callable[[str, Any], object]
ReportOffset = Callable[[int], None]


class ConfigurationKeeper:
    """The settings tree of this node, kept up to date."""

    def __init__(
        self,
        *,
        tables: core.ConfigurationTables,
        log: LogClient,
        send: SendMessage,
        report_offset: ReportOffset,
    ) -> None:
        """Use the log, and the transport to other nodes."""
        self.tables = tables
        self.log = log
        self.send = send
        self.report_offset = report_offset
        self.changed = Event()
        self._was_ready = False

    def put(self, event: core.ConfigurationEvent) -> None:
        """Let an event change the tree and start what it asks for."""
        for action in core.apply_event(self.tables, event):
            carry_out(action, self)

    def tick(self) -> None:
        """Do the periodic work."""
        self.put(core.Tick(at=read_clock()))

    def note_ready(self) -> None:
        """Log once that the node has a configuration."""
        if self.tables.is_ready and not self._was_ready:
            self._was_ready = True
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
            RefusedError: if the change is not allowed, or if the log does
                not show it in time; it tells whether it may be accepted.
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
        """Append records; the same identifiers are used for each attempt."""
        if not action.record_id:
            emit(LogEvent.SNAPSHOT_APPENDED)
        bodies = [core.record_to_builtins(record) for record in action.records]
        for _ in range(APPEND_ATTEMPTS):
            try:
                self.log.append_records(STREAM, bodies)
            except LogRefusedError as refused:
                gevent.sleep(refused.retry_after_seconds)
                continue
            except LogServiceError as error:
                emit(LogEvent.APPEND_AMBIGUOUS, error=error)
            break
        self.put(core.RecordAppended(at=read_clock()))

    def read(self, from_offset: int) -> None:
        """Read the configuration stream."""
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
        self.put(read)

    def _wait_for_result(self, record_id: str) -> core.ChangeResult:
        end = read_clock() + CHANGE_SECONDS
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
    """Do what the configuration asks for; one function a kind of action."""
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
    keeper.note_ready()
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
