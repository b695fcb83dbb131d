"""Processor time, memory and bytes of idle nodes."""

import statistics
import time
from collections.abc import Iterable
from typing import Final

from . import scale
from .fleet import SETTLE_SECONDS, Counts, Fleet, sample_counts, sample_cpu
from .rows import Point, Row, fit_line, judge, show_points

NODE_COUNTS: Final = (2, 4, 8, 16, 32)
RUNNER_COUNTS: Final = (1, 16, 64, 128)
SAMPLE_SECONDS: Final = 10.0
# The updates of all members that have joined travel for some seconds.
SPREAD_SECONDS: Final = 25.0
_KILOBYTE: Final = 1000
Traffic = tuple[int, float, float]
_MEGABYTE: Final = 1024 * 1024

# Causes of bytes, as the steps of exchanges and the kinds of messages begin.
GROUPS: Final = (
    ('membership', ('peer Ping', 'peer Ack')),
    ('configuration', ('peer Configuration', 'read configuration')),
    ('load polls', ('read load',)),
    ('VM list', ('read VM list',)),
    ('sweep', ('sweep',)),
    ('partition refresh', ('read programs',)),
    ('appends', ('append to',)),
)


def sum_groups(rates: Counts, nodes: int) -> dict[str, tuple[float, float]]:
    """Return bytes sent and received a second and node, by group."""
    return {
        name: (
            _sum_causes(rates, prefixes, 0) / nodes,
            _sum_causes(rates, prefixes, 1) / nodes,
        )
        for name, prefixes in GROUPS
    }


def _sum_causes(rates: Counts, prefixes: tuple[str, ...], place: int) -> float:
    return sum(
        counts[place]
        for cause, counts in rates.items()
        if cause.startswith(prefixes)
    )


def measure_idle_nodes() -> Iterable[Row]:
    """Yield processor time and memory against the number of nodes."""
    shares: list[Point] = []
    resident: list[Point] = []
    for nodes in NODE_COUNTS:
        with Fleet(nodes=nodes) as fleet:
            time.sleep(SETTLE_SECONDS)
            shares.append((
                nodes,
                statistics.mean(sample_cpu(fleet, SAMPLE_SECONDS)),
            ))
            resident.append((nodes, max(fleet.read_resident()) / _MEGABYTE))
    yield _cpu_row(shares)
    yield _memory_row(resident)


def _cpu_row(shares: list[Point]) -> Row:
    line = fit_line(shares)
    # A line that falls says only that the cost does not rise.
    found = max(line.at(scale.NODES), *(share for _, share in shares))
    return Row(
        role='processor time of an idle node against nodes, 1 runner',
        slope=f'{line.intercept:.2f}% + {line.slope:.4f}% per node',
        points=show_points(shares),
        scaled=f'{found:.2f}% of a core',
        bound=f'{scale.CORE_PERCENT}% of a core',
        fits=judge(found, scale.CORE_PERCENT),
        mechanism='SWIM probes a fixed number of members a second',
    )


def _memory_row(resident: list[Point]) -> Row:
    line = fit_line(resident)
    found = line.at(scale.NODES)
    bound = scale.MEMORY_BYTES / _MEGABYTE
    return Row(
        role='resident memory of an idle node against nodes',
        slope=f'{line.intercept:.1f} MiB + {line.slope:.4f} MiB per node',
        points=show_points(resident),
        scaled=f'{found:.1f} MiB before programs, runners and the tree',
        bound=f'{bound:.0f} MiB',
        fits=judge(found, bound),
        mechanism='libraries are imported late; tables are small',
    )


def measure_idle_bytes() -> Iterable[Row]:
    """Yield bytes a second and node against the number of nodes."""
    found: dict[str, list[Traffic]] = {}
    for nodes in NODE_COUNTS:
        with Fleet(nodes=nodes, is_counted=True) as fleet:
            time.sleep(SPREAD_SECONDS)
            rates = sample_counts(fleet, SAMPLE_SECONDS)
        for name, (sent, received) in sum_groups(rates, nodes).items():
            found.setdefault(name, []).append((nodes, sent, received))
    for name, triples in found.items():
        yield _bytes_row(name, triples)


