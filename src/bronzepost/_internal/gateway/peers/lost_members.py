"""Members that were lost a short time ago."""

from typing import Final

from bronzepost._internal.core.membership import MemberChanged, MemberState
from bronzepost._internal.node.clock import read_clock

# A member that is declared dead may run and be cut off from this VM only. For this
# long it counts as one that may use backend servers.
LOST_SECONDS: Final = 30.0


class LostMembers:
    """The members that were declared dead without having left."""

    def __init__(self) -> None:
        """Start without lost members."""
        self._lost_at_by_name: dict[str, float] = {}

    def record(self, change: MemberChanged) -> None:
        """Record the change of a member."""
        if change.current is not MemberState.DEAD:
            self._lost_at_by_name.pop(change.name, None)
        elif change.previous is not MemberState.LEAVING:
            self._lost_at_by_name[change.name] = read_clock()

    def count(self) -> int:
        """Return the number of members that were lost and may still run."""
        return len(self.list_names())

    def list_names(self, within_seconds: float = LOST_SECONDS) -> list[str]:
        """Return the members that were lost in a time and may still run."""
        since = read_clock() - within_seconds
        return [
            name for name, at in self._lost_at_by_name.items() if at > since
        ]
