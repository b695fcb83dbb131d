"""Processor time, memory and network traffic of idle nodes."""

import statistics
import time
from collections.abc import Iterable
from typing import Final

from . import scale
from .fleet import SETTLE_SECONDS, Counts, Fleet, sample_counts, sample_cpu
from .rows import Point, Row, check_bound, fit_line, format_points

NODE_COUNTS: Final = (2, 4, 8, 16, 32)
RUNNER_COUNTS: Final = (1, 16, 64, 128)
SAMPLE_SECONDS: Final = 10.0
# Time for membership updates of new members to reach all nodes.
PROPAGATION_SECONDS: Final = 25.0
_KILOBYTE: Final = 1000
# Number of nodes or runners, bytes sent and bytes received per second.
Traffic = tuple[int, float, float]
_MEGABYTE: Final = 1024 * 1024

# Groups of causes, by prefixes of exchange steps and of message classes.
CAUSE_GROUPS: Final = (
    ('membership', ('peer Ping', 'peer Ack')),
    ('configuration', ('peer Configuration', 'read configuration')),
    ('load polls', ('read load',)),
    ('VM list', ('read VM list',)),
    ('sweep', ('sweep',)),
    ('partition refresh', ('read programs',)),
    ('appends', ('append to',)),
)


def sum_groups(rates: Counts, nodes: int) -> dict[str, tuple[float, float]]:
    """Return bytes sent and received per second and node, by group."""
    return {
        name: (
            _sum_causes(rates, prefixes, 0) / nodes,
            _sum_causes(rates, prefixes, 1) / nodes,
        )
        for name, prefixes in CAUSE_GROUPS
    }


def _sum_causes(rates: Counts, prefixes: tuple[str, ...], index: int) -> float:
    return sum(
        counts[index]
        for cause, counts in rates.items()
        if cause.startswith(prefixes)
    )


def measure_idle_nodes() -> Iterable[Row]:
    """Yield processor time and memory by number of nodes."""
    cpu_percents: list[Point] = []
    resident: list[Point] = []
    for nodes in NODE_COUNTS:
        with Fleet(nodes=nodes) as fleet:
            time.sleep(SETTLE_SECONDS)
            cpu_percents.append((
                nodes,
                statistics.mean(sample_cpu(fleet, SAMPLE_SECONDS)),
            ))
            resident.append((
                nodes,
                max(fleet.read_resident_memory()) / _MEGABYTE,
            ))
    yield _cpu_row(cpu_percents)
    yield _memory_row(resident)


def _cpu_row(cpu_percents: list[Point]) -> Row:
    line = fit_line(cpu_percents)
    # A falling line only means that the cost does not rise.
    at_scale = max(
        line.value_at(scale.NODES), *(percent for _, percent in cpu_percents)
    )
    return Row(
        role='processor time of an idle node against nodes, 1 runner',
        slope=f'{line.intercept:.2f}% + {line.slope:.4f}% per node',
        points=format_points(cpu_percents),
        scaled=f'{at_scale:.2f}% of a core',
        bound=f'{scale.MAX_IDLE_CORE_PERCENT}% of a core',
        fits=check_bound(at_scale, scale.MAX_IDLE_CORE_PERCENT),
        mechanism='SWIM probes a fixed number of members a second',
    )


def _memory_row(resident: list[Point]) -> Row:
    line = fit_line(resident)
    at_scale = line.value_at(scale.NODES)
    bound = scale.MAX_MEMORY_BYTES / _MEGABYTE
    return Row(
        role='resident memory of an idle node against nodes',
        slope=f'{line.intercept:.1f} MiB + {line.slope:.4f} MiB per node',
        points=format_points(resident),
        scaled=f'{at_scale:.1f} MiB before programs, runners and the tree',
        bound=f'{bound:.0f} MiB',
        fits=check_bound(at_scale, bound),
        mechanism='libraries are imported late; tables are small',
    )


def measure_idle_bytes() -> Iterable[Row]:
    """Yield bytes per second and node by number of nodes."""
    traffic_by_group: dict[str, list[Traffic]] = {}
    for nodes in NODE_COUNTS:
        with Fleet(nodes=nodes, is_counted=True) as fleet:
            time.sleep(PROPAGATION_SECONDS)
            rates = sample_counts(fleet, SAMPLE_SECONDS)
        for name, (sent, received) in sum_groups(rates, nodes).items():
            traffic_by_group.setdefault(name, []).append((
                nodes,
                sent,
                received,
            ))
    for name, traffic in traffic_by_group.items():
        yield _bytes_row(name, traffic)


