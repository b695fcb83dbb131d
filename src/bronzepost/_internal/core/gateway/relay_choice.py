"""Choose the VM that relays a request to a backend server.

Reports of the load of VMs are some hundred milliseconds old, so VMs that all choose
the least loaded one overload it. Each compares a few that it draws, as in the power of
two choices (Mitzenmacher, 2001).
"""

import dataclasses
import random
from collections.abc import Sequence
from typing import Final

# VMs that are drawn from those of the own availability zone, and from all.
DRAWN_RELAYS: Final = 2
# A VM of the own availability zone is taken unless it has so many tunnels more.
FAR_TUNNELS: Final = 8
# A link is taken for the only one at fault if at most this share of the VMs has
# lost its link to the same server.
MAX_UNREACHED_SHARE: Final = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Relay:
    """A VM that may relay requests; ``tunnels`` is its load.

    It has no link to the servers in ``unreached_ids``.
    """

    name: str
    is_near: bool
    tunnels: int
    unreached_ids: frozenset[str] = frozenset()


def choose_relay(relays: Sequence[Relay], rng: random.Random) -> Relay | None:
    """Return the relay for a request, None if there is none."""
    near = [relay for relay in relays if relay.is_near]
    drawn = [
        *rng.sample(near, min(DRAWN_RELAYS, len(near))),
        *rng.sample(relays, min(DRAWN_RELAYS, len(relays))),
    ]
    return min(drawn, key=_weigh, default=None)


def is_reached_elsewhere(relays: Sequence[Relay], server_id: str) -> bool:
    """Return whether most VMs have a link to a server."""
    lost = sum(server_id in relay.unreached_ids for relay in relays)
    return lost < len(relays) and lost <= MAX_UNREACHED_SHARE * len(relays)


def _weigh(relay: Relay) -> int:
    return relay.tunnels if relay.is_near else relay.tunnels + FAR_TUNNELS
