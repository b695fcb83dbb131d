"""Tests of the directory of backend servers against stand-ins."""

import time

import gevent
from testtools import TestCase

from bronzepost._internal.core.scheduling.tables import SchedulingTables
from bronzepost._internal.node.callers.http_exchange import ExchangeClient
from bronzepost._internal.node.engines import backend_directory
from standins.http_client import request_json
from tests.functional.standin_processes import running_standin

SERVER_ID = 'pass-registry-1'
FAILED_POLLS = backend_directory.UNREACHABLE_AFTER_FAILURES
WAIT_TIMEOUT_SECONDS = 20


class BackendDirectoryTest(TestCase):
    """Tests of backend servers that fail and start again."""

    def publish_server(self, vm_list: str, address: str) -> None:
        """Replace the VM list by one backend server."""
        entry = {
            'id': SERVER_ID,
            'address': address,
            'kind': 'backend',
            'service': 'pass-registry',
            'model': None,
            'availability_zone': 'hall-a',
            'state': 'live',
        }
        request_json('PUT', f'{vm_list}/vms', {'vms': [entry]})

    def test_dead_runner_on_a_lagging_list_gets_no_calls(self) -> None:
        """Guard against calls to a dead server that is still on the VM list."""
        with running_standin('vm_list', '--lag-seconds', '0') as vm_list:
            directory = backend_directory.BackendDirectory(
                tables=SchedulingTables(),
                vm_list_client=ExchangeClient(address=vm_list),
            )
            with running_standin('service') as address:
                self.publish_server(vm_list, address)
                self.poll_until(directory, is_known=True)
            for _ in range(FAILED_POLLS):
                directory.poll_loads()
            self.assertNotIn(SERVER_ID, directory.addresses_by_id)
            directory.poll_vm_list()
            gevent.sleep(0.2)
            self.assertNotIn(SERVER_ID, directory.addresses_by_id)
            with running_standin('service') as address:
                self.publish_server(vm_list, address)
                self.poll_until(directory, is_known=True)
                self.assertEqual(address, directory.addresses_by_id[SERVER_ID])

    def poll_until(
        self,
        directory: backend_directory.BackendDirectory,
        *,
        is_known: bool,
    ) -> None:
        """Poll the VM list until the server is known, or is not known."""
        end = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while (SERVER_ID in directory.addresses_by_id) is not is_known:
            assert time.monotonic() < end, (
                'the directory was not updated in time'
            )
            directory.poll_vm_list()
            gevent.sleep(0.05)
