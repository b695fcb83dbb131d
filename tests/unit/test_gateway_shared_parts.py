"""Shared prompt parts stay in the caches of the engines that serve them.

The load is that of the association's grown site at its peak: 24 engines with 16
slots and 283,000 tokens of memory each, 16 shared parts of 12,600 tokens with a
Zipf distribution, and 417 turns a second with 2,000 tokens of their own each.
"""

import collections
import heapq
import random

import testtools
from testtools.matchers import LessThan

from bronzepost._internal.core.gateway import shared_parts
from bronzepost._internal.core.gateway.entities import PromptPart
from bronzepost._internal.core.gateway.placement import (
    PlacementContext,
    choose_server,
)
from bronzepost._internal.gateway.parts_in_use import PartsInUse
from tests.builders_gateway import make_server

ENGINES = 24
SLOTS = 16
MEMORY_TOKENS = 283_000
PARTS = 16
SHARED_TOKENS = 12_600
OWN_TOKENS = 2_000
TURNS_PER_SECOND = 417
TURN_SECONDS = 0.4
LOAD_SECONDS = 8
# The exponent of the Zipf distribution.
SKEW = 0.7


class Cache:
    """The memory of one engine, with eviction of least recently used parts."""

    def __init__(self) -> None:
        """Start empty."""
        self.read_tokens = 0
        self._tokens_by_part: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def use(self, part_id: str, tokens: int) -> bool:
        """Use a part; return whether it was not cached and had to be read."""
        is_read = part_id not in self._tokens_by_part
        self._tokens_by_part[part_id] = tokens
        self._tokens_by_part.move_to_end(part_id)
        while sum(self._tokens_by_part.values()) > MEMORY_TOKENS:
            self._tokens_by_part.popitem(last=False)
        return is_read


def replay_load(*, keeps_holders: bool) -> int:
    """Return how often engines read shared parts under the peak load."""
    generator = random.Random(7)
    servers = [
        make_server(f'i-{number}', slots=SLOTS) for number in range(ENGINES)
    ]
    caches = {server.server_id: Cache() for server in servers}
    in_flight: collections.Counter[str] = collections.Counter()
    weights = [(number + 1) ** -SKEW for number in range(PARTS)]
    parts: shared_parts.PartTable = {}
    ends: list[tuple[float, str]] = []
    reads = 0
    for turn in range(TURNS_PER_SECOND * LOAD_SECONDS):
        at = turn / TURNS_PER_SECOND
        while ends and ends[0][0] <= at:
            in_flight[heapq.heappop(ends)[1]] -= 1
        number = generator.choices(range(PARTS), weights)[0]
        part = PromptPart(part_id=f'part-{number}', tokens=SHARED_TOKENS)
        parts = shared_parts.record_uses(parts, (part,), at=at)
        copies = shared_parts.count_copies(
            parts, engines=ENGINES, memory_tokens=MEMORY_TOKENS
        )
        context = PlacementContext(
            availability_zone='hall-a',
            in_flight=in_flight,
            unshared_tokens=OWN_TOKENS,
            shared_tokens=SHARED_TOKENS if keeps_holders else 0,
            holder_ids=shared_parts.choose_holders(
                caches, part.part_id, copies
            ),
            salt=generator.getrandbits(32),
        )
        server = choose_server(servers, context)
        assert server is not None
        reads += caches[server.server_id].use(part.part_id, SHARED_TOKENS)
        caches[server.server_id].use(f'own-{turn}', OWN_TOKENS)
        in_flight[server.server_id] += 1
        heapq.heappush(ends, (at + TURN_SECONDS, server.server_id))
    return reads


class TestSharedParts(testtools.TestCase):
    """Each engine keeps some of the shared parts if it cannot keep all."""

    def test_hot_parts_are_seldom_read_again(self) -> None:
        """Engines that serve all parts evict each one before its next use."""
        without_holders = replay_load(keeps_holders=False)
        with_holders = replay_load(keeps_holders=True)
        self.assertThat(with_holders, LessThan(without_holders / 2))

    def test_parts_that_fit_are_kept_on_all_engines(self) -> None:
        """Fewer engines for a part would only make the load uneven."""
        parts = {'a': (600, 0), 'b': (400, 0)}
        copies = shared_parts.count_copies(
            parts, engines=6, memory_tokens=1_000_000
        )
        self.assertEqual(6, copies)

    def test_parts_of_the_first_site_are_kept_on_all_engines(self) -> None:
        """Its 16 parts fit into the 651,734 tokens of each of six engines."""
        parts = {f'part-{number}': (SHARED_TOKENS, 0) for number in range(16)}
        copies = shared_parts.count_copies(
            parts, engines=6, memory_tokens=651_734
        )
        self.assertEqual(6, copies)

    def test_parts_are_kept_on_all_engines_if_memory_is_unknown(self) -> None:
        parts = {'a': (600, 0)}
        copies = shared_parts.count_copies(parts, engines=6, memory_tokens=0)
        self.assertEqual(6, copies)

    def test_all_vms_choose_the_same_engines(self) -> None:
        names = [f'i-{number}' for number in range(ENGINES)]
        here = shared_parts.choose_holders(names, 'a', 5)
        there = shared_parts.choose_holders(reversed(names), 'a', 5)
        self.assertEqual(here, there)
        self.assertEqual(5, len(here))

    def test_part_out_of_use_is_forgotten(self) -> None:
        """Parts of ended programs must not count against those in use."""
        part = PromptPart(part_id='b', tokens=1)
        parts = shared_parts.record_uses({'a': (1, 0)}, (part,), at=60)
        self.assertEqual(['b'], list(parts))

    def test_parts_that_peers_report_count(self) -> None:
        """A VM sees few of the parts itself and would use too many engines."""
        names = [f'i-{number}' for number in range(10)]
        part = PromptPart(part_id='a', tokens=100)
        peer_part = PromptPart(part_id='b', tokens=900)
        own, peer = PartsInUse(), PartsInUse()
        before = own.choose_holders(part, names, 1000)
        peer.choose_holders(peer_part, names, 1000)
        own.add_reported(peer.list_own())
        after = own.choose_holders(part, names, 1000)
        self.assertEqual((10, 2), (len(before), len(after)))

    def test_engine_that_keeps_the_part_is_preferred(self) -> None:
        context = PlacementContext(
            availability_zone='hall-a',
            in_flight={'i-1': 2},
            shared_tokens=SHARED_TOKENS,
            holder_ids=frozenset(('i-1',)),
        )
        servers = [make_server(name, slots=SLOTS) for name in ('i-1', 'i-2')]
        chosen = choose_server(servers, context)
        self.assertEqual('i-1', chosen and chosen.server_id)
