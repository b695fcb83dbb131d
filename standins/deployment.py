"""Start a whole deployment: stand-ins and nodes, each in its own process.

Tests and the demo use it as a context manager:

    with Deployment(organisation=CONVENTIONS, nodes=3, scale=0.34) as running:
        address = running.nodes[0].caller_address
        running.nodes[1].kill()
"""

import secrets
import tempfile
import time
from collections.abc import Collection, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType, TracebackType
from typing import Any, Self

from standins.http_client import request_json
from standins.node_process import Node, NodePlan, plan_nodes, settings_text
from standins.organisations import Organisation, RunnerGroup, scale_count
from standins.processes import (
    READY_TIMEOUT_SECONDS,
    LaunchError,
    ManagedProcess,
)

POLL_SECONDS = 0.05
SECRET_KEY_BYTES = 32
NO_OPTIONS: Mapping[str, Sequence[str]] = MappingProxyType({})


class Runner:
    """One backend server of a service."""

    def __init__(
        self, *, group: RunnerGroup, process: ManagedProcess, zone: str
    ) -> None:
        """Wrap the process of a stand-in that is starting."""
        self.group = group
        self.process = process
        self.availability_zone = zone
        self.state = 'live'
        self.address = ''
        self.relay_control_address = ''

    def vm_entry(self) -> dict[str, Any]:
        """Return the runner's entry in the VM list."""
        is_engine = self.group.kind == 'engine'
        return {
            'id': self.process.name,
            'address': self.address,
            'kind': 'backend',
            'service': self.group.service,
            'model': self.group.service if is_engine else None,
            'availability_zone': self.availability_zone,
            'state': self.state,
        }


