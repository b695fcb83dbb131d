"""Tests of what a VM makes of connections that do not open."""

import random
from collections import Counter

import testtools
from hypothesis import given
from hypothesis import strategies as st

from bronzepost._internal.core.gateway.relay_choice import (
    FAR_TUNNELS,
    Relay,
    choose_relay,
    is_reached_elsewhere,
)
from bronzepost._internal.core.gateway.server_links import (
    MAX_PROBE_SECONDS,
    LinkTable,
    Path,
    find_path,
    is_cut_off,
    is_silent_since,
    list_due,
    list_working,
    needs_check,
    record_cut_off,
    record_failed,
    record_heard,
    record_opened,
    remove_server,
)

SERVERS = ('i-0', 'i-1', 'i-2')


def make_table(heard_at: float = 0) -> LinkTable:
    table = LinkTable()
    for server in SERVERS:
        record_heard(table, server, at=heard_at)
    return table


def fail(
    table: LinkTable, server: str, *, at: float, is_silent: bool = True
) -> None:
    """Fail to connect, and try others if that is due; none of them answers."""
    record_failed(table, server, tried_at=at, at=at + 0.4, is_silent=is_silent)
    if needs_check(table):
        record_cut_off(table, at=at + 0.4)


class TestCause(testtools.TestCase):
    """Whether a server or the links of the VM are at fault."""

    def test_crash_of_one_server_is_not_a_cut(self) -> None:
        """Guard against relays for each server that crashes."""
        table = make_table()
        fail(table, 'i-0', at=1)
        record_heard(table, 'i-1', at=1.5)
        self.assertFalse(is_cut_off(table))
        self.assertIs(Path.DIRECT, find_path(table, 'i-2'))

    def test_vm_without_requests_is_not_cut_off(self) -> None:
        """Guard against 503 at VMs that hear nothing since nobody asks them."""
        table = make_table()
        record_failed(table, 'i-0', tried_at=9, at=9.4, is_silent=True)
        self.assertTrue(needs_check(table))
        self.assertFalse(is_cut_off(table))
        self.assertIs(Path.DIRECT, find_path(table, 'i-1'))

    def test_answer_during_the_check_ends_it(self) -> None:
        """Guard against a cut that is found after a server has answered."""
        table = make_table()
        record_failed(table, 'i-0', tried_at=9, at=9.4, is_silent=True)
        record_opened(table, 'i-1', at=9.5)
        record_cut_off(table, at=9.6)
        self.assertFalse(is_cut_off(table))

    def test_vm_that_hears_from_no_server_is_cut_off(self) -> None:
        """Guard against trying server after server."""
        table = make_table()
        fail(table, 'i-0', at=1)
        self.assertTrue(is_cut_off(table))
        self.assertIs(Path.RELAY, find_path(table, 'i-2'))

    def test_answer_before_the_attempt_says_nothing(self) -> None:
        """Guard against trust in an answer from before a cut."""
        table = make_table()
        record_heard(table, 'i-1', at=0.99)
        fail(table, 'i-0', at=1)
        self.assertTrue(is_cut_off(table))

    def test_answer_on_an_open_connection_of_a_failing_link(self) -> None:
        """Guard against hope for new connections where only old ones live on."""
        table = make_table()
        for server in SERVERS:
            fail(table, server, at=1, is_silent=False)
        record_heard(table, 'i-0', at=2)
        self.assertTrue(is_cut_off(table))

    def test_open_connection_is_no_sign_where_new_ones_are_refused(
        self,
    ) -> None:
        """Guard against trying server after server since one is still heard."""
        table = make_table()
        record_failed(table, 'i-0', tried_at=1, at=1, is_silent=False)
        record_heard(table, 'i-1', at=1.1)
        self.assertTrue(needs_check(table))
        record_cut_off(table, at=1.2)
        record_heard(table, 'i-1', at=1.3)
        self.assertTrue(is_cut_off(table))
        self.assertIs(Path.OPEN, find_path(table, 'i-1'))
        record_opened(table, 'i-1', at=1.4)
        self.assertFalse(is_cut_off(table))

    def test_server_that_left_is_not_waited_for(self) -> None:
        """Guard against a cut that lasts as long as a crashed server is gone."""
        table = make_table()
        fail(table, 'i-0', at=1)
        remove_server(table, 'i-0')
        self.assertFalse(is_cut_off(table))

    def test_servers_are_tried_that_were_heard_last(self) -> None:
        """Guard against a check of links by servers that are away."""
        table = make_table()
        record_heard(table, 'i-2', at=3)
        record_heard(table, 'i-1', at=2)
        fail(table, 'i-0', at=4)
        self.assertEqual(['i-2', 'i-1'], list_working(table))


