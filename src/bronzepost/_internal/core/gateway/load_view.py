"""The requests in flight of all VMs, as this VM knows them.

In fleets too large for each report to go to all peers, reports carry the loads
of other VMs on, as in epidemic dissemination (Demers et al., PODC 1987). Of two
loads of a VM, the newer one counts, whichever way it came.
"""

import dataclasses
import heapq
from collections import Counter
from collections.abc import Mapping
from typing import Final

# Older loads say nothing about the present one.
STALE_LOAD_SECONDS: Final = 1.5
# Loads are carried on for this long, the report interval of a large fleet: each
# VM carries a load on once, by which time it has reached most VMs.
RELAY_SECONDS: Final = 0.4
# Bounds the size of a report, at 30 bytes for each load with one busy server.
# They are half of the loads that a VM hears of in one report interval.
MAX_RELAYED_LOADS: Final = 12
_MILLISECONDS: Final = 1000

# Age in milliseconds and requests in flight by VM, as reports carry them.
RelayedLoads = dict[str, tuple[int, dict[str, int]]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmLoad:
    """The requests in flight of one VM by backend server, counted at ``at``."""

    at: float
    in_flight: Mapping[str, int]


class LoadView:
    """The newest load of each VM, and the sum of all; times in seconds."""

    def __init__(self) -> None:
        """Start without a load."""
        self.in_flight: Counter[str] = Counter()
        self._loads_by_name: dict[str, VmLoad] = {}

    def put(
        self, name: str, in_flight: Mapping[str, int], *, at: float
    ) -> None:
        """Replace the load of a VM by one counted at ``at``, if it is newer."""
        known = self._loads_by_name.get(name)
        if known is not None and known.at >= at:
            return
        self._loads_by_name[name] = VmLoad(at=at, in_flight=in_flight)
        # Counter.update and subtract check the types of their arguments at
        # several times the cost of these few additions.
        if known is not None:
            for server_id, count in known.in_flight.items():
                self.in_flight[server_id] -= count
        for server_id, count in in_flight.items():
            self.in_flight[server_id] += count

    def put_relayed(
        self, loads: RelayedLoads, *, own_name: str, at: float
    ) -> None:
        """Take over the loads that a report received at ``at`` carries on."""
        for name, (milliseconds, in_flight) in loads.items():
            age_seconds = milliseconds / _MILLISECONDS
            if name != own_name and 0 <= age_seconds < STALE_LOAD_SECONDS:
                self.put(name, in_flight, at=at - age_seconds)

    def forget(self, name: str) -> None:
        """Drop the load of a VM; it stays in the sum until it is recounted."""
        self._loads_by_name.pop(name, None)

    def recount(self, *, at: float) -> None:
        """Sum the loads that are not stale at ``at``, and drop the others."""
        oldest = at - STALE_LOAD_SECONDS
        self._loads_by_name = {
            name: load
            for name, load in self._loads_by_name.items()
            if load.at >= oldest
        }
        total: Counter[str] = Counter()
        for load in self._loads_by_name.values():
            total.update(load.in_flight)
        self.in_flight = total

    def list_relayed(self, *, at: float) -> RelayedLoads:
        """Return the newest loads of other VMs, for a report sent at ``at``."""
        oldest = at - RELAY_SECONDS
        recent = (
            (load.at, name)
            for name, load in self._loads_by_name.items()
            if load.at >= oldest
        )
        return {
            name: (
                round((at - counted_at) * _MILLISECONDS),
                dict(self._loads_by_name[name].in_flight),
            )
            for counted_at, name in heapq.nlargest(MAX_RELAYED_LOADS, recent)
        }
