"""Deployments of the two organisations that use bronzepost."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class RunnerGroup:
    """Runners of one service; ``kind`` is a kind of stand-in."""

    service: str
    kind: str
    count: int
    options: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Organisation:
    """Zones, distances and runners of an organisation's deployment."""

    name: str
    region: str
    availability_zones: tuple[str, ...]
    zone_distance_milliseconds: float
    runner_groups: tuple[RunnerGroup, ...]
    entry_vms: int
    cache_weight: float


CONVENTIONS = Organisation(
    name='kostiumy',
    region='pl-central',
    availability_zones=('hall-a', 'hall-b', 'hall-c'),
    zone_distance_milliseconds=1.0,
    runner_groups=(
        RunnerGroup(service='pass-assistant', kind='engine', count=6),
        RunnerGroup(service='pass-registry', kind='service', count=6),
    ),
    entry_vms=10,
    cache_weight=0.8,
)

HANGAR_TRUST = Organisation(
    name='hangar-trust',
    region='wa-region',
    availability_zones=(
        'jandakot-hall',
        'serpentine-row',
        'bunbury-hangar',
        'york-annex',
    ),
    zone_distance_milliseconds=0.3,
    runner_groups=(
        RunnerGroup(service='agent-pool', kind='engine', count=5),
        RunnerGroup(service='booking-app', kind='service', count=4),
    ),
    entry_vms=12,
    cache_weight=0.2,
)


def scale_count(count: int, scale: float) -> int:
    """Return the number of runners at a scale, at least one."""
    return max(1, round(count * scale))
