"""Tests of the launcher of whole deployments, without nodes."""

import os
import time
from typing import Any

from testtools import TestCase

from standins.deployment import Deployment
from standins.http_client import request_json
from standins.organisations import CONVENTIONS

WAIT_SECONDS = 10
POLL_SECONDS = 0.1


def is_process(process_id: int) -> bool:
    """Return whether a process with this id exists."""
    try:
        os.kill(process_id, 0)
    except ProcessLookupError:
        return False
    return True


def wait_for_models(address: str, count: int) -> list[Any]:
    """Return an engine's models once there are as many, or at a timeout."""
    deadline = time.monotonic() + WAIT_SECONDS
    models: list[Any] = []
    while len(models) < count and time.monotonic() < deadline:
        time.sleep(POLL_SECONDS)
        models = request_json('GET', f'{address}/v1/state')['models']
    return models


class DeploymentTest(TestCase):
    """Guard the launcher that functional tests and the demo use."""

    def test_stop_ends_every_process(self) -> None:
        """Guard against processes that outlive a test."""
        with Deployment(organisation=CONVENTIONS, nodes=0, scale=0.3) as run:
            processes = [
                *(runner.process for runner in run.runners),
                *run.platform_by_kind.values(),
            ]
            identifiers = [process.process_id for process in processes]
        self.assertEqual(7, len(identifiers))
        self.assertFalse(any(map(is_process, identifiers)))

    def test_leaving_runner_is_announced(self) -> None:
        """Guard against a leaving notice that only one source shows."""
        options = {'vm_list': ('--lag-seconds', '0')}
        with Deployment(
            organisation=CONVENTIONS, nodes=0, scale=0.1, options=options
        ) as run:
            runner = run.runners[0]
            run.announce_leaving(runner)
            address = run.addresses_by_kind['vm_list']
            vms = request_json('GET', f'{address}/vms')['vms']
            effects = run.effects()[runner.process.name]
        self.assertEqual(['leaving', 'live'], [vm['state'] for vm in vms])
        self.assertIsNotNone(effects['leaving_since'])
        self.assertEqual(0, effects['received_after_leaving'])

    def test_ordered_models_come_from_the_weight_store(self) -> None:
        """Guard against a load that a rate limit ends for good."""
        options = {'weight_store': ('--fetches-per-second', '1')}
        with Deployment(
            organisation=CONVENTIONS, nodes=0, scale=0.1, options=options
        ) as run:
            engine = run.runners[0].address
            for name in ('first', 'second'):
                order = {'kind': 'load_model', 'name': name, 'fencing': 1}
                request_json('POST', f'{engine}/v1/orders', order)
            models = wait_for_models(engine, 3)
            store = run.addresses_by_kind['weight_store']
            effects = request_json('GET', f'{store}/effects')
        self.assertEqual(
            {'pass-assistant', 'first', 'second'},
            {model['name'] for model in models},
        )
        self.assertEqual({'first': 1, 'second': 1}, effects['by_name'])
