"""Bounded prefix cache of the engine with LRU eviction."""

import random
import time
from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import islice

import msgspec

from standins.faults import Switches

MAX_KEPT_EVENTS = 20000
MAX_READ_EVENTS = 2000
EVENT_SEED = 20

# An entry is one message of a session, named by the digest of the prefix
# that ends with it.
EntryKey = tuple[str, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class Prefix:
    """One message: the digest of the prefix ending with it, and its tokens."""

    digest: str
    tokens: int


class CacheEvent(msgspec.Struct, kw_only=True, frozen=True):
    """One change of the cache, as reported to callers of the engine."""

    number: int
    kind: str
    session: str
    tokens: int


class CacheTotals(msgspec.Struct, kw_only=True):
    """Token counts since the start.

    ``used_tokens`` counts filled tokens once, at their first hit, and
    ``hit_tokens`` counts them at every hit. ``released_tokens`` were released
    by the scheduler after the program had ended and do not count as evicted;
    ``released_unused_tokens`` are those among them that were never hit.
    """

    filled_tokens: int = 0
    imported_tokens: int = 0
    used_tokens: int = 0
    hit_tokens: int = 0
    evicted_tokens: int = 0
    evicted_unused_tokens: int = 0
    released_tokens: int = 0
    released_unused_tokens: int = 0


class EventLog:
    """Cache events, which become visible with a lag and with gaps."""

    def __init__(self, *, switches: Switches) -> None:
        """Start empty; gaps are drawn from a fixed seed."""
        self._switches = switches
        self._events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=MAX_KEPT_EVENTS
        )
        self._next_number = 0
        self._random = random.Random(EVENT_SEED)

    def add(self, kind: str, session: str, tokens: int) -> None:
        """Add an event; a lost one still uses up its number."""
        event = CacheEvent(
            number=self._next_number, kind=kind, session=session, tokens=tokens
        )
        self._next_number += 1
        if self._random.random() >= self._switches.event_gap_fraction:
            self._events.append((time.monotonic(), event))

    def read(self, start: int, visible_until: float) -> list[CacheEvent]:
        """Return at most 2,000 events that are old enough, from a number on."""
        visible = (
            event
            for added_at, event in self._events
            if event.number >= start and added_at <= visible_until
        )
        return list(islice(visible, MAX_READ_EVENTS))


