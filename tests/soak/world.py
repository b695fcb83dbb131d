"""The VMs, the store and the backend servers of one soak."""

import os
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final

import gevent

from tests.platform.builders_platform import (
    HOST,
    make_configuration,
    make_entry,
)
from tests.platform.standin_store import StandinStore
from tests.soak.backends import Backend
from tests.soak.callers import TURN_TOKENS, Caller, Program
from tests.soak.observations import Observations
from tests.soak.vms import Vm

FIRST_VM: Final = 21
SERVERS_BY_SERVICE: Final = (('engines', 3), ('desks', 2))
PROGRAM_TURNS: Final = 4
LOOP_SHARE: Final = 4
# A network of 127.0.0.0/8 for each soak, so that two may run side by side.
_NETWORKS: Final = 200
# After the faults, silent connections time out and lapsed entries come back.
SETTLE_SECONDS: Final = 8.0
# Drained servers get no new requests after two seconds, by the deployments.
DRAIN_SECONDS: Final = 4.0
FINAL_PROGRAMS: Final = 8
FINAL_TRIES: Final = 20


class World:
    """Real gateways between callers and stand-ins."""

    def __init__(self, *, vms: int, folder: Path) -> None:
        """Start everything and wait until all VMs are ready."""
        self.seen = Observations(turn_tokens=TURN_TOKENS)
        self.store = StandinStore()
        self.backends = [
            Backend(
                server_id=f'i-{service}-{number}',
                service=service,
                seen=self.seen,
            )
            for service, count in SERVERS_BY_SERVICE
            for number in range(count)
        ]
        self.version = 0
        self.publish()
        for backend in self.backends:
            self.put_entry(backend)
        network = f'127.{20 + os.getpid() % _NETWORKS}.0'
        self.vms = [
            Vm(
                number=FIRST_VM + number,
                network=network,
                store=self.store.address,
                folder=folder,
            )
            for number in range(vms)
        ]
        self.caller = Caller(vms=self.vms, seen=self.seen)
        self._callers: list[Any] = []
        self._served_by_boot: dict[str, int] = {}

    def start(self) -> None:
        """Start the VMs."""
        for vm in self.vms:
            vm.start()
        for vm in self.vms:
            vm.wait_until_ready()

    def close(self) -> None:
        """End all that was started."""
        gevent.killall(self._callers)
        for vm in self.vms:
            vm.close()
        for backend in self.backends:
            backend.close()
        self.store.close()

    def publish(self) -> None:
        """Publish the next version, which has one route more."""
        self.version += 1
        found = make_configuration(self.version)
        desk = {
            'host': HOST,
            'timeoutMs': 2000,
            'targetLatencyMs': 200,
            'upstream': 'desks',
            'attempts': 2,
        }
        looks = [f'/added-{number}/' for number in range(1, self.version + 1)]
        found['routes'] = [
            found['routes'][0],
            {
                **desk,
                'name': 'r-look',
                'pathPrefix': '/look/',
                'routeType': 'idempotent',
            },
            {
                **desk,
                'name': 'r-book',
                'pathPrefix': '/book/',
                'routeType': 'non_idempotent',
            },
            *(
                {
                    **desk,
                    'name': path,
                    'pathPrefix': path,
                    'routeType': 'idempotent',
                }
                for path in looks
            ),
        ]
        self.store.put('keyed.op', 'config', found)

    def put_entry(self, backend: Backend, state: str = 'ready') -> None:
        """Register a backend server."""
        entry = make_entry(
            upstream=backend.service,
            address=backend.link.address,
            state=state,
        )
        self.store.put('keyed.servers', backend.server_id, entry)

    def remove_entry(self, backend: Backend) -> None:
        """Let the entry of a backend server lapse."""
        self.store.put('keyed.servers', backend.server_id, b'')

    def start_callers(self, count: int) -> None:
        """Start callers that run programs until the end."""
        for number in range(count):
            is_loop = number % LOOP_SHARE == 0
            self._callers.append(gevent.spawn(self._call_on, is_loop=is_loop))
        self._callers.append(gevent.spawn(self._probe_on))

    def finish(self) -> None:
        """Check that nothing is stranded, once all faults are over."""
        for vm in self.vms:
            vm.start()
            vm.wait_until_ready()
        gevent.sleep(SETTLE_SECONDS)
        self._check_drain()
        gevent.killall(self._callers)
        programs = [self._make_program() for _ in range(FINAL_PROGRAMS)]
        gevent.joinall([
            gevent.spawn(program.run, FINAL_TRIES) for program in programs
        ])
        for program in programs:
            if program.is_failed or program.is_spent:
                self.seen.found.append('a program is stranded after the faults')
        for vm in self.vms:
            vm.check()
            self.seen.found.extend(vm.found)

    def _make_program(self, *, is_loop: bool = False) -> Program:
        return Program(
            caller=self.caller,
            seen=self.seen,
            turns=PROGRAM_TURNS,
            is_loop=is_loop,
        )

    def _call_on(self, *, is_loop: bool) -> None:
        while True:  # noqa: WPS457 - killed at the end
            self._make_program(is_loop=is_loop).run()

    def _probe_on(self) -> None:
        """Ask each process for the newest route that it served before."""
        while True:  # noqa: WPS457 - killed at the end
            for vm in self.vms:
                vm.check()
                self._probe(vm)
            gevent.sleep(0.1)

    def _probe(self, vm: Vm) -> None:
        boot = vm.boot
        newest = self._served_by_boot.get(boot, 0)
        version = max(newest, 1)
        if newest < self.version:
            version = newest + 1
        path = f'/added-{version}/x'
        body = b'probe'
        attempt = self.caller.call(path, body, vm=vm, kind='probe')
        if vm.boot != boot:
            return
        if attempt.status == HTTPStatus.OK:
            self._served_by_boot[boot] = max(newest, version)
        if attempt.status == HTTPStatus.NOT_FOUND and version <= newest:
            self.seen.found.append(f'{boot} went back before version {version}')

    def _check_drain(self) -> None:
        backend = self.backends[0]
        self.put_entry(backend, state='draining')
        gevent.sleep(DRAIN_SECONDS)
        before = self._count_runs(backend)
        gevent.sleep(DRAIN_SECONDS)
        if self._count_runs(backend) > before:
            self.seen.found.append(
                f'{backend.server_id} got work while it left'
            )
        self.put_entry(backend)
        gevent.sleep(1)

    def _count_runs(self, backend: Backend) -> int:
        return sum(
            run.server_id == backend.server_id
            for runs in self.seen.runs_by_id.values()
            for run in runs
        )
