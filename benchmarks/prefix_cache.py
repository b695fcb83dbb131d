"""Bounded prefix cache of one engine with LRU eviction."""

import collections
import dataclasses
from collections.abc import Callable

from bronzepost._internal.core.scheduling.events import CacheEventKind

CacheListener = Callable[[CacheEventKind, str, int], None]


@dataclasses.dataclass(kw_only=True, slots=True)
class Prefix:
    """Cached tokens of a session; the last ``unused`` were never hit."""

    tokens: int = 0
    unused: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class CacheFigures:
    """Tokens filled, hit and wasted so far.

    A token is wasted when it is evicted or released while its program lives
    and no prompt has hit it since it was filled. Tokens of ended programs and
    of failed servers are not wasted.
    """

    filled: int = 0
    hit: int = 0
    wasted: int = 0


class PrefixCache:
    """Share the memory of one engine between running calls and prefixes.

    A running call reserves memory for its prompt and its output, and its
    prefix cannot be evicted. All other prefixes are evicted from the tail,
    least recently used session first.
    """

    def __init__(
        self,
        *,
        capacity: int,
        block_tokens: int,
        listener: CacheListener,
    ) -> None:
        """Start empty, with a capacity in tokens."""
        self.capacity = capacity
        self.figures = CacheFigures()
        self.idle_tokens = 0
        self.reserved_tokens = 0
        self._block_tokens = block_tokens
        self._listener = listener
        self._idle: collections.OrderedDict[str, Prefix] = (
            collections.OrderedDict()
        )
        self._pinned: dict[str, Prefix] = {}

    @property
    def held_tokens(self) -> int:
        """Return all tokens in memory."""
        return self.idle_tokens + self.reserved_tokens

    def reserve(self, session: str, prompt_tokens: int, output: int) -> int:
        """Reserve memory for a call; return the prompt tokens it can skip.

        Returns -1, and changes nothing, if running calls leave too little.
        """
        needed = prompt_tokens + output
        if self.reserved_tokens + needed > self.capacity:
            return -1
        prefix = self._idle.pop(session, Prefix())
        self.idle_tokens -= prefix.tokens
        self.reserved_tokens += needed
        self._pinned[session] = prefix
        self._evict(self.held_tokens - self.capacity)
        cached = min(prefix.tokens, prompt_tokens)
        if cached:
            self._listener(CacheEventKind.USED, session, cached)
        missing = prompt_tokens - cached
        prefix.unused = missing
        self.figures.hit += cached
        self.figures.filled += missing
        return cached

    def finish(self, session: str, prompt_tokens: int, output: int) -> None:
        """Keep the prompt and output of a finished call as a prefix."""
        prefix = self._pinned.pop(session)
        self._listener(CacheEventKind.FILLED, session, prefix.unused + output)
        prefix.tokens = prompt_tokens + output
        prefix.unused += output
        self.figures.filled += output
        self.reserved_tokens -= prefix.tokens
        self.idle_tokens += prefix.tokens
        self._idle[session] = prefix

    def release(self, session: str, *, is_live: bool) -> None:
        """Drop an idle prefix; that of a running call stays."""
        prefix = self._idle.pop(session, None)
        if prefix is None:
            return
        self.idle_tokens -= prefix.tokens
        if is_live:
            self.figures.wasted += prefix.unused

    def _evict(self, excess: int) -> None:
        while excess > 0:
            session, prefix = next(iter(self._idle.items()))
            blocks = -(-excess // self._block_tokens)
            taken = min(prefix.tokens, blocks * self._block_tokens)
            wasted = min(prefix.unused, taken)
            prefix.tokens -= taken
            prefix.unused -= wasted
            self.figures.wasted += wasted
            self.idle_tokens -= taken
            excess -= taken
            self._listener(CacheEventKind.EVICTED, session, taken)
            if not prefix.tokens:
                self._idle.pop(session)
