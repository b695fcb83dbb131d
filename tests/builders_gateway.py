"""Test data of the gateway, and a keyed store in memory."""

import math
from collections.abc import Iterable, Sequence
from typing import Any

import gevent

from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    CallRequest,
    PromptPart,
    Route,
    RouteKind,
)
from bronzepost._internal.core.gateway.program_account import ProgramAccount
from bronzepost._internal.core.membership import Member, MemberEntry
from bronzepost._internal.core.membership.entities import (
    create_tables,
    member_from_entry,
)
from bronzepost._internal.exceptions import (
    AmbiguousAppendError,
    LogRefusedError,
)
from bronzepost._internal.gateway.peers.messages import ReserveTokens
from bronzepost._internal.gateway.peers.unmet_members import UnmetMembers
from bronzepost._internal.gateway.programs.accounts import Accounts
from bronzepost._internal.gateway.programs.allowance_writer import (
    AllowanceWriter,
)
from bronzepost._internal.gateway.programs.keyed_store import (
    AppendConflictError,
    KeyedPartition,
    KeyedRecord,
)
from bronzepost._internal.gateway.requests.pending_call import PendingCall
from bronzepost._internal.node.clock import read_clock

BUDGET = 1000


def make_route(**changes: Any) -> Route:
    """Return a streaming route of one service."""
    fields: dict[str, Any] = {
        'name': 'r-1',
        'host': 'desk.example',
        'path_prefix': '/chat/',
        'kind': RouteKind.STREAM,
        'services': (('engines', 1.0),),
        'timeout_seconds': 4.0,
    }
    return Route(**{**fields, **changes})


def make_server(server_id: str, **changes: Any) -> BackendServer:
    """Return a server with 24 slots in hall-a."""
    fields: dict[str, Any] = {
        'server_id': server_id,
        'service': 'engines',
        'address': '127.0.0.1:1',
        'availability_zone': 'hall-a',
        'slots': 24,
    }
    return BackendServer(**{**fields, **changes})


def make_member_entry(name: str, **changes: Any) -> MemberEntry:
    """Return the entry of a gateway process that is alive."""
    fields: dict[str, Any] = {
        'name': name,
        'peer_address': '127.0.0.1:1',
        'forward_address': '',
        'caller_address': '127.0.0.1:2',
        'availability_zone': 'hall-a',
        'region': 'r',
        'incarnation': 1,
        'boot': '1',
    }
    return MemberEntry(**{**fields, **changes})


def make_member(name: str, **changes: Any) -> Member:
    """Return a gateway process that is alive."""
    return member_from_entry(make_member_entry(name, **changes), at=0)


def make_servers(count: int) -> tuple[BackendServer, ...]:
    """Return servers named i-0, i-1 and so on."""
    return tuple(make_server(f'i-{number}') for number in range(count))


def make_turn_call(**changes: Any) -> CallRequest:
    """Return the call of one turn of a program with ``BUDGET`` tokens."""
    fields: dict[str, Any] = {
        'request_id': 'q-1',
        'program_id': 'p-1',
        'deadline_seconds': 3.0,
        'budget_tokens': BUDGET,
        'max_output_tokens': 100,
        'prompt_parts': (
            PromptPart(part_id='shared', tokens=12600),
            PromptPart(part_id='own', tokens=2000),
        ),
    }
    return CallRequest(**{**fields, **changes})


def make_pending_call(**changes: Any) -> PendingCall:
    """Return a turn of a program that is to be forwarded."""
    fields: dict[str, Any] = {
        'request': None,
        'call': make_turn_call(),
        'route': make_route(),
        'service': 'engines',
        'body': b'',
        'started_at': read_clock(),
        'deadline_at': math.inf,
        'answer': None,
    }
    return PendingCall(**{**fields, **changes})


