"""Scenes of faults, and a member that records them.

``python -m tests.builders_recordings`` regenerates the files in
``recordings/``. Review their diff before committing it: the ledger has to keep
the outcomes in them.
"""

import dataclasses
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import msgspec

from bronzepost._internal.core import recording
from bronzepost._internal.core.ledger import calls, records
from bronzepost._internal.core.ledger import journal_events as events
from bronzepost._internal.core.ledger.journal import (
    submit_record,
    withdraw_pending,
)
from bronzepost._internal.core.ledger.journal_handler import handle_event
from bronzepost._internal.core.ledger.rule_base import Verdict
from tests import builders_ledger as builders
from tests.builders_ledger import Delivery
from tests.builders_records import STREAM, build_call

SceneRecorder = Callable[[], str]

DIRECTORY: Final = Path(__file__).resolve().parent.parent / 'recordings'


@dataclasses.dataclass(kw_only=True)
class RecordedMember(builders.Member):
    """A member that records its inputs and their outcomes."""

    lines: list[recording.Line]

    def feed(self, event: events.Event) -> None:
        """Pass an event to the journal and record it."""
        actions = handle_event(event, self.journal)
        self.lines.append(
            recording.EventLine(
                journal=self.journal.node,
                event=type(event).__name__,
                body=recording.describe_event(event),
                actions=[
                    recording.describe_action(action) for action in actions
                ],
            )
        )
        for action in actions:
            self._handle_action(action)

    def submit(self, record: records.Record) -> Verdict:
        """Submit a record and add the submission to the recording."""
        verdict = submit_record(self.journal, record)
        self.lines.append(
            recording.SubmitLine(
                journal=self.journal.node,
                record=builders.to_wire(record),
                valid=verdict.valid,
                reason=verdict.reason,
            )
        )
        return verdict

    def begin(self, program: str = 'p', **fields: Any) -> calls.Decision:
        """Begin a call and record the decision."""
        call = build_call(program, **fields)
        count = self.journal.record_count
        decision = calls.begin_call(self.journal, call, self.now)
        self.lines.append(
            recording.CallLine(
                journal=self.journal.node,
                at=self.now,
                record_count=count,
                call=msgspec.to_builtins(call),
                decision=recording.describe_decision(decision),
            )
        )
        return decision

    def withdraw(self, record_id: str) -> None:
        """Withdraw a record and add the withdrawal to the recording."""
        self.lines.append(
            recording.WithdrawLine(
                journal=self.journal.node,
                record_id=record_id,
                withdrawn=withdraw_pending(self.journal, record_id),
            )
        )

    def finish(self, begun: calls.Decision, **fields: Any) -> None:
        """Submit the outcome of a service call."""
        assert isinstance(begun, calls.Proceed)
        body = {'status': 200, 'body': '{}', 'spent': 0, 'key': 'k'}
        outcome = builders.build_record(
            self,
            records.Outcome,
            program='p',
            sequence=begun.sequence,
            intent_id=begun.intent_id,
            **(body | fields),
        )
        self.submit(outcome)

    def record_state(self) -> None:
        """Record the state of the journal."""
        state = recording.describe_state(self.journal.state)
        self.lines.append(
            recording.StateLine(journal=self.journal.node, state=state)
        )


class Scene:
    """Two nodes and a log, with a recording of the nodes' inputs."""

    def __init__(self, description: str) -> None:
        """Start both nodes."""
        self.log = builders.FakeLog()
        self.lines: list[recording.Line] = [
            recording.HeadingLine(
                version=recording.VERSION, description=description
            )
        ]
        self.first = self.start('hall-a-1')
        self.second = self.start('hall-b-1')

    def start(self, node: str) -> RecordedMember:
        """Start a node and let it read the log."""
        journal = builders.build_member(self.log, node).journal
        self.lines.append(
            recording.JournalLine(
                journal=node, stream=STREAM, node=node, boot=journal.boot
            )
        )
        member = RecordedMember(log=self.log, journal=journal, lines=self.lines)
        member.run()
        return member

    def finish(self) -> str:
        """Let both nodes read the log; return the text of the recording."""
        for member in (self.first, self.second):
            member.refresh()
            member.record_state()
        return ''.join(
            f'{recording.encode_line(line)}\n' for line in self.lines
        )


def record_lost_answer() -> str:
    """Record an append of an intent whose answer is lost."""
    scene = Scene('the answer to the append of an intent is lost')
    owner = scene.first
    owner.claim()
    begun = owner.begin(key='k', non_idempotent=True)
    owner.tick()
    owner.deliver(Delivery.LOST_ANSWER)
    owner.begin(key='k', non_idempotent=True)
    owner.run()
    owner.finish(begun, spent=10)
    owner.tick()
    owner.deliver(Delivery.DELAYED)
    owner.run()
    scene.log.store_delayed()
    owner.refresh()
    owner.begin(key='k', non_idempotent=True)
    return scene.finish()


