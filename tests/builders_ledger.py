"""An in-memory log, and a node whose journal uses it."""

import dataclasses
import enum
from typing import Any

import msgspec

from bronzepost._internal.core.ledger import journal_events as events
from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.apply import apply_record
from bronzepost._internal.core.ledger.journal import Journal, submit_record
from bronzepost._internal.core.ledger.journal_handler import handle_event
from bronzepost._internal.core.ledger.rule_base import Verdict
from bronzepost._internal.core.ledger.state import PartitionState
from tests.builders_records import STREAM

StoredBody = dict[str, Any]


class Delivery(enum.Enum):
    """Fate of a request to the log.

    With DELAYED, the log stores the append only when the test says so.
    """

    OK = 'ok'
    LOST_ANSWER = 'lost_answer'
    LOST_REQUEST = 'lost_request'
    DELAYED = 'delayed'
    REFUSED = 'refused'


class FakeLog:
    """One stream with offsets, retention and delayed appends."""

    def __init__(self, *, read_limit: int = 100) -> None:
        """Start with an empty stream."""
        self.bodies: list[StoredBody] = []
        self.first_offset = 0
        self.read_limit = read_limit
        self.delayed: list[list[StoredBody]] = []
        self.is_down = False

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record."""
        return len(self.bodies)

    def append(self, bodies: list[StoredBody]) -> int:
        """Store records and return the offset of the first."""
        first = self.next_offset
        self.bodies.extend(bodies)
        return first

    def store_delayed(self, position: int = 0) -> None:
        """Store a delayed append."""
        self.append(self.delayed.pop(position))

    def retain(self, count: int) -> None:
        """Retain only the last ``count`` records."""
        self.first_offset = max(self.first_offset, self.next_offset - count)

    def read(self, from_offset: int, at: float) -> events.RecordsRead:
        """Return the event of a read, with at most ``read_limit`` records."""
        start = max(from_offset, self.first_offset)
        end = min(self.next_offset, start + self.read_limit)
        page = tuple(
            (offset, dict(self.bodies[offset])) for offset in range(start, end)
        )
        return events.RecordsRead(
            at=at,
            from_offset=from_offset,
            records=page,
            first_offset=self.first_offset,
            next_offset=self.next_offset,
        )

    def replay(self) -> PartitionState:
        """Return the state after all records since offset 0."""
        state = PartitionState()
        for offset, body in enumerate(self.bodies):
            apply_record(state, offset, records.decode_record(body))
        return state


def to_wire(record: records.Record) -> dict[str, Any]:
    """Return the JSON object of a record as it is read from the log."""
    body: dict[str, Any] = msgspec.json.decode(
        msgspec.json.encode(records.encode_record(record))
    )
    return body


@dataclasses.dataclass(kw_only=True)
class Member:
    """One boot of a node, with its journal and its request to the log.

    ``notices`` are the actions other than requests and settled records.
    """

    log: FakeLog
    journal: Journal
    now: float = 0
    request: events.AppendRecords | events.ReadRecords | None = None
    answer: events.Event | None = None
    settled_by_id: dict[str, events.RecordSettled] = dataclasses.field(
        default_factory=dict
    )
    notices: list[events.Action] = dataclasses.field(default_factory=list)

    def feed(self, event: events.Event) -> None:
        """Pass an event to the journal and store the resulting actions."""
        for action in handle_event(event, self.journal):
            self._handle_action(action)

    def tick(self, seconds: float = 1) -> None:
        """Let time pass."""
        self.now += seconds
        self.feed(events.Tick(at=self.now))

    def submit(self, record: records.Record) -> Verdict:
        """Submit a record to the journal."""
        return submit_record(self.journal, record)

    def deliver(self, delivery: Delivery = Delivery.OK) -> None:
        """Execute the pending request and pass its answer to the journal."""
        self.execute_request(delivery)
        self.receive_answer()

    def execute_request(self, delivery: Delivery = Delivery.OK) -> None:
        """Execute the pending request; its answer is not received yet."""
        request = self.request
        if request is None or self.answer is not None:
            return
        if isinstance(request, events.ReadRecords):
            self.answer = self._read(request, delivery)
        else:
            self.answer = self._append(request, delivery)

    def receive_answer(self) -> None:
        """Pass the answer of an executed request to the journal, if any."""
        answer = self.answer
        if answer is not None:
            self.answer = None
            self.request = None
            self.feed(dataclasses.replace(answer, at=self.now))

    def run(self) -> None:
        """Tick and deliver without faults until no request is pending."""
        for _ in range(200):
            self.tick()
            if self.request is None:
                return
            self.deliver()
        raise AssertionError('the journal does not come to rest')

    def refresh(self) -> None:
        """Read records that other nodes have appended."""
        self.feed(events.RefreshWanted(at=self.now))
        self.run()

    def claim(self) -> None:
        """Claim the partition and append the claim to the log."""
        self.refresh()
        self.feed(events.OwnershipWanted(at=self.now))
        self.run()

    def is_settled_valid(self, record_id: str) -> bool:
        """Return whether a submitted record was settled as valid."""
        settled = self.settled_by_id.get(record_id)
        return settled is not None and settled.valid

    def _handle_action(self, action: events.Action) -> None:
        if isinstance(action, events.AppendRecords | events.ReadRecords):
            assert self.request is None, 'two requests are under way'
            self.request = action
        elif isinstance(action, events.RecordSettled):
            assert action.record_id not in self.settled_by_id, 'settled twice'
            self.settled_by_id[action.record_id] = action
        else:
            self.notices.append(action)

    def _read(
        self, request: events.ReadRecords, delivery: Delivery
    ) -> events.Event:
        if self.log.is_down or delivery is not Delivery.OK:
            return events.ReadFailed(at=self.now, retry_after_seconds=0.1)
        return self.log.read(request.from_offset, self.now)

    def _append(
        self, request: events.AppendRecords, delivery: Delivery
    ) -> events.Event:
        bodies = [to_wire(record) for record in request.records]
        if self.log.is_down or delivery is Delivery.REFUSED:
            return events.AppendRefused(at=self.now, retry_after_seconds=0.1)
        if delivery is Delivery.DELAYED:
            self.log.delayed.append(bodies)
        elif delivery is not Delivery.LOST_REQUEST:
            first = self.log.append(bodies)
            if delivery is Delivery.OK:
                return events.AppendSucceeded(at=self.now, first_offset=first)
        return events.AppendAmbiguous(at=self.now)


def build_member(log: FakeLog, node: str, *, boot: str = '') -> Member:
    """Return a node that has not read the log yet."""
    journal = Journal(stream=STREAM, node=node, boot=boot or f'{node}-1')
    return Member(log=log, journal=journal)


def build_owner(log: FakeLog, node: str = 'hall-a-1') -> Member:
    """Return a node that owns the partition."""
    member = build_member(log, node)
    member.claim()
    assert member.journal.is_owner
    return member


def build_record(
    member: Member, kind: type[records.Record], **fields: Any
) -> Any:
    """Return a record with the journal's next identifier and epoch."""
    journal = member.journal
    body = {'epoch': journal.view.epoch} | fields
    return kind(record_id=journal.next_record_id(), node=journal.node, **body)


def build_turn(member: Member, program: str, *, spent: int) -> Any:
    """Return the record of the program's next finished model call."""
    entry = member.journal.view.programs_by_id[program]
    sequence = entry.sequence + 1
    return build_record(
        member,
        records.TurnCompleted,
        program=program,
        sequence=sequence,
        messages=[{'role': 'user', 'content': f'{program}?{sequence}'}],
        answer={'role': 'assistant', 'content': f'{program}!{sequence}'},
        digest=f'{entry.digest}/{program}{sequence}',
        message_count=entry.message_count + 2,
        spent=spent,
    )
