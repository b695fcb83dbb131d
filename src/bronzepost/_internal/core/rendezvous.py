"""Rendezvous hashing: which members come first for a key.

Every node computes the same order from the same members without talking to
the others, and when a member goes only the keys that it came first for move,
spread over all the rest. The order is a hint: who owns a partition is decided
by the log.
"""

import heapq
from collections.abc import Iterable

import xxhash

PARTITION_COUNT = 48


def rank_members(members: Iterable[str], key: str) -> tuple[str, ...]:
    """Return all ``members``, the one with the highest weight first.

    >>> rank_members(['hall-a-1'], 'programs-00')
    ('hall-a-1',)
    """
    seed = xxhash.xxh64_intdigest(key.encode())
    weighed = sorted(_weigh(member, seed) for member in set(members))
    return tuple(member for _, member in reversed(weighed))


def first_members(
    members: Iterable[str], key: str, count: int
) -> tuple[str, ...]:
    """Return the first ``count`` members of the ranking, without a full sort.

    The result is shorter when there are fewer members.
    """
    seed = xxhash.xxh64_intdigest(key.encode())
    weighed = (_weigh(member, seed) for member in set(members))
    return tuple(member for _, member in heapq.nlargest(count, weighed))


def partition_of(program_id: str, partitions: int = PARTITION_COUNT) -> int:
    """Return the partition that a program and its sub-agents belong to.

    Only the root program id counts, which is the text before the first dot,
    so that a whole program tree has one owner.
    """
    root, _, _ = program_id.partition('.')
    return xxhash.xxh64_intdigest(root.encode()) % partitions


def _weigh(member: str, seed: int) -> tuple[int, str]:
    # The name breaks the tie of equal weights in the same way on every node.
    return xxhash.xxh64_intdigest(member.encode(), seed=seed), member
