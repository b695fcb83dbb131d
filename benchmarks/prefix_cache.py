"""Simulated prefix cache of one engine: bounded, with LRU eviction."""

import collections
import dataclasses
from collections.abc import Callable

from bronzepost._internal.core.scheduling.events import CacheEventKind

CacheListener = Callable[[CacheEventKind, str, int], None]


@dataclasses.dataclass(kw_only=True, slots=True)
class Prefix:
    """Cached tokens of a session; the last ``unused`` had no hit yet."""

    tokens: int = 0
    unused: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class CacheFigures:
    """Tokens filled, hit and wasted so far.

    A token is wasted when it is evicted or released while its program is live
    and no prompt has hit it since it was filled. Tokens of ended programs and
    of failed servers do not count as wasted.
    """

    filled: int = 0
    hit: int = 0
    wasted: int = 0


class PrefixCache:
    """Divide the memory of one engine between running calls and prefixes.

    A running call reserves memory for its prompt and its output, and its
    prefix cannot be evicted. The other prefixes are evicted in blocks from
    their ends, least recently used session first.
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
        self._idle_prefixes: collections.OrderedDict[str, Prefix] = (
            collections.OrderedDict()
        )
        self._pinned_prefixes: dict[str, Prefix] = {}

    @property
    def held_tokens(self) -> int:
        """Return the tokens of idle prefixes and of running calls."""
        return self.idle_tokens + self.reserved_tokens

    def reserve(
        self, session: str, prompt_tokens: int, output_tokens: int
    ) -> int:
        """Reserve memory for a call and return its cached prompt tokens.

        Returns -1 and changes nothing if running calls leave too little memory.
        """
        needed_tokens = prompt_tokens + output_tokens
        if self.reserved_tokens + needed_tokens > self.capacity:
            return -1
        prefix = self._idle_prefixes.pop(session, Prefix())
        self.idle_tokens -= prefix.tokens
        self.reserved_tokens += needed_tokens
        self._pinned_prefixes[session] = prefix
        self._evict(self.held_tokens - self.capacity)
        cached_tokens = min(prefix.tokens, prompt_tokens)
        if cached_tokens:
            self._listener(CacheEventKind.USED, session, cached_tokens)
        missing_tokens = prompt_tokens - cached_tokens
        prefix.unused = missing_tokens
        self.figures.hit += cached_tokens
        self.figures.filled += missing_tokens
        return cached_tokens

    def finish(
        self, session: str, prompt_tokens: int, output_tokens: int
    ) -> None:
        """Keep the prompt and output of a finished call as a prefix."""
        prefix = self._pinned_prefixes.pop(session)
        self._listener(
            CacheEventKind.FILLED, session, prefix.unused + output_tokens
        )
        prefix.tokens = prompt_tokens + output_tokens
        prefix.unused += output_tokens
        self.figures.filled += output_tokens
        self.reserved_tokens -= prefix.tokens
        self.idle_tokens += prefix.tokens
        self._idle_prefixes[session] = prefix

    def release(self, session: str, *, is_live: bool) -> None:
        """Drop the prefix of a session, unless a call of the session runs.

        ``is_live`` tells whether the program is live, so that tokens without
        a hit count as wasted.
        """
        prefix = self._idle_prefixes.pop(session, None)
        if prefix is None:
            return
        self.idle_tokens -= prefix.tokens
        if is_live:
            self.figures.wasted += prefix.unused

    def _evict(self, excess_tokens: int) -> None:
        while excess_tokens > 0:
            session, prefix = next(iter(self._idle_prefixes.items()))
            blocks = -(-excess_tokens // self._block_tokens)
            evicted_tokens = min(prefix.tokens, blocks * self._block_tokens)
            wasted = min(prefix.unused, evicted_tokens)
            prefix.tokens -= evicted_tokens
            prefix.unused -= wasted
            self.figures.wasted += wasted
            self.idle_tokens -= evicted_tokens
            excess_tokens -= evicted_tokens
            self._listener(CacheEventKind.EVICTED, session, evicted_tokens)
            if not prefix.tokens:
                self._idle_prefixes.pop(session)