class TestSilence(testtools.TestCase):
    """Whether requests are taken off the links of the VM."""

    def test_links_that_hang(self) -> None:
        """Guard against streams that wait on a lost link until callers leave."""
        table = make_table()
        fail(table, 'i-0', at=1)
        self.assertFalse(is_silent_since(table, 0.5))
        self.assertTrue(is_silent_since(table, 1.5))

    def test_one_server_that_is_silent(self) -> None:
        """Guard against breaking off what a sound server has stopped for a second."""
        table = make_table()
        fail(table, 'i-0', at=1)
        record_heard(table, 'i-1', at=1.5)
        self.assertFalse(is_silent_since(table, 3))

    def test_open_connections_that_live_on(self) -> None:
        """Guard against breaking off answers that still arrive."""
        table = make_table()
        for server in SERVERS:
            fail(table, server, at=1)
        record_heard(table, 'i-0', at=2)
        self.assertFalse(is_silent_since(table, 1.5))
        for server in SERVERS:
            fail(table, server, at=3, is_silent=False)
        self.assertFalse(is_silent_since(table, 3.5))


class TestOpenConnections(testtools.TestCase):
    """Whether connections that are open are used on a failing link."""

    def test_they_are_used_where_new_ones_are_refused(self) -> None:
        """Guard against a hop where a connection lives on."""
        table = make_table()
        fail(table, 'i-0', at=1, is_silent=False)
        self.assertIs(Path.OPEN, find_path(table, 'i-0'))

    def test_they_are_not_used_where_nothing_answers(self) -> None:
        """Guard against requests that hang on a connection until they end."""
        table = make_table()
        fail(table, 'i-0', at=1)
        self.assertIs(Path.RELAY, find_path(table, 'i-0'))

    def test_they_are_used_where_the_server_answers_on_them(self) -> None:
        """Guard against the loss of connections to a server that is full."""
        table = make_table()
        fail(table, 'i-0', at=1)
        record_heard(table, 'i-0', at=1.1)
        self.assertIs(Path.OPEN, find_path(table, 'i-0'))


class TestReturn(testtools.TestCase):
    """How a link comes back into use."""

    def test_one_connection_is_not_enough(self) -> None:
        """Guard against links that come and go breaking requests each time."""
        table = make_table()
        fail(table, 'i-0', at=1)
        self.assertFalse(record_opened(table, 'i-0', at=2))
        self.assertIs(Path.OPEN, find_path(table, 'i-0'))
        fail(table, 'i-0', at=3)
        self.assertFalse(record_opened(table, 'i-0', at=4))
        self.assertTrue(record_opened(table, 'i-0', at=5))
        self.assertIs(Path.DIRECT, find_path(table, 'i-0'))

    @given(failures=st.integers(min_value=1, max_value=40))
    def test_probes_go_on(self, failures: int) -> None:
        """Guard against a link that is not tried again after a long cut."""
        table = make_table()
        for number in range(failures):
            fail(table, 'i-0', at=number)
        last_at = failures - 1 + 0.4
        self.assertEqual([], list_due(table, at=last_at))
        self.assertEqual(
            ['i-0'], list_due(table, at=last_at + MAX_PROBE_SECONDS)
        )


class TestRelayChoice(testtools.TestCase):
    """Which VM relays."""

    def make_relays(self, near: int, far: int) -> list[Relay]:
        return [
            Relay(name=f'vm-{number}', is_near=number < near, tunnels=0)
            for number in range(near + far)
        ]

    def choose_often(self, relays: list[Relay]) -> Counter[str]:
        """Choose for many requests, each of which adds to the load."""
        rng = random.Random(1)
        tunnels = {relay.name: relay.tunnels for relay in relays}
        chosen: Counter[str] = Counter()
        for _ in range(400):
            loaded = [
                Relay(
                    name=relay.name,
                    is_near=relay.is_near,
                    tunnels=tunnels[relay.name],
                )
                for relay in relays
            ]
            relay = choose_relay(loaded, rng)
            assert relay is not None
            tunnels[relay.name] += 1
            chosen[relay.name] += 1
        return chosen

    def test_without_a_relay(self) -> None:
        """Guard against an error where all VMs have lost their links."""
        self.assertIsNone(choose_relay([], random.Random(1)))

    def test_load_is_spread_when_most_of_a_zone_is_cut_off(self) -> None:
        """Guard against one near VM that gets what many VMs relay."""
        chosen = self.choose_often(self.make_relays(near=1, far=9))
        self.assertTrue(max(chosen.values()) < 40 + 2 * FAR_TUNNELS)

    def test_near_relays_are_taken_first(self) -> None:
        """Guard against bytes between zones without need."""
        relays = self.make_relays(near=2, far=8)
        rng = random.Random(1)
        chosen = [choose_relay(relays, rng) for _ in range(40)]
        self.assertEqual(
            {True}, {relay.is_near for relay in chosen if relay is not None}
        )

    def test_server_that_most_vms_lost_is_not_reached_elsewhere(self) -> None:
        """Guard against relays to a server that has crashed."""
        lost = frozenset(('i-0',))
        relays = [
            Relay(
                name=f'vm-{number}',
                is_near=True,
                tunnels=0,
                unreached_ids=lost if number < 3 else frozenset(),
            )
            for number in range(8)
        ]
        self.assertFalse(is_reached_elsewhere(relays, 'i-0'))
        self.assertTrue(is_reached_elsewhere(relays[2:], 'i-0'))
        self.assertFalse(is_reached_elsewhere([], 'i-0'))
