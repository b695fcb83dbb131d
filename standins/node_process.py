"""Addresses, settings and processes of the nodes of a deployment."""

import json
import secrets
import signal
import socket
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations
from pathlib import Path
from typing import Any

from standins.organisations import Organisation
from standins.processes import ManagedProcess

FIRST_PORT = 12000
PORT_COUNT = 20000


@dataclass(frozen=True, kw_only=True, slots=True)
class NodePlan:
    """Name, availability zone and addresses of a node."""

    name: str
    organisation: Organisation
    availability_zone: str
    caller_address: str
    operator_address: str
    peer_address: str
    forward_address: str

    def settings_path(self, directory: Path) -> Path:
        """Return the path of the node's settings file."""
        return directory / f'{self.name}.toml'

    def vm_entry(self) -> dict[str, Any]:
        """Return the entry of the node's VM in the VM list."""
        return {
            'id': self.name,
            'address': self.caller_address,
            'kind': 'entry',
            'service': '',
            'model': None,
            'availability_zone': self.availability_zone,
            'state': 'live',
        }


class Node:
    """A node process, which tests can kill, pause and resume."""

    def __init__(self, *, plan: NodePlan, process: ManagedProcess) -> None:
        """Wrap the process of a node that is starting."""
        self.plan = plan
        self.process = process

    @property
    def caller_address(self) -> str:
        """Return the address for callers."""
        return self.plan.caller_address

    @property
    def operator_address(self) -> str:
        """Return the address for operators."""
        return self.plan.operator_address

    def kill(self) -> None:
        """Kill the process at once and wait for its end."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait_ended()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask for a graceful shutdown and do not wait for it."""
        self.process.send_signal(signal.SIGTERM)


def plan_nodes(organisation: Organisation, count: int) -> list[NodePlan]:
    """Return plans with free ports, spread over the availability zones."""
    return [_plan_node(organisation, index) for index in range(count)]


def _plan_node(organisation: Organisation, index: int) -> NodePlan:
    zones = organisation.availability_zones
    zone = zones[index % len(zones)]
    caller, operator, peer, forward = free_addresses(
        f'127.0.0.{index + 1}', count=4
    )
    return NodePlan(
        name=f'{zone}-{index // len(zones) + 1}',
        organisation=organisation,
        availability_zone=zone,
        caller_address=caller,
        operator_address=operator,
        peer_address=peer,
        forward_address=forward,
    )


def free_addresses(host: str, *, count: int) -> list[str]:
    """Return addresses of a host whose ports were free a moment ago.

    The ports are below the ephemeral range: an outgoing connection could
    otherwise occupy a port before the node listens on it.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        port = FIRST_PORT + secrets.randbelow(PORT_COUNT)
        address = f'{host}:{port}'
        if address not in addresses and _is_free(host, port):
            addresses.append(address)
    return addresses


def _is_free(host: str, port: int) -> bool:
    try:
        listener = socket.create_server((host, port))
    except OSError:
        return False
    listener.close()
    return True


def settings_text(
    plan: NodePlan,
    *,
    seeds: Sequence[str],
    peer_key: str,
    operator_key: str,
    platform: Mapping[str, str],
) -> str:
    """Return the settings of a node as TOML."""
    peer_seeds = [seed for seed in seeds if seed != plan.peer_address]
    tables: dict[str, dict[str, Any]] = {
        'node': {
            'name': plan.name,
            'organisation': plan.organisation.name,
            'region': plan.organisation.region,
            'availability_zone': plan.availability_zone,
            'caller_address': plan.caller_address,
            'operator_address': plan.operator_address,
            'peer_address': plan.peer_address,
            'forward_address': plan.forward_address,
        },
        'peers': {'seeds': peer_seeds, 'keys': [peer_key]},
        'operators': {'keys': [operator_key]},
        'platform': {
            'log_address': platform['log'],
            'vm_list_address': platform['vm_list'],
            'weight_store_address': platform['weight_store'],
        },
        'telemetry': {'log_format': 'json'},
    }
    sections = [
        _toml_table(f'[{name}]', table) for name, table in tables.items()
    ]
    return '\n'.join([*sections, *_distances(plan.organisation)])


def _distances(organisation: Organisation) -> list[str]:
    return [
        _toml_table(
            '[[distances]]',
            {
                'between': list(pair),
                'milliseconds': organisation.zone_distance_milliseconds,
            },
        )
        for pair in combinations(organisation.availability_zones, 2)
    ]


def _toml_table(header: str, table: Mapping[str, Any]) -> str:
    # Strings, numbers and lists of strings have the same form in JSON.
    lines = [f'{name} = {json.dumps(item)}' for name, item in table.items()]
    return '\n'.join([header, *lines, ''])
