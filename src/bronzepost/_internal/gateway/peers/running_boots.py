"""Which processes of VMs still run."""

from bronzepost._internal.core import membership


class RunningBoots:
    """Tell whether a process is still a member of the fleet."""

    def __init__(self, *, members: membership.MembershipTables) -> None:
        """Look the processes up in ``members``."""
        self._members = members

    def is_running(self, boot: str) -> bool:
        """Return whether the process with a name as ``Fleet.own_boot`` runs.

        A holder of allowances adds a number to that name, after a dot. A process
        that is stopping still runs.
        """
        name, _, start = boot.partition('/')
        member = self._members.members_by_name.get(name)
        return (
            member is not None
            and member.state is not membership.MemberState.DEAD
            and member.boot == start.partition('.')[0]
        )
