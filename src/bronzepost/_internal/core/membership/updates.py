"""Merging of member entries and selection of the entries to send.

An entry replaces another one with a lower incarnation, or with the same
incarnation and a state of lower rank. Only the member itself raises its
incarnation.
"""

import dataclasses
import math
import types
from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from .entities import (
    Member,
    MemberEntry,
    MembershipTables,
    MemberState,
    Suspicion,
    entry_from_member,
    member_from_entry,
)
from .events import MemberChanged

# Leaving ranks above suspected, so that a suspicion cannot hide a shutdown.
_RANK_BY_STATE: Mapping[MemberState, int] = types.MappingProxyType({
    MemberState.ALIVE: 0,
    MemberState.SUSPECTED: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
})


def merge_entries(
    tables: MembershipTables, entries: Iterable[MemberEntry], at: float
) -> tuple[MemberChanged, ...]:
    """Apply received entries and return the changes."""
    changes = (merge_entry(tables, entry, at) for entry in entries)
    return tuple(change for change in changes if change is not None)


def merge_entry(
    tables: MembershipTables, entry: MemberEntry, at: float
) -> MemberChanged | None:
    """Apply an entry if it takes precedence over the known one."""
    if entry.name == tables.own_name:
        return _refute(tables, entry, at)
    known = tables.members_by_name.get(entry.name)
    if known is None:
        # Otherwise nodes would send a removed member back to each other.
        is_newer = entry.state is not MemberState.DEAD
    else:
        is_newer = _precedence(entry) > _precedence(known)
    return _replace_entry(tables, entry, at) if is_newer else None


def mark_member(
    tables: MembershipTables, name: str, state: MemberState, at: float
) -> MemberChanged | None:
    """Set a member's state if it ranks above the known one."""
    entry = entry_from_member(tables.members_by_name[name])
    return merge_entry(tables, _with_state(entry, state), at)


def mark_self_leaving(
    tables: MembershipTables, at: float
) -> MemberChanged | None:
    """Mark the node itself as leaving; the change spreads as an update."""
    own = tables.own_member()
    if own.state is MemberState.LEAVING:
        return None
    entry = _with_state(entry_from_member(own), MemberState.LEAVING)
    return _replace_entry(tables, entry, at)


def confirm_suspicion(tables: MembershipTables, name: str, at: float) -> None:
    """Start or shorten a suspicion after this node's own probe failed."""
    dead_at = at + tables.settings.suspicion_seconds
    known = tables.suspicions_by_name.get(name)
    tables.suspicions_by_name[name] = Suspicion(
        dead_at=min(dead_at, known.dead_at) if known else dead_at, ping_at=at
    )


def select_updates(
    tables: MembershipTables, *, recipient: str = ''
) -> tuple[MemberEntry, ...]:
    """Return the entries for the next message and count them as sent.

    The entries sent least often come first. If ``recipient``, the name of the
    receiving member, is not alive in this node's view, its entry is included,
    so that it can refute.
    """
    send_counts = tables.send_counts_by_name
    names = sorted(send_counts, key=lambda key: (send_counts[key], key))
    names = names[: tables.settings.updates_per_message]
    for name in names:
        _count_send(tables, name)
    updates = [entry_from_member(tables.members_by_name[key]) for key in names]
    member = tables.members_by_name.get(recipient)
    if (
        member
        and member.state is not MemberState.ALIVE
        and recipient not in names
    ):
        updates.append(entry_from_member(member))
    return tuple(updates)


def has_unpushed_updates(tables: MembershipTables) -> bool:
    """Return whether an update was sent fewer than ``push_sends`` times."""
    push_sends = tables.settings.push_sends
    return any(
        sends < push_sends for sends in tables.send_counts_by_name.values()
    )


def digest_members(tables: MembershipTables) -> int:
    """Return a digest over the members that are not dead, never 0.

    Dead members are left out, since nodes remove them at different times.
    """
    if tables.digest is None:
        digest = 1
        for member in tables.members_by_name.values():
            if member.state is not MemberState.DEAD:
                digest ^= _hash_member(member)
        tables.digest = digest or 1
    return tables.digest


def remove_member(tables: MembershipTables, name: str) -> MemberChanged:
    """Remove a member and all state about it."""
    member = tables.members_by_name.pop(name)
    tables.send_counts_by_name.pop(name, None)
    tables.digest = None
    tables.suspicions_by_name.pop(name, None)
    return MemberChanged(
        name=name,
        previous=member.state,
        current=None,
        incarnation=member.incarnation,
    )


def _hash_member(member: Member) -> int:
    text = f'{member.name} {member.incarnation} {member.state}'
    return xxhash.xxh64_intdigest(text.encode())


def _precedence(entry: MemberEntry | Member) -> tuple[int, int]:
    return entry.incarnation, _RANK_BY_STATE[entry.state]


def _with_state(entry: MemberEntry, state: MemberState) -> MemberEntry:
    return msgspec.structs.replace(entry, state=state)


def _refute(
    tables: MembershipTables, entry: MemberEntry, at: float
) -> MemberChanged | None:
    own = tables.own_member()
    known = entry_from_member(own)
    if entry == known or _precedence(entry) < _precedence(known):
        return None
    member = dataclasses.replace(own, incarnation=entry.incarnation + 1)
    return _replace_entry(tables, entry_from_member(member), at)


def _replace_entry(
    tables: MembershipTables, entry: MemberEntry, at: float
) -> MemberChanged:
    known = tables.members_by_name.get(entry.name)
    offset = known.configuration_offset if known else 0
    tables.members_by_name[entry.name] = member_from_entry(
        entry, at=at, configuration_offset=offset
    )
    tables.suspicions_by_name.pop(entry.name, None)
    if entry.state is MemberState.SUSPECTED:
        tables.suspicions_by_name[entry.name] = Suspicion(
            dead_at=at + tables.settings.hearsay_seconds
        )
    tables.send_counts_by_name[entry.name] = 0
    tables.digest = None
    return MemberChanged(
        name=entry.name,
        previous=known.state if known else None,
        current=entry.state,
        incarnation=entry.incarnation,
    )


def _count_send(tables: MembershipTables, name: str) -> None:
    # SWIM: an update reaches all members with high probability after a small
    # multiple of the logarithm of their number.
    rounds = math.ceil(math.log2(len(tables.members_by_name) + 1))
    tables.send_counts_by_name[name] += 1
    if (
        tables.send_counts_by_name[name]
        >= tables.settings.resend_factor * rounds
    ):
        tables.send_counts_by_name.pop(name)
