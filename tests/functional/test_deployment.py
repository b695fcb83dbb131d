"""Tests of the deployment launcher, in deployments without nodes."""

import os
import time
from typing import Any

from testtools import TestCase

from standins.deployment import Deployment
from standins.http_client import request_json
from standins.organisations import CONVENTIONS

WAIT_TIMEOUT_SECONDS = 10
POLL_INTERVAL_SECONDS = 0.1


def is_running(process_id: int) -> bool:
    """Return whether a process with this id exists."""
    try:
        os.kill(process_id, 0)
    except ProcessLookupError:
        return False
    return True


def wait_for_models(address: str, count: int) -> list[Any]:
    """Return an engine's models once it has ``count``, or after a timeout."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    models: list[Any] = []
    while len(models) < count and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_SECONDS)
        models = request_json('GET', f'{address}/v1/state')['models']
    return models


class DeploymentTest(TestCase):
    """Tests of the launcher that functional tests and the demo use."""

    def test_stop_ends_every_process(self) -> None:
        """Guard against processes that are left running after a test."""
        with Deployment(organisation=CONVENTIONS, nodes=0, scale=0.3) as run:
            processes = [
                *(runner.process for runner in run.runners),
                *run.platform_by_kind.values(),
            ]
            process_ids = [process.process_id for process in processes]
        self.assertEqual(7, len(process_ids))
        self.assertFalse(any(map(is_running, process_ids)))

    def test_leaving_runner_is_announced_by_both_sources(self) -> None:
        """Guard against a notice that the VM list or server does not show."""
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

    def test_engine_loads_models_despite_rate_limit(self) -> None:
        """Guard against a model load that is not retried after a rate limit."""
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
