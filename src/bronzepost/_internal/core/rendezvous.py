"""Rendezvous hashing: a ranking of the members for each key.

Every node computes the same ranking from the same members without exchanging
messages. When a member leaves, only the keys that ranked it first move, and
they spread over all remaining members. The ranking is only a preference; the
log determines who owns a partition.
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
    weighted = sorted(_compute_weight(member, seed) for member in set(members))
    return tuple(member for _, member in reversed(weighted))


def first_members(
    members: Iterable[str], key: str, count: int
) -> tuple[str, ...]:
    """Return the first ``count`` members of the ranking, without a full sort.

    The result is shorter when there are fewer members.
    """
    seed = xxhash.xxh64_intdigest(key.encode())
    weighted = (_compute_weight(member, seed) for member in set(members))
    return tuple(member for _, member in heapq.nlargest(count, weighted))


def partition_of(program_id: str, partitions: int = PARTITION_COUNT) -> int:
    """Return the partition that a program and its sub-agents belong to.

    Only the identifier of the root program is hashed, which is the part before
    the first dot, so that a whole program tree has one owner.
    """
    root, _, _ = program_id.partition('.')
    return xxhash.xxh64_intdigest(root.encode()) % partitions


def _compute_weight(member: str, seed: int) -> tuple[int, str]:
    # The name breaks ties of equal weights in the same way on every node.
    return xxhash.xxh64_intdigest(member.encode(), seed=seed), member
