"""Tests that accepted changes of the configuration stay in force everywhere."""

import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from testtools import TestCase

from standins.deployment import Deployment
from standins.node_process import Node
from tests.functional.callers import Answer, send, wait_until
from tests.functional.clusters import (
    read_operator_api,
    running_cluster,
    set_log_faults,
)

PATH = 'hangar-trust:turn_limit'


def propose_change(
    run: Deployment, node: Node, value: int, base: int, author: str = 'anna'
) -> Answer:
    """Propose a value for ``PATH`` on a node."""
    return send(
        node.operator_address,
        '/v1/configuration',
        {
            'path': PATH,
            'value': value,
            'base_revision': base,
            'author': author,
        },
        headers={'Authorization': f'Bearer {run.operator_key}'},
    )


def read_entry(run: Deployment, node: Node) -> dict[str, Any]:
    """Return the entry of ``PATH``, with value and revision, on a node."""
    path = f'/v1/configuration?path={PATH}'
    entry: dict[str, Any] = read_operator_api(run, node, path)['entries'][0]
    return entry


def read_values(run: Deployment) -> set[Any]:
    """Return the values of ``PATH`` that the nodes have in force."""
    return {read_entry(run, node)['value'] for node in run.nodes}


class ConfigurationFaultTest(TestCase):
    """Guard the configuration of several nodes against faults and races."""

    def check_in_force(self, run: Deployment, value: int) -> None:
        """Check that every node has a value in force before the timeout."""
        has_value = wait_until(lambda: read_values(run) == {value})
        self.assertTrue(has_value, str(read_values(run)))

    def test_racing_operators_one_is_accepted(self) -> None:
        """Guard against two accepted changes with the same base revision."""
        with running_cluster(3) as run, ThreadPoolExecutor(2) as pool:
            base = 0
            for value in (10, 20, 30):
                futures = [
                    pool.submit(
                        propose_change, run, node, value + index, base, name
                    )
                    for index, (node, name) in enumerate(
                        zip(run.nodes, ('anna', 'piotr'), strict=False)
                    )
                ]
                answers = [future.result() for future in futures]
                accepted = [
                    answer for answer in answers if answer.body['accepted']
                ]
                rejected = [
                    answer for answer in answers if not answer.body['accepted']
                ]
                self.assertEqual((1, 1), (len(accepted), len(rejected)))
                accepted_value = value + answers.index(accepted[0])
                author = ('anna', 'piotr')[answers.index(accepted[0])]
                self.assertIn(author, str(rejected[0].body))
                self.check_in_force(run, accepted_value)
                base = read_entry(run, run.nodes[0])['revision']
            histories = [
                read_operator_api(
                    run, node, f'/v1/configuration/history?path={PATH}'
                )
                for node in run.nodes
            ]
            self.assertTrue(
                all(history == histories[0] for history in histories)
            )

    def test_racing_operators_lost_append_answer(self) -> None:
        """Guard against a change that is rejected or applied twice."""
        with running_cluster(2) as run:
            base = 0
            for value in (5, 6, 7):
                set_log_faults(run, lose_answers=1)
                answer = propose_change(run, run.nodes[value % 2], value, base)
                self.assertTrue(answer.body['accepted'], str(answer))
                self.check_in_force(run, value)
                base = read_entry(run, run.nodes[0])['revision']
            path = f'/v1/configuration/history?path={PATH}'
            entries = read_operator_api(run, run.nodes[1], path)['entries']
            values = [entry['value'] for entry in entries]
            self.assertEqual([5, 6, 7], sorted(values))

    def test_log_outage_keeps_configuration_in_force(self) -> None:
        """Guard against older values while the log is down.

        A node that starts during the outage has to get the newest value from
        a peer before it serves.
        """
        with running_cluster(3) as run, ThreadPoolExecutor(1) as pool:
            late_node = run.nodes[2]
            self.assertTrue(
                propose_change(run, run.nodes[0], 11, 0).body['accepted']
            )
            self.check_in_force(run, 11)
            late_node.kill()
            base = read_entry(run, run.nodes[0])['revision']
            second = propose_change(run, run.nodes[1], 12, base)
            self.assertTrue(second.body['accepted'])
            set_log_faults(run, outage=True)
            refused_change = pool.submit(
                propose_change, run, run.nodes[1], 13, base + 1
            )
            run.start_node(late_node)
            polled_values: list[Any] = []
            self.assertTrue(
                wait_until(
                    lambda: self.poll_value(run, late_node, polled_values)
                )
            )
            self.assertNotEqual(200, refused_change.result().status)
            set_log_faults(run, outage=False)
            deadline = time.monotonic() + 1
            while time.monotonic() < deadline:
                self.poll_value(run, late_node, polled_values)
            self.assertLessEqual(set(polled_values), {None, 12, 13})
            self.assertEqual(
                sorted(polled_values, key=lambda value: value or 0),
                polled_values,
            )
            self.assertEqual(1, len(read_values(run)))

    def poll_value(
        self, run: Deployment, node: Node, polled_values: list[Any]
    ) -> bool:
        """Record the value that a node has; return whether it has one."""
        polled_values.append(read_entry(run, node)['value'])
        time.sleep(0.05)
        return polled_values[-1] is not None