def record_frozen_owner() -> str:
    """Record a paused owner whose intent reaches the log after a takeover."""
    scene = Scene('an owner is frozen while its intent is on the way')
    old, new = scene.first, scene.second
    old.claim()
    old.begin()
    old.run()
    turn = builders.build_turn(old, 'p', spent=8)
    old.submit(turn)
    old.run()
    old.begin(key='k', non_idempotent=True)
    old.tick()
    old.execute_request(Delivery.DELAYED)
    new.claim()
    begun = new.begin(key='k', non_idempotent=True)
    new.run()
    scene.log.store_delayed()
    new.finish(begun, spent=30)
    new.run()
    old.receive_answer()
    old.run()
    old.begin(key='k', non_idempotent=True)
    new.begin(key='k', non_idempotent=True)
    return scene.finish()


def record_racing_claims() -> str:
    """Record two nodes that claim the partition at the same time."""
    scene = Scene('two nodes claim the partition at the same time')
    for member in (scene.first, scene.second):
        member.feed(events.OwnershipWanted(at=member.now))
    scene.second.execute_request()
    scene.first.deliver()
    scene.second.receive_answer()
    scene.first.run()
    scene.first.begin()
    scene.second.begin()
    scene.second.run()
    return scene.finish()


def record_outage() -> str:
    """Record an outage of the log while a program continues."""
    scene = Scene('the log is down for three seconds')
    owner = scene.first
    owner.claim()
    owner.begin()
    owner.run()
    scene.log.is_down = True
    for spent in (9, 17):
        owner.submit(builders.build_turn(owner, 'p', spent=spent))
        owner.tick()
        owner.deliver()
    owner.begin(worst_case=3)
    owner.begin(worst_case=4)
    begun = owner.begin('q')
    assert isinstance(begun, calls.Refuse)
    owner.begin(worst_case=1, key='k', non_idempotent=True)
    scene.log.is_down = False
    owner.run()
    owner.begin(worst_case=4)
    return scene.finish()


def record_crash_before_settlement() -> str:
    """Record an owner that dies between sending a call and writing its turn."""
    scene = Scene('an owner dies between reservation and settlement')
    old, new = scene.first, scene.second
    old.claim()
    old.begin(worst_case=30)
    old.run()
    old.submit(builders.build_turn(old, 'p', spent=20))
    old.run()
    old.begin(worst_case=40)
    new.claim()
    new.record_state()
    new.begin(worst_case=41)
    new.begin(worst_case=40)
    new.run()
    return scene.finish()


def record_withdrawn_intent() -> str:
    """Record calls that are withdrawn before or after their intent is sent."""
    scene = Scene('a call is withdrawn and its key is used again')
    owner = scene.first
    owner.claim()
    owner.begin()
    owner.run()
    owner.submit(builders.build_turn(owner, 'p', spent=5))
    owner.run()
    never_sent = owner.begin(key='k', non_idempotent=True)
    assert isinstance(never_sent, calls.Proceed)
    owner.withdraw(never_sent.intent_id)
    withdrawn = owner.begin(key='k', non_idempotent=True)
    assert isinstance(withdrawn, calls.Proceed)
    owner.tick()
    owner.deliver(Delivery.DELAYED)
    owner.withdraw(withdrawn.intent_id)
    owner.submit(
        builders.build_record(
            owner,
            records.IntentWithdrawn,
            program='p',
            sequence=withdrawn.sequence,
            intent_id=withdrawn.intent_id,
        )
    )
    owner.run()
    begun = owner.begin(key='k', non_idempotent=True)
    owner.run()
    scene.log.store_delayed()
    owner.finish(begun, spent=9)
    owner.run()
    owner.begin(key='k', non_idempotent=True)
    return scene.finish()


SCENES: Final[Mapping[str, SceneRecorder]] = MappingProxyType({
    'lost_answer': record_lost_answer,
    'frozen_owner': record_frozen_owner,
    'racing_claims': record_racing_claims,
    'outage': record_outage,
    'crash_before_settlement': record_crash_before_settlement,
    'withdrawn_intent': record_withdrawn_intent,
})


def write_recordings() -> None:
    """Record every scene again."""
    DIRECTORY.mkdir(exist_ok=True)
    for name, scene in SCENES.items():
        path = DIRECTORY / f'{name}.jsonl'
        path.write_text(scene(), encoding='utf-8')


if __name__ == '__main__':
    write_recordings()
