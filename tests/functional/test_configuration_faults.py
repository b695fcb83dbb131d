"""Tests that an accepted configuration is in force everywhere for good."""

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


def change(
    run: Deployment, node: Node, value: int, base: int, author: str = 'anna'
) -> Answer:
    """Propose a value for the path."""
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
    """Return value and revision of the path as a node has them."""
    path = f'/v1/configuration?path={PATH}'
    entry: dict[str, Any] = read_operator_api(run, node, path)['entries'][0]
    return entry


def read_values(run: Deployment) -> set[Any]:
    """Return the values that the nodes have in force."""
    return {read_entry(run, node)['value'] for node in run.nodes}


class ConfigurationFaultTest(TestCase):
    """Guard the configuration of several nodes."""

    def check_in_force(self, run: Deployment, value: int) -> None:
        """Wait until every node has a value."""
        has_value = wait_until(lambda: read_values(run) == {value})
        self.assertTrue(has_value, str(read_values(run)))

    def test_racing_operators_one_is_accepted(self) -> None:
        """Guard against two accepted changes that do not know each other."""
        with running_cluster(3) as run, ThreadPoolExecutor(2) as pool:
            base = 0
            for value in (10, 20, 30):
                racing = [
                    pool.submit(change, run, node, value + index, base, name)
                    for index, (node, name) in enumerate(
                        zip(run.nodes, ('anna', 'piotr'), strict=False)
                    )
                ]
                answers = [future.result() for future in racing]
                won = [got for got in answers if got.body['accepted']]
                lost = [got for got in answers if not got.body['accepted']]
                self.assertEqual((1, 1), (len(won), len(lost)))
                winner = value + answers.index(won[0])
                author = ('anna', 'piotr')[answers.index(won[0])]
                self.assertIn(author, str(lost[0].body))
                self.check_in_force(run, winner)
                base = read_entry(run, run.nodes[0])['revision']
            history = [
                read_operator_api(
                    run, node, f'/v1/configuration/history?path={PATH}'
                )
                for node in run.nodes
            ]
            self.assertTrue(all(got == history[0] for got in history))

    def test_racing_operators_lost_append_answer(self) -> None:
        """Guard against a change that is denied or made twice."""
        with running_cluster(2) as run:
            base = 0
            for value in (5, 6, 7):
                set_log_faults(run, lose_answers=1)
                answer = change(run, run.nodes[value % 2], value, base)
                self.assertTrue(answer.body['accepted'], str(answer))
                self.check_in_force(run, value)
                base = read_entry(run, run.nodes[0])['revision']
            path = f'/v1/configuration/history?path={PATH}'
            entries = read_operator_api(run, run.nodes[1], path)['entries']
            values = [entry['value'] for entry in entries]
            self.assertEqual([5, 6, 7], sorted(values))

    def test_log_outage_keeps_configuration_in_force(self) -> None:
        """Guard against older values while the log is down.

        A node starts during the outage and has to get the newest value from a
        peer before it serves.
        """
        with running_cluster(3) as run, ThreadPoolExecutor(1) as pool:
            late = run.nodes[2]
            self.assertTrue(change(run, run.nodes[0], 11, 0).body['accepted'])
            self.check_in_force(run, 11)
            late.kill()
            base = read_entry(run, run.nodes[0])['revision']
            second = change(run, run.nodes[1], 12, base)
            self.assertTrue(second.body['accepted'])
            set_log_faults(run, outage=True)
            refused = pool.submit(change, run, run.nodes[1], 13, base + 1)
            run.start_node(late)
            seen: list[Any] = []
            self.assertTrue(wait_until(lambda: self.poll(run, late, seen)))
            self.assertNotEqual(200, refused.result().status)
            set_log_faults(run, outage=False)
            deadline = time.monotonic() + 1
            while time.monotonic() < deadline:
                self.poll(run, late, seen)
            self.assertLessEqual(set(seen), {None, 12, 13})
            self.assertEqual(sorted(seen, key=lambda got: got or 0), seen)
            self.assertEqual(1, len(read_values(run)))

    def poll(self, run: Deployment, node: Node, seen: list[Any]) -> bool:
        """Note the value that a node has; return whether there is one."""
        seen.append(read_entry(run, node)['value'])
        time.sleep(0.05)
        return seen[-1] is not None
