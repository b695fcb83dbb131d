"""State of a partition.

The state depends only on the records of the partition's stream in log order,
so all nodes that have read the same records have the same state.
"""

import dataclasses
from typing import Any

import msgspec

from bronzepost._internal.core.ledger.records import Checkpoint


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgramEntry:
    """State of a program.

    All amounts are in units: ``budget`` is the limit, ``carved`` the budgets of
    live sub-agents, ``granted`` the total that the owner may spend and
    ``spent`` the total that was spent. ``spent <= granted`` and
    ``granted + carved <= budget`` hold after every record. ``forfeited`` is
    the part of ``spent`` that was counted as spent at a change of owner.
    ``release_ids`` are the releases that took effect in the current epoch.
    """

    program: str
    organisation: str
    service: str
    budget: int
    granted: int
    importance: int = 1
    parent: str = ''
    sequence: int = 0
    digest: str = ''
    message_count: int = 0
    spent: int = 0
    carved: int = 0
    forfeited: int = 0
    ended: str = ''
    ended_offset: int = 0
    last_key: str = ''
    release_ids: tuple[str, ...] = ()
    history_offsets: tuple[int, ...] = ()

    @property
    def allowance(self) -> int:
        """Return the granted units that are not spent."""
        return self.granted - self.spent

    @property
    def ungranted(self) -> int:
        """Return the units granted neither to the owner nor to sub-agents."""
        return self.budget - self.granted - self.carved


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IntentEntry:
    """A non-idempotent call whose intent is on the log.

    ``withdrawn``: it was not sent and never will be. ``abandoned``: the program
    continues without knowing whether it ran. ``settled``: its outcome is on
    the log.
    """

    intent_id: str
    program: str
    sequence: int
    key: str
    epoch: int
    withdrawn: bool = False
    abandoned: bool = False
    settled: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeEntry:
    """Location of the stored answer to a finished service call."""

    program: str
    sequence: int
    key: str
    offset: int
    status: int


@dataclasses.dataclass(kw_only=True, slots=True)
class PartitionState:
    """State of one partition.

    ``next_offset`` is the first offset that has not been applied.
    ``open_intents_by_program`` has the intent of each program that is neither
    withdrawn, abandoned nor settled. ``intent_ids_by_program`` is an index:
    searching all intents would take 2.8 ms with 20,000 of them.
    """

    epoch: int = 0
    owner: str = ''
    claim_id: str = ''
    next_offset: int = 0
    programs_by_id: dict[str, ProgramEntry] = dataclasses.field(
        default_factory=dict
    )
    intents_by_id: dict[str, IntentEntry] = dataclasses.field(
        default_factory=dict
    )
    intent_ids_by_program: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    open_intents_by_program: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    outcomes_by_call: dict[tuple[str, int], OutcomeEntry] = dataclasses.field(
        default_factory=dict
    )

    def find_live_program(self, program: str) -> ProgramEntry | None:
        """Return the program's entry unless it is unknown or has ended."""
        entry = self.programs_by_id.get(program)
        return None if entry is None or entry.ended else entry

    def find_open_intent(self, program: str) -> IntentEntry | None:
        """Return the program's open intent, if any."""
        intent_id = self.open_intents_by_program.get(program)
        return None if intent_id is None else self.intents_by_id[intent_id]

    def add_intent(self, intent: IntentEntry) -> None:
        """Add an intent and index it by its program."""
        known = self.intent_ids_by_program.get(intent.program, ())
        self.intents_by_id[intent.intent_id] = intent
        self.intent_ids_by_program[intent.program] = (
            *known,
            intent.intent_id,
        )

    def list_intents(self, program: str) -> list[IntentEntry]:
        """Return the program's intents in the order of the log."""
        intent_ids = self.intent_ids_by_program.get(program, ())
        return [self.intents_by_id[intent_id] for intent_id in intent_ids]

    def find_call_by_key(self, program: str, key: str) -> int | None:
        """Return the sequence of the call with an idempotency key, if known."""
        entry = self.programs_by_id.get(program)
        if entry is not None and entry.last_key == key:
            return entry.sequence
        for intent in self.list_intents(program):
            # A key can be reused after its intent was withdrawn.
            if intent.key == key and not intent.withdrawn:
                return intent.sequence
        return None


def dump_state(state: PartitionState) -> dict[str, Any]:
    """Return the state as JSON values for a checkpoint."""
    return {
        'epoch': state.epoch,
        'owner': state.owner,
        'claim_id': state.claim_id,
        'programs': msgspec.to_builtins(list(state.programs_by_id.values())),
        'intents': msgspec.to_builtins(list(state.intents_by_id.values())),
        'open_intents': dict(state.open_intents_by_program),
        'outcomes': msgspec.to_builtins(list(state.outcomes_by_call.values())),
    }


def load_state(checkpoint: Checkpoint) -> PartitionState:
    """Return the state that a checkpoint contains."""
    body = checkpoint.state
    programs = msgspec.convert(body['programs'], list[ProgramEntry])
    intents = msgspec.convert(body['intents'], list[IntentEntry])
    outcomes = msgspec.convert(body['outcomes'], list[OutcomeEntry])
    state = PartitionState(
        epoch=body['epoch'],
        owner=body['owner'],
        claim_id=body['claim_id'],
        next_offset=checkpoint.covers_offset,
        programs_by_id={entry.program: entry for entry in programs},
        open_intents_by_program=dict(body['open_intents']),
        outcomes_by_call={
            (entry.program, entry.sequence): entry for entry in outcomes
        },
    )
    for intent in intents:
        state.add_intent(intent)
    return state
