"""Programs, members and settings for measurements inside one process."""

from collections.abc import Iterator
from typing import Any, Final

from bronzepost._internal.core import membership
from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.apply import apply_record
from bronzepost._internal.core.ledger.state import PartitionState
from bronzepost._internal.core.membership.updates import merge_entries

STREAM: Final = 'programs-00'
NODE: Final = 'zone-1-1'
BOOT: Final = '4f1c5a7d9e20'
BUDGET: Final = 1_000_000
TOKENS_PER_TURN: Final = 1200
DIGEST_CHARACTERS: Final = 64
NODES_PER_NETWORK: Final = 200
# 400 turns make 2 MB of history.
TEXT_BYTES_PER_TURN: Final = 5000


class RecordBuilder:
    """Builds ledger records as the owner of one partition writes them."""

    def __init__(self) -> None:
        """Start with no records built."""
        self._count = 0

    def build_claim(self) -> records.Claim:
        """Return the claim that starts the epoch of all other records."""
        return records.Claim(record_id=self._next_id(), epoch=1, node=NODE)

    def build_start(self, number: int) -> records.ProgramStarted:
        """Return the record that starts a program."""
        return records.ProgramStarted(
            record_id=self._next_id(),
            epoch=1,
            node=NODE,
            program=name_program(number),
            organisation='capacity',
            service='capacity-model',
            budget=BUDGET,
            granted=BUDGET,
        )

    def build_turn(self, number: int, sequence: int) -> records.TurnCompleted:
        """Return the record of a completed turn, with its messages."""
        text = f'{number}:{sequence}:'.ljust(TEXT_BYTES_PER_TURN // 2, 'x')
        return records.TurnCompleted(
            record_id=self._next_id(),
            epoch=1,
            node=NODE,
            program=name_program(number),
            sequence=sequence,
            messages=[{'role': 'user', 'content': text}],
            answer={'role': 'assistant', 'content': text},
            digest=f'{number}-{sequence}'.ljust(DIGEST_CHARACTERS, 'd'),
            message_count=2 * sequence,
            spent=TOKENS_PER_TURN * sequence,
        )

    def _next_id(self) -> str:
        self._count += 1
        return f'{BOOT}-{STREAM}-{self._count:x}'


def name_program(number: int) -> str:
    """Return the identifier of the program with this number."""
    return f'program-{number:08}'


def list_records(programs: int, turns: int) -> Iterator[records.Record]:
    """Yield the records of programs whose turns alternate."""
    builder = RecordBuilder()
    yield builder.build_claim()
    for number in range(programs):
        yield builder.build_start(number)
    for sequence in range(1, turns + 1):
        for program in range(programs):
            yield builder.build_turn(program, sequence)


def build_state(programs: int, turns: int) -> PartitionState:
    """Return the state of a partition after the turns of its programs.

    Raises:
        ValueError: if a built record is not valid.
    """
    state = PartitionState()
    for offset, record in enumerate(list_records(programs, turns)):
        verdict = apply_record(state, offset, record)
        if not verdict.valid:
            raise ValueError(verdict.reason)
    return state


def build_entry(number: int) -> membership.MemberEntry:
    """Return a member of a deployment at the design scale."""
    host = (
        f'127.0.{number // NODES_PER_NETWORK}.{number % NODES_PER_NETWORK + 1}'
    )
    return membership.MemberEntry(
        name=f'zone-{number % 6}-{number // 6 + 1}',
        peer_address=f'{host}:7001',
        forward_address=f'{host}:7101',
        caller_address=f'{host}:8001',
        availability_zone=f'zone-{number % 6}',
        region=f'region-{number % 3}',
        incarnation=1,
        boot=f'{number:012x}',
    )


def build_members(count: int) -> membership.MembershipTables:
    """Return the tables of a node that knows ``count`` members."""
    tables = membership.create_tables(build_entry(0), at=0)
    peers = [build_entry(number) for number in range(1, count)]
    merge_entries(tables, peers, 0)
    return tables


def map_serving_boots(tables: membership.MembershipTables) -> dict[str, str]:
    """Return the boots of the serving members by name, as a node does."""
    serving: Any = membership.serving_members(tables)
    return {member.name: member.boot for member in serving}
