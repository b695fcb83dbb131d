"""Decide which sessions on engines are no longer in use."""

import dataclasses
from collections.abc import Collection
from typing import Final

from bronzepost._internal.core.ledger.state import ProgramEntry

# Sessions of calls without a program are named "call~NODE~BOOT~NUMBER".
# Program names cannot contain a tilde.
CALL_PREFIX: Final = 'call'
SEPARATOR: Final = '~'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SessionView:
    """What a node knows about a session on an engine.

    ``program`` is the entry of the session's program if the node owns its
    partition. ``live_calls`` are the sessions of this node's calls without a
    program. ``live_nodes`` are the nodes whose calls without a program may be
    in progress.
    """

    node: str
    live_nodes: frozenset[str]
    live_calls: Collection[str]
    is_owner: bool
    program: ProgramEntry | None


def name_call_session(node: str, boot: str, number: int) -> str:
    """Return the name of the session of a call without a program."""
    return SEPARATOR.join((CALL_PREFIX, node, boot, str(number)))


def should_release_session(session: str, view: SessionView) -> bool:
    """Return whether the node should release a session.

    Only the owner of a partition knows whether a program is live, so no other
    node releases its sessions. After a change of owner they are kept until the
    new owner has read the partition.
    """
    prefix, _, rest = session.partition(SEPARATOR)
    if prefix == CALL_PREFIX and rest:
        node = rest.partition(SEPARATOR)[0]
        if node == view.node:
            return session not in view.live_calls
        return view.is_owner and node not in view.live_nodes
    if not view.is_owner:
        return False
    return view.program is None or bool(view.program.ended)
