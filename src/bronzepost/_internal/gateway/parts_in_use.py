"""The shared prompt parts that are in use at this VM and at its peers."""

from collections.abc import Iterable, Mapping

from bronzepost._internal.core.gateway import shared_parts
from bronzepost._internal.core.gateway.entities import PromptPart
from bronzepost._internal.node.clock import read_clock


class PartsInUse:
    """Track shared parts from the requests of callers and reports of peers."""

    def __init__(self) -> None:
        """Start without any part."""
        self._own: shared_parts.PartTable = {}
        self._all: shared_parts.PartTable = {}

    def list_own(self) -> dict[str, int]:
        """Return the tokens of the parts that callers of this VM use."""
        return shared_parts.list_tokens(self._own, at=read_clock())

    def add_reported(self, tokens_by_part: Mapping[str, int]) -> None:
        """Record the parts that are in use at a peer."""
        parts = [
            PromptPart(part_id=part_id, tokens=tokens)
            for part_id, tokens in tokens_by_part.items()
        ]
        self._all = shared_parts.record_uses(self._all, parts, at=read_clock())

    def choose_holders(
        self, part: PromptPart, server_ids: Iterable[str], memory_tokens: int
    ) -> frozenset[str]:
        """Record the use of a part by a caller; return its engines.

        ``memory_tokens`` is the KV cache capacity of one engine in tokens, 0 if
        unknown.
        """
        at = read_clock()
        engine_ids = tuple(server_ids)
        self._own = shared_parts.record_uses(self._own, (part,), at=at)
        self._all = shared_parts.record_uses(self._all, (part,), at=at)
        copies = shared_parts.count_copies(
            self._all, engines=len(engine_ids), memory_tokens=memory_tokens
        )
        return shared_parts.choose_holders(engine_ids, part.part_id, copies)