def _bytes_row(name: str, traffic: list[Traffic]) -> Row:
    sent: list[Point] = [(nodes, rate) for nodes, rate, _ in traffic]
    received: list[Point] = [(nodes, rate) for nodes, _, rate in traffic]
    line = fit_line(sent)
    return Row(
        role=f'{name}: bytes a second and node against nodes, 1 runner',
        slope=f'{line.intercept:.0f} B/s + {line.slope:.2f} B/s per node sent',
        points=(
            f'sent {format_points(sent)} / received {format_points(received)}'
        ),
        scaled=f'{max(line.value_at(scale.NODES), 0):.0f} B/s sent by the line',
        bound=f'{scale.MAX_BYTES_PER_SECOND} B/s for all groups together',
    )


def measure_runners() -> Iterable[Row]:
    """Yield the cost of one node by number of known runners."""
    cpu_percents: list[Point] = []
    resident: list[Point] = []
    for runners in RUNNER_COUNTS:
        with Fleet(nodes=1, listed_runners=runners) as fleet:
            time.sleep(SETTLE_SECONDS)
            cpu_percents.append((runners, sample_cpu(fleet, SAMPLE_SECONDS)[0]))
            resident.append((
                runners,
                fleet.read_resident_memory()[0] / _MEGABYTE,
            ))
    yield _runner_cpu_row(cpu_percents)
    yield _runner_memory_row(resident)
    yield _runner_bytes_row([_measure_polls(count) for count in RUNNER_COUNTS])


def _measure_polls(runners: int) -> Traffic:
    """Return the traffic for a number of runners."""
    with Fleet(nodes=1, listed_runners=runners, is_counted=True) as fleet:
        time.sleep(SETTLE_SECONDS)
        groups = sum_groups(sample_counts(fleet, SAMPLE_SECONDS), 1)
    return runners, _sum_poll_groups(groups, 0), _sum_poll_groups(groups, 1)


def _sum_poll_groups(
    groups: dict[str, tuple[float, float]], index: int
) -> float:
    names = ('load polls', 'VM list', 'sweep')
    return sum(groups[name][index] for name in names)


def _runner_cpu_row(cpu_percents: list[Point]) -> Row:
    line = fit_line(cpu_percents)
    at_scale = line.value_at(scale.RUNNERS)
    return Row(
        role='processor time of an idle node against runners, 1 node',
        slope=f'{line.intercept:.2f}% + {line.slope:.4f}% per runner',
        points=format_points(cpu_percents),
        scaled=f'{at_scale:.0f}% of a core',
        bound=f'{scale.MAX_IDLE_CORE_PERCENT}% of a core',
        fits=check_bound(at_scale, scale.MAX_IDLE_CORE_PERCENT),
        mechanism='every node polls every runner (2 loads and 0.5 sweeps/s)',
    )


def _runner_memory_row(resident: list[Point]) -> Row:
    line = fit_line(resident)
    return Row(
        role='resident memory of a node against runners, 1 node',
        slope=f'{line.slope * 1024:.1f} KiB per runner',
        points=format_points(resident),
        scaled=f'{line.slope * scale.RUNNERS:.1f} MiB for 600 runners',
        bound='64 MiB for all together',
        mechanism='one table row per runner; polls run all at once',
    )


def _runner_bytes_row(traffic: list[Traffic]) -> Row:
    sent: list[Point] = [(runners, rate) for runners, rate, _ in traffic]
    received: list[Point] = [(runners, rate) for runners, _, rate in traffic]
    line = fit_line(sent)
    received_line = fit_line(received)
    scaled = line.value_at(scale.RUNNERS)
    return Row(
        role='load polls, sweep and VM list: bytes a second against runners',
        slope=(
            f'{line.slope:.0f} B/s sent and {received_line.slope:.0f} B/s'
            ' received'
            ' per runner'
        ),
        points=(
            f'sent {format_points(sent)} / received {format_points(received)}'
        ),
        scaled=(
            f'{scaled / _KILOBYTE:.0f} KB/s sent,'
            f' {received_line.value_at(scale.RUNNERS) / _KILOBYTE:.0f} KB/s'
            ' received'
        ),
        bound=f'{scale.MAX_BYTES_PER_SECOND / _KILOBYTE:.0f} KB/s',
        fits=check_bound(scaled, scale.MAX_BYTES_PER_SECOND),
        mechanism='every node polls every runner; a few pollers would do',
    )