def make_reservation(**changes: Any) -> ReserveTokens:
    """Return the request of a turn for 100 tokens of ``BUDGET``."""
    fields: dict[str, Any] = {
        'call_id': 0,
        'program_id': 'p-1',
        'request_id': 'q-1',
        'reservation_id': 'q-1/0',
        'budget': BUDGET,
        'tokens': 100,
        'lines': (),
        'may_be_provisional': True,
        'is_first': True,
    }
    return ReserveTokens(**{**fields, **changes})


def make_account(**changes: Any) -> ProgramAccount:
    """Return an account of a program with a budget of ``BUDGET`` tokens."""
    fields: dict[str, Any] = {'program_id': 'p-1', 'budget': BUDGET}
    return ProgramAccount(**{**fields, **changes})


def make_unmet(*names: str, seeds: tuple[str, ...] = ()) -> UnmetMembers:
    """Return the unmet members of a VM that has met the named members."""
    members = create_tables(make_member_entry('own'), at=0)
    for name in names:
        members.members_by_name[name] = make_member(name, peer_address=name)
    return UnmetMembers(members=members, seeds=seeds)


def make_writer(store: 'MemoryStore', accounts: Accounts) -> AllowanceWriter:
    """Return a writer to the first partition of a store; all holders run."""
    return AllowanceWriter(
        store=store,
        partition=0,
        accounts=accounts,
        is_running=lambda _boot: True,
    )


class MemoryStore:
    """A keyed store in memory that can fail as the platform's store does.

    If ``is_down``, all calls are refused, otherwise those to
    ``down_partitions``. If ``loses_answers``, an append takes effect, but the
    client gets no answer. An append takes effect after
    ``append_delay_seconds``.
    """

    def __init__(self, *, partitions: int = 1) -> None:
        """Start empty."""
        self.partitions = partitions
        self.is_down = False
        self.down_partitions: set[int] = set()
        self.loses_answers = False
        self.append_delay_seconds: float = 0
        self.appends = 0
        self._records: dict[tuple[str, int], list[KeyedRecord]] = {}

    def make_view(self) -> 'MemoryStore':
        """Return a client of the same records, with failures of its own."""
        view = MemoryStore(partitions=self.partitions)
        view._records = self._records
        return view

    def read_partition(self, topic: str, partition: int) -> KeyedPartition:
        """Return the newest record of each key."""
        self._check(partition)
        records = self._records.get((topic, partition), [])
        newest = {record.key: record for record in records}
        return KeyedPartition(
            records=tuple(rec for rec in newest.values() if rec.content),
            end_offset=len(records),
        )

    def find_record(
        self, topic: str, partition: int, key: str
    ) -> KeyedRecord | None:
        """Return the newest record of a key."""
        found = self.read_partition(topic, partition).records
        return next((record for record in found if record.key == key), None)

    def append_keyed(
        self,
        topic: str,
        partition: int,
        records: Sequence[KeyedRecord],
        *,
        expected_end: int | None = None,
    ) -> int:
        """Append records; with ``expected_end``, only if that is the end."""
        self._check(partition)
        if self.append_delay_seconds:
            gevent.sleep(self.append_delay_seconds)
        stored = self._records.setdefault((topic, partition), [])
        if expected_end not in {None, len(stored)}:
            raise AppendConflictError('it ends elsewhere', step='append')
        stored.extend(records)
        self.appends += 1
        if self.loses_answers:
            raise AmbiguousAppendError('no answer', step='append')
        return len(stored)

    def list_keys(self, prefix: str) -> set[str]:
        """Return the stored keys of all topics whose names have a prefix."""
        found: Iterable[KeyedRecord] = (
            record
            for topic, partition in tuple(self._records)
            if topic.startswith(prefix)
            for record in self.read_partition(topic, partition).records
        )
        return {record.key for record in found}

    def count_longest_partition(self) -> int:
        """Return the number of records of the longest partition."""
        return max(map(len, self._records.values()))

    def _check(self, partition: int) -> None:
        if self.is_down or partition in self.down_partitions:
            raise LogRefusedError(
                'down', step='call', peer='', retry_after_seconds=1
            )
