"""Deployments for measurements: few stand-ins, listed as many runners."""

import itertools
import os
import signal
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final

import msgspec

from standins.deployment import Deployment
from standins.http_client import request_json
from standins.node_process import Node, NodePlan, free_addresses
from standins.organisations import Organisation, RunnerGroup
from standins.processes import ManagedProcess

from .proc import read_cpu_seconds, read_resident_bytes

# Bytes sent, bytes received and number of exchanges, by cause.
Counts = dict[str, list[float]]

# A joining node claims partitions after 3 s and hands them over after 5 s
# without a change.
SETTLE_SECONDS: Final = 10.0
# Time for a node to write its counts.
COUNTS_WRITE_SECONDS: Final = 0.5
MODEL: Final = 'capacity-model'
# A fast engine whose memory never limits the programs.
FAST_ENGINE: Final = (
    '--step-seconds',
    '0.002',
    '--slots',
    '128',
    '--cache-tokens',
    '1000000000',
    '--prefill-tokens-per-second',
    '100000000',
)
_HOSTS_PER_NETWORK: Final = 200
_FIRST_NETWORK: Final = 16
_NETWORKS: Final = 200

_networks = itertools.count(os.getpid())


def build_organisation(engines: int) -> Organisation:
    """Return an organisation whose runners are all model engines."""
    return Organisation(
        name='capacity',
        region='region-1',
        availability_zones=('zone-1', 'zone-2', 'zone-3'),
        zone_distance_milliseconds=1.0,
        runner_groups=(
            RunnerGroup(service=MODEL, kind='engine', count=engines),
        ),
        entry_vms=1,
        cache_weight=0.5,
    )


class Fleet(Deployment):
    """A deployment whose VM list can name each engine many times."""

    def __init__(
        self,
        *,
        nodes: int,
        engines: int = 1,
        listed_runners: int = 1,
        is_counted: bool = False,
        options: Mapping[str, Sequence[str]] | None = None,
    ) -> None:
        """Plan a deployment with ``listed_runners`` entries in its VM list."""
        organisation = build_organisation(engines)
        super().__init__(
            organisation=organisation, nodes=0, options=options or {}
        )
        self._listed_runners = max(listed_runners, engines)
        self._is_counted = is_counted
        # A connection from 127.0.0.1 can use a node's port as its source port,
        # so nodes listen on other addresses.
        network = next(_networks) % _NETWORKS + _FIRST_NETWORK
        self._plans = [
            plan_node(organisation, f'127.{network}.0.{index + 1}', index)
            for index in range(nodes)
        ]

    def publish_vms(self) -> None:
        """Publish the VM list, naming runners repeatedly up to its length."""
        runners = itertools.islice(
            itertools.cycle(self.runners), self._listed_runners
        )
        vms = [
            {**runner.vm_entry(), 'id': f'runner-{number}'}
            for number, runner in enumerate(runners)
        ]
        address = self.addresses_by_kind['vm_list']
        request_json('PUT', f'{address}/vms', {'vms': vms})

    def read_cpu_times(self) -> list[float]:
        """Return the processor seconds of each node."""
        return [
            read_cpu_seconds(node.process.process_id) for node in self.nodes
        ]

    def read_resident_memory(self) -> list[int]:
        """Return the resident bytes of each node."""
        return [
            read_resident_bytes(node.process.process_id) for node in self.nodes
        ]

    def read_counts(self) -> Counts:
        """Return the counts of all nodes together."""
        paths = [self._request_counts(node) for node in self.nodes]
        time.sleep(COUNTS_WRITE_SECONDS)
        total: Counts = {}
        for path in paths:
            for cause, counts in msgspec.json.decode(path.read_bytes()).items():
                sums = total.setdefault(cause, [0, 0, 0])
                total[cause] = [
                    before + added
                    for before, added in zip(sums, counts, strict=True)
                ]
        return total

    def write_counts(self, node: Node) -> Path:
        """Make one node write its counts and return the path of the file."""
        path = self._request_counts(node)
        time.sleep(COUNTS_WRITE_SECONDS)
        return path

    def read_events(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of an event from all nodes."""
        marker = f'"event":"{name}"'.encode()
        return [
            msgspec.json.decode(line)
            for node in self.nodes
            for line in node.process.output.read_bytes().splitlines()
            if marker in line
        ]

    def _request_counts(self, node: Node) -> Path:
        path = self.directory / f'{node.plan.name}.counts'
        path.unlink(missing_ok=True)
        node.process.send_signal(signal.SIGUSR1)
        return path

    def _launch_node(self, plan: NodePlan) -> ManagedProcess:
        if not self._is_counted:
            return super()._launch_node(plan)
        settings = str(plan.settings_path(self.directory))
        counts = str(self.directory / f'{plan.name}.counts')
        return ManagedProcess(
            name=plan.name,
            arguments=(
                'capacity.counted_node',
                counts,
                'serve',
                '--settings',
                settings,
            ),
            output=self.directory / f'{plan.name}.output',
        )


def plan_node(organisation: Organisation, host: str, index: int) -> NodePlan:
    """Return the plan of a node with its own host address."""
    zones = organisation.availability_zones
    zone = zones[index % len(zones)]
    addresses = free_addresses(host, count=4)
    return NodePlan(
        name=f'{zone}-{index // len(zones) + 1}',
        organisation=organisation,
        availability_zone=zone,
        caller_address=addresses[0],
        operator_address=addresses[1],
        peer_address=addresses[2],
        forward_address=addresses[3],
    )


def sample_cpu(fleet: Fleet, seconds: float) -> list[float]:
    """Return the percent of a core that each node uses over a period."""
    before = fleet.read_cpu_times()
    started = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    return [
        (after - earlier) / elapsed * 100
        for earlier, after in zip(before, fleet.read_cpu_times(), strict=True)
    ]


def sample_counts(fleet: Fleet, seconds: float) -> Counts:
    """Return the counts of all nodes together, per second."""
    started = time.monotonic()
    before = fleet.read_counts()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    return {
        cause: _compute_rates(counts, before.get(cause, [0, 0, 0]), elapsed)
        for cause, counts in fleet.read_counts().items()
    }


def _compute_rates(
    counts: list[float], before: list[float], seconds: float
) -> list[float]:
    return [
        (after - earlier) / seconds
        for earlier, after in zip(before, counts, strict=True)
    ]