def _bytes_row(name: str, triples: list[Traffic]) -> Row:
    sent: list[Point] = [(nodes, moved) for nodes, moved, _ in triples]
    received: list[Point] = [(nodes, moved) for nodes, _, moved in triples]
    line = fit_line(sent)
    return Row(
        role=f'{name}: bytes a second and node against nodes, 1 runner',
        slope=f'{line.intercept:.0f} B/s + {line.slope:.2f} B/s per node sent',
        points=f'sent {show_points(sent)} / received {show_points(received)}',
        scaled=f'{max(line.at(scale.NODES), 0):.0f} B/s sent by the line',
        bound=f'{scale.BYTES_PER_SECOND} B/s for all groups together',
    )


def measure_runners() -> Iterable[Row]:
    """Yield what each runner known costs one node."""
    shares: list[Point] = []
    resident: list[Point] = []
    for runners in RUNNER_COUNTS:
        with Fleet(nodes=1, listed=runners) as fleet:
            time.sleep(SETTLE_SECONDS)
            shares.append((runners, sample_cpu(fleet, SAMPLE_SECONDS)[0]))
            resident.append((runners, fleet.read_resident()[0] / _MEGABYTE))
    yield _runner_cpu_row(shares)
    yield _runner_memory_row(resident)
    yield _runner_bytes_row([_measure_polls(count) for count in RUNNER_COUNTS])


def _measure_polls(runners: int) -> Traffic:
    """Return the runners, and bytes sent and received a second for them."""
    with Fleet(nodes=1, listed=runners, is_counted=True) as fleet:
        time.sleep(SETTLE_SECONDS)
        groups = sum_groups(sample_counts(fleet, SAMPLE_SECONDS), 1)
    return runners, _polls(groups, 0), _polls(groups, 1)


def _polls(groups: dict[str, tuple[float, float]], place: int) -> float:
    names = ('load polls', 'VM list', 'sweep')
    return sum(groups[name][place] for name in names)


def _runner_cpu_row(shares: list[Point]) -> Row:
    line = fit_line(shares)
    found = line.at(scale.RUNNERS)
    return Row(
        role='processor time of an idle node against runners, 1 node',
        slope=f'{line.intercept:.2f}% + {line.slope:.4f}% per runner',
        points=show_points(shares),
        scaled=f'{found:.0f}% of a core',
        bound=f'{scale.CORE_PERCENT}% of a core',
        fits=judge(found, scale.CORE_PERCENT),
        mechanism='every node polls every runner (2 loads and 0.5 sweeps/s)',
    )


def _runner_memory_row(resident: list[Point]) -> Row:
    line = fit_line(resident)
    return Row(
        role='resident memory of a node against runners, 1 node',
        slope=f'{line.slope * 1024:.1f} KiB per runner',
        points=show_points(resident),
        scaled=f'{line.slope * scale.RUNNERS:.1f} MiB for 600 runners',
        bound='64 MiB for all together',
        mechanism='one table row per runner; polls run all at once',
    )


def _runner_bytes_row(found: list[Traffic]) -> Row:
    sent: list[Point] = [(runners, moved) for runners, moved, _ in found]
    received: list[Point] = [(runners, moved) for runners, _, moved in found]
    line = fit_line(sent)
    back = fit_line(received)
    scaled = line.at(scale.RUNNERS)
    return Row(
        role='load polls, sweep and VM list: bytes a second against runners',
        slope=(
            f'{line.slope:.0f} B/s sent and {back.slope:.0f} B/s received'
            ' per runner'
        ),
        points=f'sent {show_points(sent)} / received {show_points(received)}',
        scaled=(
            f'{scaled / _KILOBYTE:.0f} KB/s sent,'
            f' {back.at(scale.RUNNERS) / _KILOBYTE:.0f} KB/s received'
        ),
        bound=f'{scale.BYTES_PER_SECOND / _KILOBYTE:.0f} KB/s',
        fits=judge(scaled, scale.BYTES_PER_SECOND),
        mechanism='every node polls every runner; a few pollers would do',
    )
