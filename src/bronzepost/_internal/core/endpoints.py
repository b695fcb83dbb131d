"""Choose the addresses to which a caller should connect.

There is no load balancer: callers ask any node, cache the answer for its time
to live and connect to the addresses in order.
"""

import collections
import dataclasses
from collections.abc import Iterable, Sequence

from .membership import Member, MemberState
from .rendezvous import rank_members

DEFAULT_LIMIT = 6
DEFAULT_TIME_TO_LIVE_SECONDS = 5

# Addresses reserved for other zones, so that a caller whose zone fails can
# still connect until it asks again.
_OTHER_ZONE_ADDRESSES = 2

# Members in a later state are used only if there are none in an earlier state.
# Dead members are never used.
_STATES_BY_PREFERENCE = (
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
    distributes callers over the members. With the program id as the key, every
    node returns the same addresses for a program; a caller without a program
    can be identified by another text, such as its address. A suspected or
    leaving owner is left out like any other member: the node to which the
    caller connects forwards its calls.
    """
    ranked = _rank(_select_usable(members), key)
    chosen = [member for member in ranked if member.name == owner]
    rest = [member for member in ranked if member.name != owner]
    near = [
        member for member in rest if _is_near(member, region, availability_zone)
    ]
    far = _alternate_zones(
        [member for member in rest if member not in near], region
    )
    chosen.extend(_merge_near_and_far(near, far, limit - len(chosen)))
    return EndpointAnswer(
        endpoints=tuple(
            Endpoint(
                address=member.caller_address,
                availability_zone=member.availability_zone,
            )
            for member in chosen[:limit]
        )
    )


def _merge_near_and_far(
    near: list[Member], far: list[Member], limit: int
) -> list[Member]:
    count = max(0, limit - min(_OTHER_ZONE_ADDRESSES, len(far)))
    return [*near[:count], *far, *near[count:]]


def _select_usable(members: Iterable[Member]) -> tuple[Member, ...]:
    known = tuple(members)
    for state in _STATES_BY_PREFERENCE:
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


def _alternate_zones(members: Sequence[Member], region: str) -> list[Member]:
    # Members of the caller's region come first, then the zones alternate: each
    # round has one member per zone, in the order of the ranking.
    count_by_zone: collections.Counter[tuple[str, str]] = collections.Counter()
    entries: list[tuple[bool, int, int, Member]] = []
    for rank, member in enumerate(members):
        zone = (member.region, member.availability_zone)
        is_other = member.region != region
        entries.append((is_other, count_by_zone[zone], rank, member))
        count_by_zone[zone] += 1
    entries.sort(key=lambda entry: entry[:-1])
    return [entry[-1] for entry in entries]
