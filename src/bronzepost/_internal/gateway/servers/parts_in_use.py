"""The shared prompt parts that are in use at this VM and at its peers."""

import dataclasses
from collections.abc import Sequence
from typing import Final

from bronzepost._internal.core.gateway import shared_parts
from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    PromptPart,
)
from bronzepost._internal.node.clock import read_clock

Servers = Sequence[BackendServer]

# Summing the reports of 90 peers takes longer than the rest of a decision.
REFRESH_SECONDS: Final = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Holders:
    """The engines that keep a shared part, chosen from ``servers``.

    ``server_ids`` are the ids of ``engines``.
    """

    engines: Servers = ()
    server_ids: frozenset[str] = frozenset()
    servers: Servers = ()


class PartsInUse:
    """Track shared parts from the requests of callers and reports of peers."""

    def __init__(self) -> None:
        """Start without any part."""
        self._own: dict[str, shared_parts.PartUse] = {}
        self._reported_by_name: dict[
            str, tuple[float, shared_parts.ReportedParts]
        ] = {}
        self._total: shared_parts.PartTable = {}
        self._refreshed_at: float = 0
        self._holders_by_part: dict[str, Holders] = {}

    def list_own(self) -> dict[str, tuple[int, float]]:
        """Return tokens and uses of the parts that callers of this VM use."""
        in_use = shared_parts.list_in_use(self._own, at=read_clock())
        return {
            key: (use.tokens, round(use.uses, 1)) for key, use in in_use.items()
        }

    def put_reported(
        self, name: str, parts: shared_parts.ReportedParts
    ) -> None:
        """Replace the parts that are in use at a peer."""
        self._reported_by_name[name] = (read_clock(), parts)

    def choose_holders(
        self, part: PromptPart, servers: Servers, memory_tokens: int
    ) -> Holders:
        """Record the use of a part by a caller; return its engines.

        ``servers`` is the same object until an engine changes, and
        ``memory_tokens`` the KV cache capacity of one engine in tokens, 0 if
        unknown.
        """
        at = read_clock()
        key = part.part_id
        self._own[key] = shared_parts.add_use(self._own.get(key), part, at=at)
        if at - self._refreshed_at > REFRESH_SECONDS or key not in self._total:
            self._refresh(at)
        known = self._holders_by_part.get(key)
        if known is None or known.servers is not servers:
            known = find_holders(
                key, servers, self._total, memory_tokens=memory_tokens
            )
            self._holders_by_part[key] = known
        return known

    def peek_holders(
        self, part: PromptPart, servers: Servers, memory_tokens: int
    ) -> Holders:
        """Return the engines of a part, without recording a use.

        A part that is not in use is taken to be used once.
        """
        total = self._total
        if part.part_id not in total:
            use = shared_parts.add_use(None, part, at=read_clock())
            total = {**total, part.part_id: use}
        return find_holders(
            part.part_id, servers, total, memory_tokens=memory_tokens
        )

    def _refresh(self, at: float) -> None:
        oldest = at - shared_parts.IN_USE_SECONDS
        self._reported_by_name = {
            name: received
            for name, received in self._reported_by_name.items()
            if received[0] >= oldest
        }
        self._own = shared_parts.list_in_use(self._own, at=at)
        self._total = shared_parts.sum_uses(
            self._own,
            (parts for _, parts in self._reported_by_name.values()),
            at=at,
        )
        self._refreshed_at = at
        self._holders_by_part = {}


def find_holders(
    part_id: str,
    servers: Servers,
    total: shared_parts.PartTable,
    *,
    memory_tokens: int,
) -> Holders:
    """Return the engines that keep a part of those in use."""
    copies_by_part = shared_parts.plan_copies(
        total, engines=len(servers), memory_tokens=memory_tokens
    )
    copies = copies_by_part[part_id]
    holder_ids = shared_parts.choose_holders(
        (server.server_id for server in servers), part_id, copies
    )
    engines = servers
    if copies < len(servers):
        engines = tuple(
            server for server in servers if server.server_id in holder_ids
        )
    return Holders(engines=engines, server_ids=holder_ids, servers=servers)
