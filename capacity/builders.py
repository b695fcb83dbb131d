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
TURN_UNITS: Final = 1200
DIGEST_LENGTH: Final = 64
NODES_PER_NETWORK: Final = 200
# 2 MB of history in 400 turns.
TURN_BYTES: Final = 5000


class RecordMaker:
    """Makes the records that one owner would write."""

    def __init__(self) -> None:
        """Start before the first record."""
        self._count = 0

    def claim(self) -> records.Claim:
        """Return the claim that all other records belong to."""
        return records.Claim(record_id=self._next_id(), epoch=1, node=NODE)

    def start(self, number: int) -> records.ProgramStarted:
        """Return the start of a program."""
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

    def turn(self, number: int, sequence: int) -> records.TurnCompleted:
        """Return a finished turn of a program, with its text."""
        text = f'{number}:{sequence}:'.ljust(TURN_BYTES // 2, 'x')
        return records.TurnCompleted(
            record_id=self._next_id(),
            epoch=1,
            node=NODE,
            program=name_program(number),
            sequence=sequence,
            messages=[{'role': 'user', 'content': text}],
            answer={'role': 'assistant', 'content': text},
            digest=f'{number}-{sequence}'.ljust(DIGEST_LENGTH, 'd'),
            message_count=2 * sequence,
            spent=TURN_UNITS * sequence,
        )

    def _next_id(self) -> str:
        self._count += 1
        return f'{BOOT}-{STREAM}-{self._count:x}'


def name_program(number: int) -> str:
    """Return the identifier of a program."""
    return f'program-{number:08}'


def list_records(programs: int, turns: int) -> Iterator[records.Record]:
    """Yield the records of programs that take their turns in rotation."""
    maker = RecordMaker()
    yield maker.claim()
    for number in range(programs):
        yield maker.start(number)
    for sequence in range(1, turns + 1):
        for turning in range(programs):
            yield maker.turn(turning, sequence)


def build_state(programs: int, turns: int) -> PartitionState:
    """Return the tables of a partition that hold programs.

    Raises:
        ValueError: if a record that was built is not valid.
    """
    state = PartitionState()
    for offset, record in enumerate(list_records(programs, turns)):
        verdict = apply_record(state, offset, record)
        if not verdict.valid:
            raise ValueError(verdict.reason)
    return state


def build_entry(number: int) -> membership.MemberEntry:
    """Return a member of the largest deployment."""
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
    others = [build_entry(number) for number in range(1, count)]
    merge_entries(tables, others, 0)
    return tables


def list_serving(tables: membership.MembershipTables) -> dict[str, str]:
    """Return the boots of the serving members, as the node does."""
    serving: Any = membership.serving_members(tables)
    return {member.name: member.boot for member in serving}
