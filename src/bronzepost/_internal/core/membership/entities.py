"""Members, settings and state of the membership protocol."""

import dataclasses
import enum
import math
import random

import msgspec


class MemberState(enum.StrEnum):
    """A member's state in the view of one node."""

    ALIVE = 'alive'
    SUSPECTED = 'suspected'
    LEAVING = 'leaving'
    DEAD = 'dead'


class MemberEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A member's entry as nodes send it to each other.

    It is encoded as an array without field names, since each message carries
    up to eight entries. ``boot`` distinguishes two processes of the same name:
    a new process does not own what the previous one claimed.
    """

    name: str
    peer_address: str
    forward_address: str
    caller_address: str
    availability_zone: str
    region: str
    incarnation: int
    state: MemberState = MemberState.ALIVE
    boot: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A member in the view of one node.

    ``changed_at`` is in seconds of the node's own monotonic clock.
    ``configuration_offset`` is the last one that the member itself has sent.
    """

    name: str
    peer_address: str
    forward_address: str
    caller_address: str
    availability_zone: str
    region: str
    incarnation: int
    state: MemberState
    configuration_offset: int
    changed_at: float
    boot: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MembershipSettings:
    """Intervals, timeouts and limits of the protocol; times are in seconds.

    ``ack_seconds`` is the timeout of a probe. ``suspicion_seconds`` and
    ``hearsay_seconds`` are timeouts after which a suspected member is declared
    dead. ``probe_seconds``, ``rejoin_seconds``, ``push_seconds`` and
    ``sync_seconds`` are the shortest intervals between two probes, contacts to
    missing members, pushes and full exchanges. ``push_fan_out`` is the number
    of members that receive each push, and ``updates_per_message`` the maximum
    number of spreading entries in a message.
    """

    probe_seconds: float = 0.5
    ack_seconds: float = 0.3
    suspicion_seconds: float = 1.2
    # For suspicions reported by other nodes: longer, so that nodes whose own
    # probes failed decide first and a refutation has time to arrive.
    hearsay_seconds: float = 2.4
    # Network partitions of regions last up to an hour. Dead members are kept
    # longer and contacted at intervals, so that both sides rejoin.
    dead_retention_seconds: float = 7200.0
    rejoin_seconds: float = 5.0
    push_seconds: float = 0.1
    push_fan_out: int = 3
    # An update is pushed until it was sent this many times. Six copies reach
    # all but a few of 410 members; probes reach the rest.
    push_sends: int = 6
    sync_seconds: float = 10.0
    # Views differ briefly after every change, so a full exchange waits for this
    # many consecutive messages with a different digest.
    sync_mismatches: int = 4
    # The number of members asked to ping a member that has not answered.
    helpers: int = 3
    updates_per_message: int = 8
    # An update is dropped once it was sent this many times the logarithm (base
    # 2, rounded up) of the number of members.
    resend_factor: int = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Probe:
    """The probe in progress; ``name`` is the member probed."""

    name: str
    sequence: int
    started_at: float
    is_indirect: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Suspicion:
    """When a suspected member is declared dead and when it is next pinged.

    Only a node whose own probe failed pings the suspect. If all nodes that
    received the suspicion did, a slow member would get a ping from each.
    """

    dead_at: float
    ping_at: float = math.inf


@dataclasses.dataclass(kw_only=True, slots=True)
class MembershipTables:
    """The membership state of one node.

    ``send_counts_by_name`` has the members whose entry still spreads and how
    often it was sent. ``digest`` is None when it has to be computed again.
    """

    own_name: str
    members_by_name: dict[str, Member]
    settings: MembershipSettings
    seeds: tuple[str, ...]
    random: random.Random
    send_counts_by_name: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    suspicions_by_name: dict[str, Suspicion] = dataclasses.field(
        default_factory=dict
    )
    probe_order: list[str] = dataclasses.field(default_factory=list)
    probe: Probe | None = None
    sequence: int = 0
    has_joined: bool = False
    digest: int | None = None
    digest_mismatches: int = 0
    next_probe_at: float = 0
    next_join_at: float = 0
    next_push_at: float = 0
    next_sync_at: float = 0
    last_tick_at: float | None = None

    def own_member(self) -> Member:
        """Return the node's own row."""
        return self.members_by_name[self.own_name]


def create_tables(
    own: MemberEntry,
    *,
    at: float,
    seeds: tuple[str, ...] = (),
    random_seed: int = 0,
    settings: MembershipSettings | None = None,
) -> MembershipTables:
    """Return the tables of a node that has just started.

    The incarnation of ``own`` is the boot time in milliseconds since the
    epoch, so that a new boot under the same name takes precedence over
    entries of the previous one. ``seeds`` are peer addresses.
    """
    return MembershipTables(
        own_name=own.name,
        members_by_name={own.name: member_from_entry(own, at=at)},
        settings=settings or MembershipSettings(),
        seeds=tuple(seed for seed in seeds if seed != own.peer_address),
        random=random.Random(random_seed),  # noqa: S311
    )


def member_from_entry(
    entry: MemberEntry, *, at: float, configuration_offset: int = 0
) -> Member:
    """Return the table row of an entry received at ``at``."""
    return Member(
        **msgspec.structs.asdict(entry),
        configuration_offset=configuration_offset,
        changed_at=at,
    )


def entry_from_member(member: Member) -> MemberEntry:
    """Return the entry that is sent to other nodes about a member."""
    return MemberEntry(
        name=member.name,
        peer_address=member.peer_address,
        forward_address=member.forward_address,
        caller_address=member.caller_address,
        availability_zone=member.availability_zone,
        region=member.region,
        incarnation=member.incarnation,
        state=member.state,
        boot=member.boot,
    )


def live_members(tables: MembershipTables) -> tuple[Member, ...]:
    """Return the members that are not dead, sorted by name."""
    return _select_members(
        tables, {MemberState.ALIVE, MemberState.SUSPECTED, MemberState.LEAVING}
    )


def serving_members(tables: MembershipTables) -> tuple[Member, ...]:
    """Return the members that may receive work, sorted by name.

    Suspected members are included, since most suspicions are refuted.
    """
    return _select_members(tables, {MemberState.ALIVE, MemberState.SUSPECTED})


def _select_members(
    tables: MembershipTables, states: set[MemberState]
) -> tuple[Member, ...]:
    names = sorted(tables.members_by_name)
    members = (tables.members_by_name[name] for name in names)
    return tuple(member for member in members if member.state in states)
