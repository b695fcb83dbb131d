"""Coordination of nodes without a coordination service.

The modules do no input or output. Each keeps its state in tables or in an
object, accepts typed events with ``at`` (seconds of a monotonic clock) and
returns typed actions for the embedding program to carry out. Nothing here
reads a clock, a socket or an unseeded random source, so replaying recorded
events returns the same actions.

- ``membership`` detects which nodes run (SWIM).
- ``configuration`` holds a tree of settings, whose changes all nodes accept or
  reject in the order of a log.
- ``ledger`` decides from the order of a log which node owns a partition and
  what programs may do.
- ``rank_members`` and ``first_members`` rank the nodes for a key by rendezvous
  hashing; ``partition_of`` returns the partition of a program.
- ``choose_endpoints`` selects the addresses that a caller should use.

Two members join. The example passes the message on directly; a program sends
it over its transport::

    >>> from bronzepost.coordination import membership
    >>> def build_entry(name, port):
    ...     return membership.MemberEntry(
    ...         name=name,
    ...         peer_address=f'127.0.0.1:{port}',
    ...         forward_address=f'127.0.0.1:{port + 100}',
    ...         caller_address=f'127.0.0.1:{port + 1000}',
    ...         availability_zone='hall-a',
    ...         region='pl-central',
    ...         incarnation=1_700_000_000_000,
    ...     )
    >>> first = membership.create_tables(build_entry('hall-a-1', 7001), at=0)
    >>> second = membership.create_tables(
    ...     build_entry('hall-a-2', 7002), at=0, seeds=('127.0.0.1:7001',)
    ... )
    >>> actions = membership.apply_event(second, membership.Tick(at=0))
    >>> [type(action).__name__ for action in actions]
    ['ReconnectPeer', 'Send']
    >>> received = membership.MessageReceived(at=0, message=actions[1].message)
    >>> actions = membership.apply_event(first, received)
    >>> [member.name for member in membership.live_members(first)]
    ['hall-a-1', 'hall-a-2']

All members compute the same ranking for a partition::

    >>> from bronzepost.coordination import partition_of, rank_members
    >>> names = [it.name for it in membership.serving_members(first)]
    >>> ranking = rank_members(names, f'programs-{partition_of("p-1"):02}')
    >>> ranking == rank_members(reversed(names), 'programs-02')
    True

A setting is inherited from the nearest level that sets it::

    >>> from bronzepost.coordination import configuration
    >>> tables = configuration.create_tables(
    ...     'hall-a-1', own_peer_address='127.0.0.1:7001', boot=1
    ... )
    >>> empty = configuration.ConfigurationSnapshot(
    ...     record_id='0000000010000001', next_offset=0, entries=()
    ... )
    >>> configuration.apply_record(tables, 0, empty)
    ()
    >>> change = configuration.ConfigurationChange(
    ...     record_id='0000000010000002',
    ...     path='kostiumy:cache_weight',
    ...     value=0.8,
    ...     base_revision=0,
    ...     author='operator',
    ... )
    >>> result = configuration.apply_record(tables, 1, change)
    >>> type(result[0]).__name__, result[0].revision
    ('ChangeAccepted', 1)
    >>> configuration.inherit(
    ...     tables, 'kostiumy', 'pass-assistant', 'p-1', 'cache_weight'
    ... )
    0.8

``ledger`` stores the durable state of programs. A claim on the log states which
node owns a partition, and a record is valid only under the claim in force. The
journal returns the requests to send to the log, and reports for each submitted
record once whether it is valid::

    >>> from bronzepost.coordination import ledger
    >>> journal = ledger.Journal(
    ...     stream='programs-07', node='hall-a-1', boot='4f1c'
    ... )
    >>> ledger.handle_event(ledger.events.Tick(at=0), journal)
    (ReadRecords(from_offset=0),)
    >>> empty = ledger.events.RecordsRead(
    ...     at=0, from_offset=0, records=(), first_offset=0, next_offset=0
    ... )
    >>> ledger.handle_event(empty, journal)
    ()
    >>> wanted = ledger.events.OwnershipWanted(at=1)
    >>> append, = ledger.handle_event(wanted, journal)
    >>> type(append.records[0]).__name__
    'Claim'
    >>> stored = ledger.events.AppendSucceeded(at=2, first_offset=0)
    >>> [type(it).__name__ for it in ledger.handle_event(stored, journal)]
    ['RecordSettled', 'OwnershipGained']
    >>> journal.is_owner
    True

The admission of programs is part of the scheduler and not available here yet.
"""

from bronzepost._internal.core import configuration, ledger, membership
from bronzepost._internal.core.endpoints import (
    Endpoint,
    EndpointAnswer,
    choose_endpoints,
)
from bronzepost._internal.core.record_ids import format_record_id
from bronzepost._internal.core.rendezvous import (
    PARTITION_COUNT,
    first_members,
    partition_of,
    rank_members,
)

__all__ = [
    'PARTITION_COUNT',
    'Endpoint',
    'EndpointAnswer',
    'choose_endpoints',
    'configuration',
    'first_members',
    'format_record_id',
    'ledger',
    'membership',
    'partition_of',
    'rank_members',
]
