"""Which addresses a caller should connect to.

There is no load balancer: callers ask any node, keep the answer for its time
to live and connect to the addresses in order.
"""

import collections
import dataclasses
from collections.abc import Iterable, Sequence

from .membership import Member, MemberState
from .rendezvous import rank_members

DEFAULT_LIMIT = 6
DEFAULT_TIME_TO_LIVE_SECONDS = 5

# Addresses kept for other zones, so that a caller whose zone is lost has some
# left until it can ask again.
_OTHER_ZONES = 2

# A member in a later state is named only if there is none in an earlier one.
# A dead member is never named.
_PREFERENCE = (
    MemberState.ALIVE,
    MemberState.SUSPECTED,
    MemberState.LEAVING,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """An address at which a node serves callers."""

    address: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointAnswer:
    """The answer to ``GET /v1/endpoints``, best address first."""

    endpoints: tuple[Endpoint, ...]
    time_to_live_seconds: int = DEFAULT_TIME_TO_LIVE_SECONDS


def choose_endpoints(
    members: Iterable[Member],
    *,
    key: str,
    owner: str = '',
    region: str = '',
    availability_zone: str = '',
    limit: int = DEFAULT_LIMIT,
) -> EndpointAnswer:
    """Return the addresses for one caller, the owner's first.

    ``owner`` is the name of the member that owns the program's partition.
    ``region`` and ``availability_zone`` are the caller's, if known. ``key``
    spreads callers over the members; a program id gives a program the same
    addresses on every node, and another text, such as the caller's address,
    serves callers without one. The owner is left out like any other member
    while it is suspected or leaving: the node that is asked forwards.
    """
    ranked = _rank(_select_usable(members), key)
    chosen = [member for member in ranked if member.name == owner]
    rest = [member for member in ranked if member.name != owner]
    near = [it for it in rest if _is_near(it, region, availability_zone)]
    far = _spread_zones([it for it in rest if it not in near], region)
    chosen.extend(_mix(near, far, limit - len(chosen)))
    return EndpointAnswer(
        endpoints=tuple(
            Endpoint(
                address=member.caller_address,
                availability_zone=member.availability_zone,
            )
            for member in chosen[:limit]
        )
    )


def _mix(near: list[Member], far: list[Member], limit: int) -> list[Member]:
    count = max(0, limit - min(_OTHER_ZONES, len(far)))
    return [*near[:count], *far, *near[count:]]


def _select_usable(members: Iterable[Member]) -> tuple[Member, ...]:
    known = tuple(members)
    for state in _PREFERENCE:
        usable = tuple(member for member in known if member.state is state)
        if usable:
            return usable
    return ()


def _rank(members: Sequence[Member], key: str) -> tuple[Member, ...]:
    members_by_name = {member.name: member for member in members}
    names = rank_members(members_by_name, key)
    return tuple(members_by_name[name] for name in names)


def _is_near(member: Member, region: str, zone: str) -> bool:
    return member.availability_zone == zone and region in {'', member.region}


def _spread_zones(members: Sequence[Member], region: str) -> list[Member]:
    # The caller's region comes first. Within a region the zones take turns,
    # and within a turn the ranking decides, so that no zone is always first.
    taken_by_zone: collections.Counter[tuple[str, str]] = collections.Counter()
    turns: list[tuple[bool, int, int, Member]] = []
    for rank, member in enumerate(members):
        zone = (member.region, member.availability_zone)
        is_other = member.region != region
        turns.append((is_other, taken_by_zone[zone], rank, member))
        taken_by_zone[zone] += 1
    turns.sort(key=lambda turn: turn[:-1])
    return [turn[-1] for turn in turns]
