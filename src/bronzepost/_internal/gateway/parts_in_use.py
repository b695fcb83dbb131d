"""The shared parts of prompts that are in use, here and at other VMs."""

from collections.abc import Iterable, Mapping

from bronzepost._internal.core.gateway import shared_parts
from bronzepost._internal.core.gateway.entities import PromptPart
from bronzepost._internal.node.clock import read_clock


class PartsInUse:
    """Shared parts by id, as requests and reports of other VMs name them."""

    def __init__(self) -> None:
        """Start without any part."""
        self._own: shared_parts.PartTable = {}
        self._known: shared_parts.PartTable = {}

    def list_own(self) -> dict[str, int]:
        """Return the tokens of the parts that callers of this VM use."""
        return shared_parts.list_tokens(self._own, at=read_clock())

    def report(self, tokens_by_part: Mapping[str, int]) -> None:
        """Note the parts that are in use at another VM."""
        parts = [
            PromptPart(part_id=part_id, tokens=tokens)
            for part_id, tokens in tokens_by_part.items()
        ]
        self._known = shared_parts.note_uses(
            self._known, parts, at=read_clock()
        )

    def choose_holders(
        self, part: PromptPart, server_ids: Iterable[str], memory_tokens: int
    ) -> frozenset[str]:
        """Note the use of a part and return the engines that keep it."""
        at = read_clock()
        names = tuple(server_ids)
        self._own = shared_parts.note_uses(self._own, (part,), at=at)
        self._known = shared_parts.note_uses(self._known, (part,), at=at)
        copies = shared_parts.count_copies(
            self._known, engines=len(names), memory_tokens=memory_tokens
        )
        return shared_parts.choose_holders(names, part.part_id, copies)
