"""Whether most VMs agree to a claim on the pool of a budget.

Any two majorities share a VM, which objects to a claim that exceeds the pool together
with those it has agreed to. That holds only if the VM remembers them, and if both
majorities are counted of the same VMs.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PoolVotes:
    """The answers of VMs that were asked to agree to a claim.

    Of the ``peers`` that were asked, ``held`` hold a copy of the claim, and
    ``held_in_memory`` of these know all that they have agreed to before.
    ``objections`` object, and ``remembering`` know all, whatever they answer. The
    claim needs most of the ``voters``, the largest number that any VM knows of.
    ``own_votes`` is 1 if this VM is one of them, which knows all it has agreed to
    if it ``remembers``.
    """

    peers: int
    voters: int
    own_votes: int = 1
    remembers: bool = True
    held: int = 0
    held_in_memory: int = 0
    objections: int = 0
    remembering: int = 0

    @property
    def needed(self) -> int:
        """Return how many VMs have to agree, abstaining ones being no consent."""
        return self.voters // 2 + 1

    @property
    def can_reach_majority(self) -> bool:
        """Return whether enough VMs can be asked."""
        return self.peers + self.own_votes >= self.needed

    @property
    def has_majority(self) -> bool:
        """Return whether most VMs agree that remember what they agreed to."""
        own = self.own_votes if self.remembers else 0
        return self.held_in_memory + own >= self.needed

    @property
    def has_all_without_memory(self) -> bool:
        """Return whether all VMs agree, of which none remembers anything.

        All of them were lost, and grants that this may have erased are assumed.
        """
        agreeing = self.held + self.own_votes
        remembering = self.remembering + self.remembers
        return not remembering and agreeing == self.voters


def add_vote(
    votes: PoolVotes, *, is_held: bool, has_memory: bool, voters: int
) -> PoolVotes:
    """Return the votes with the answer of one more peer.

    A VM that does not remember holds the copy, but its agreement does not count.

    >>> votes = PoolVotes(peers=2, voters=3)
    >>> votes = add_vote(votes, is_held=True, has_memory=False, voters=3)
    >>> votes.has_majority
    False
    >>> votes = add_vote(votes, is_held=True, has_memory=True, voters=3)
    >>> votes.has_majority
    True
    """
    return dataclasses.replace(
        votes,
        voters=max(votes.voters, voters),
        held=votes.held + is_held,
        held_in_memory=votes.held_in_memory + (is_held and has_memory),
        objections=votes.objections + (not is_held),
        remembering=votes.remembering + has_memory,
    )