class PrefixCache:
    """Cache entries by session and prefix digest, least recently used first."""

    def __init__(self, *, capacity_tokens: int, switches: Switches) -> None:
        """Start empty."""
        self.capacity_tokens = capacity_tokens
        self.held_tokens = 0
        self.totals = CacheTotals()
        self.events = EventLog(switches=switches)
        self._tokens_by_key: OrderedDict[EntryKey, int] = OrderedDict()
        self._unused_keys: set[EntryKey] = set()
        self._held_by_session: Counter[str] = Counter()
        self._pins_by_key: Counter[EntryKey] = Counter()

    def held_by_session(self) -> dict[str, int]:
        """Return the tokens of each session that holds an entry."""
        return dict(self._held_by_session)

    def cached_tokens(self, session: str, prefixes: Sequence[Prefix]) -> int:
        """Return the tokens of the longest cached prefix, without using it."""
        return sum(prefix.tokens for prefix in self._match(session, prefixes))

    def use(self, session: str, prefixes: Sequence[Prefix]) -> int:
        """Return the tokens of the longest cached prefix and mark it used."""
        matched = self._match(session, prefixes)
        for hit in matched:
            key = (session, hit.digest)
            if key in self._unused_keys:
                self._unused_keys.discard(key)
                self.totals.used_tokens += hit.tokens
        self._touch(session, matched)
        tokens = sum(prefix.tokens for prefix in matched)
        self.totals.hit_tokens += tokens
        if tokens:
            self.events.add('used', session, tokens)
        return tokens

    def fill(self, session: str, prefixes: Sequence[Prefix]) -> int:
        """Add the missing entries of a chain and return the added tokens.

        The chain is cut at the first message that does not fit without
        evicting entries of running requests.
        """
        present = self._match(session, prefixes)
        self._touch(session, present)
        # The pins prevent the chain from evicting its own start.
        self.pin(session, prefixes)
        added = 0
        for prefix in prefixes[len(present) :]:
            key = (session, prefix.digest)
            if key in self._tokens_by_key:
                continue
            if not self._make_room(prefix.tokens):
                break
            self._insert(key, prefix.tokens)
            added += prefix.tokens
        self.unpin(session, prefixes)
        self._touch(session, self._match(session, prefixes))
        self.totals.filled_tokens += added
        if added:
            self.events.add('filled', session, added)
        return added

    def import_chain(self, session: str, prefixes: Sequence[Prefix]) -> int:
        """Add a chain that another engine exported."""
        added = self.fill(session, prefixes)
        self.totals.imported_tokens += added
        return added

    def export_chain(self, session: str) -> list[Prefix]:
        """Return the entries of a session, shortest prefix first."""
        keys = [key for key in self._tokens_by_key if key[0] == session]
        return [
            Prefix(digest=key[1], tokens=self._tokens_by_key[key])
            for key in reversed(keys)
        ]

    def release(self, session: str) -> int:
        """Drop all entries of a session and return their tokens."""
        keys = [key for key in self._tokens_by_key if key[0] == session]
        released = sum(self._tokens_by_key[key] for key in keys)
        self.totals.released_tokens += released
        self.totals.released_unused_tokens += sum(
            self._tokens_by_key[key] for key in keys if key in self._unused_keys
        )
        for key in keys:
            self._remove(key)
        return released

    def pin(self, session: str, prefixes: Iterable[Prefix]) -> None:
        """Protect the entries of a running request from eviction."""
        self._pins_by_key.update(
            (session, prefix.digest) for prefix in prefixes
        )

    def unpin(self, session: str, prefixes: Iterable[Prefix]) -> None:
        """Allow eviction again after the request has ended."""
        for prefix in prefixes:
            key = (session, prefix.digest)
            self._pins_by_key[key] -= 1
            if self._pins_by_key[key] <= 0:
                self._pins_by_key.pop(key)

    def _match(
        self, session: str, prefixes: Sequence[Prefix]
    ) -> Sequence[Prefix]:
        for index, prefix in enumerate(prefixes):
            if (session, prefix.digest) not in self._tokens_by_key:
                return prefixes[:index]
        return prefixes

    def _touch(self, session: str, prefixes: Sequence[Prefix]) -> None:
        # The longest prefix becomes the oldest, so a chain is evicted from its
        # end and the remaining prefixes can still be hit.
        for prefix in reversed(prefixes):
            self._tokens_by_key.move_to_end((session, prefix.digest))

    def _make_room(self, tokens: int) -> bool:
        if tokens > self.capacity_tokens:
            return False
        while self.held_tokens + tokens > self.capacity_tokens:
            oldest = next(
                (
                    key
                    for key in self._tokens_by_key
                    if key not in self._pins_by_key
                ),
                None,
            )
            if oldest is None:
                return False
            self._evict(oldest)
        return True

    def _evict(self, key: EntryKey) -> None:
        tokens = self._tokens_by_key[key]
        self.totals.evicted_tokens += tokens
        if key in self._unused_keys:
            self.totals.evicted_unused_tokens += tokens
        self._remove(key)
        self.events.add('evicted', key[0], tokens)

    def _insert(self, key: EntryKey, tokens: int) -> None:
        self._tokens_by_key[key] = tokens
        self._unused_keys.add(key)
        self._held_by_session[key[0]] += tokens
        self.held_tokens += tokens

    def _remove(self, key: EntryKey) -> None:
        tokens = self._tokens_by_key.pop(key)
        self.held_tokens -= tokens
        self._held_by_session[key[0]] -= tokens
        self._unused_keys.discard(key)
        if not self._held_by_session[key[0]]:
            self._held_by_session.pop(key[0])
