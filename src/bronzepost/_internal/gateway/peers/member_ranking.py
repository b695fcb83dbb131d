"""Rankings of members, cached until the members change."""

from bronzepost._internal.core.membership import Member
from bronzepost._internal.core.rendezvous import rank_members


class MemberRanking:
    """Cache the rendezvous order of the members for several keys.

    Each turn needs a ranking, and members change seldom.
    """

    def __init__(self) -> None:
        """Start without members."""
        self._members: tuple[Member, ...] = ()
        self._names_by_key: dict[str, tuple[str, ...]] = {}

    def rank(self, members: tuple[Member, ...], key: str) -> tuple[str, ...]:
        """Return the names of members in the order for a key.

        Rankings are cached as long as ``members`` is the same tuple.
        """
        if members is not self._members:
            self._members = members
            self._names_by_key = {}
        names = self._names_by_key.get(key)
        if names is None:
            names = rank_members((member.name for member in members), key)
            self._names_by_key[key] = names
        return names
