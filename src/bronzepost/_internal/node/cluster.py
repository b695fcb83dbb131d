"""The nodes of the system as this node sees them."""

from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.node.refusals import refuse_no_member
from bronzepost._internal.settings import Settings


class Cluster:
    """The members that serve, and where they are."""

    def __init__(self, *, settings: Settings) -> None:
        """Start with this node alone."""
        self._settings = settings

    def list_serving(self) -> tuple[str, ...]:
        """Return the names of the members that may be given work."""
        return (self._settings.node.name,)

    def find_forward_address(self, member: str) -> str:
        """Return where a member takes forwarded calls.

        Raises:
            RefusedError: if the member is not known.
        """
        error: RefusedError = refuse_no_member(member)
        raise error