class Deployment:  # noqa: WPS230 - tests use every part of it
    """A set of stand-ins and nodes on loopback addresses.

    ``options`` gives command-line options by kind of stand-in, such as
    ``{'engine': ('--slots', '2')}``. Each runner of a service in ``relayed`` is
    reached through a relay of its own, which has a control address. Node
    ``i`` (from 0) uses the host ``127.0.0.{i + 1}``. The model of an engine
    has the name of its service.
    """

    def __init__(
        self,
        *,
        organisation: Organisation,
        nodes: int,
        scale: float = 1,
        options: Mapping[str, Sequence[str]] = NO_OPTIONS,
        relayed: Collection[str] = (),
        binary: Path | None = None,
    ) -> None:
        """Plan the deployment; ``start`` starts it.

        The nodes run ``binary`` if it is given, else the worktree.
        """
        self._binary = binary
        self.organisation = organisation
        self.peer_key = secrets.token_hex(SECRET_KEY_BYTES)
        self.operator_key = secrets.token_hex(SECRET_KEY_BYTES)
        self.addresses_by_kind: dict[str, str] = {}
        self.platform_by_kind: dict[str, ManagedProcess] = {}
        self.runners: list[Runner] = []
        self.nodes: list[Node] = []
        self._plans = plan_nodes(organisation, nodes)
        self._scale = scale
        self._options = options
        self._relayed = relayed
        self._relays: list[ManagedProcess] = []
        self._directory = tempfile.TemporaryDirectory(prefix='bronzepost-')
        self.directory = Path(self._directory.name)

    def __enter__(self) -> Self:
        """Start everything; if something fails, stop all and re-raise."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop everything."""
        self.stop()

    def start(self) -> None:
        """Start the stand-ins, set the VM list and start the nodes."""
        self._start_platform()
        self._start_runners()
        self.publish_vms()
        self._start_nodes()

    def stop(self) -> None:
        """End every process, nodes first, and delete the settings."""
        for node in self.nodes:
            node.process.request_stop()
        for node in self.nodes:
            node.process.wait_ended()
        standins = [
            *self._relays,
            *(runner.process for runner in self.runners),
            *self.platform_by_kind.values(),
        ]
        for process in standins:
            process.request_stop()
        for process in standins:
            process.wait_ended()
        self._directory.cleanup()

    def publish_vms(self) -> None:
        """Set the VM list to the planned nodes and the runners."""
        vms = [runner.vm_entry() for runner in self.runners]
        vms.extend(plan.vm_entry() for plan in self._plans)
        request_json(
            'PUT', f'{self.addresses_by_kind["vm_list"]}/vms', {'vms': vms}
        )

    def announce_leaving(self, runner: Runner) -> None:
        """Mark a runner as leaving in its load report and in the VM list."""
        runner.state = 'leaving'
        self.set_faults(runner.address, leaving=True)
        self.publish_vms()

    def set_faults(self, address: str, **switches: Any) -> None:
        """Set fault switches of the stand-in at an address."""
        request_json('PUT', f'{address}/faults', switches)

    def effects(self) -> dict[str, Any]:
        """Return the counts of each running runner, by its name."""
        return {
            runner.process.name: request_json(
                'GET', f'{runner.address}/effects'
            )
            for runner in self.runners
            if runner.process.is_running
        }

    def start_node(self, node: Node) -> None:
        """Start a node again with the same settings, once it has ended."""
        node.process.wait_ended()
        node.process = self._launch_node(node.plan)
        self._wait_node_ready(node)

    def _start_platform(self) -> None:
        for kind in ('log', 'vm_list', 'weight_store'):
            self.platform_by_kind[kind] = self._launch_standin(kind, kind)
        for kind, process in self.platform_by_kind.items():
            self.addresses_by_kind[kind] = process.wait_ready()

    def _start_runners(self) -> None:
        zones = self.organisation.availability_zones
        for group in self.organisation.runner_groups:
            for index in range(scale_count(group.count, self._scale)):
                process = self._launch_standin(
                    group.kind,
                    f'{group.service}-{index + 1}',
                    self._runner_options(group),
                )
                zone = zones[index % len(zones)]
                self.runners.append(
                    Runner(group=group, process=process, zone=zone)
                )
        for runner in self.runners:
            runner.address = runner.process.wait_ready()
            if runner.group.service in self._relayed:
                self._start_relay(runner)

    def _start_relay(self, runner: Runner) -> None:
        relay = self._launch_standin(
            'relay',
            f'relay-of-{runner.process.name}',
            ('--target', runner.address),
        )
        self._relays.append(relay)
        relayed, control = relay.wait_ready().split()
        runner.address = relayed
        runner.relay_control_address = control

    def _start_nodes(self) -> None:
        for plan in self._plans:
            plan.settings_path(self.directory).write_text(
                settings_text(
                    plan,
                    seeds=[other.peer_address for other in self._plans],
                    peer_key=self.peer_key,
                    operator_key=self.operator_key,
                    platform=self.addresses_by_kind,
                )
            )
            self.nodes.append(Node(plan=plan, process=self._launch_node(plan)))
        for node in self.nodes:
            self._wait_node_ready(node)

    def _runner_options(self, group: RunnerGroup) -> tuple[str, ...]:
        if group.kind != 'engine':
            return group.options
        store = self.addresses_by_kind['weight_store']
        model = ('--model', group.service, '--weight-store', store)
        return (*model, *group.options)

    def _launch_standin(
        self, kind: str, name: str, extra_options: Sequence[str] = ()
    ) -> ManagedProcess:
        extra_options = (*extra_options, *self._options.get(kind, ()))
        return ManagedProcess(
            name=name,
            arguments=('standins', kind, '--stop-with-parent', *extra_options),
            output=self.directory / f'{name}.output',
        )

    def _launch_node(self, plan: NodePlan) -> ManagedProcess:
        settings = str(plan.settings_path(self.directory))
        arguments: tuple[str, ...] = ('serve', '--settings', settings)
        if self._binary is None:
            arguments = ('bronzepost', *arguments)
        return ManagedProcess(
            name=plan.name,
            arguments=arguments,
            output=self.directory / f'{plan.name}.output',
            binary=self._binary,
        )

    def _wait_node_ready(self, node: Node) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline and node.process.is_running:
            try:
                request_json('GET', f'{node.caller_address}/v1/endpoints')
            except OSError:
                time.sleep(POLL_SECONDS)
            else:
                return
        output = node.process.last_output()
        raise LaunchError(f'{node.plan.name} is not ready: {output}')
