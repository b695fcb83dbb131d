"""Tests of the membership protocol."""

from testtools import TestCase

from bronzepost._internal.core import membership
from tests.builders_membership import Network, build_entry, build_group

ALIVE = membership.MemberState.ALIVE
DEAD = membership.MemberState.DEAD
LEAVING = membership.MemberState.LEAVING
SUSPECTED = membership.MemberState.SUSPECTED


class FailureTest(TestCase):
    """Guard failure detection and refutation."""

    def test_killed_member_is_dead_everywhere(self) -> None:
        """Guard the takeover of a killed node's programs within 3 s."""
        network = build_group(12)
        network.stop('e')
        network.run(seconds=3)
        self.assertEqual({'dead'}, network.states('e'))

    def test_paused_member_refutes(self) -> None:
        """Guard against a member that stays dead after it resumes."""
        network = build_group(5)
        network.paused.add('c')
        network.run(seconds=5)
        self.assertEqual('dead', network.state('a', 'c'))
        network.paused.clear()
        network.run(seconds=8)
        self.assertEqual({'alive'}, network.states('c'))

    def test_resumed_member_declares_nobody_dead(self) -> None:
        """Guard against counting a node's own pause as others' missing acks."""
        network = build_group(5)
        network.actions.clear()
        network.paused.add('c')
        network.run(seconds=30)
        network.paused.clear()
        network.run(seconds=2)
        declared_dead = [
            action
            for _, viewer, action in network.actions
            if viewer == 'c'
            and isinstance(action, membership.MemberChanged)
            and action.current is DEAD
        ]
        self.assertEqual([], declared_dead)

    def test_members_rejoin_after_a_partition(self) -> None:
        """Guard against regions that stay apart after a network partition."""
        network = build_group(6)
        network.partition_by_name.update({'d': 1, 'e': 1, 'f': 1})
        network.run(seconds=60)
        self.assertEqual('dead', network.state('a', 'e'))
        network.partition_by_name.clear()
        network.run(seconds=25)
        for name in 'abcdef':
            self.assertEqual({'alive'}, network.states(name))

    def test_message_loss_declares_nobody_dead(self) -> None:
        """Guard against false death declarations on a lossy network."""
        network = build_group(8)
        network.loss = 0.1
        network.actions.clear()
        network.run(seconds=60)
        declared_dead = [
            action
            for _, _, action in network.actions
            if isinstance(action, membership.MemberChanged)
            and action.current is DEAD
        ]
        self.assertEqual([], declared_dead)

    def test_reported_suspicion_sends_no_ping(self) -> None:
        """Guard a suspect against pings from all members.

        Each ping opens a new connection; on 90 VMs that load led to further
        suspicions.
        """
        tables = membership.create_tables(build_entry('a'), at=0)
        receive(tables, build_entry('b'))
        receive(tables, build_entry('c'), build_entry('b', state=SUSPECTED))
        actions = membership.apply_event(tables, membership.Tick(at=0.1))
        self.assertEqual([], list_repeated_pings(actions))

    def test_suspect_is_pinged_after_own_failed_probe(self) -> None:
        """Guard against declaring a suspect dead without a chance to refute."""
        tables = membership.create_tables(build_entry('a'), at=0)
        receive(tables, build_entry('b'))
        ticks = (0.5, 0.85, 1.0)
        for at in ticks:
            membership.apply_event(tables, membership.Tick(at=at))
        actions = membership.apply_event(tables, membership.Tick(at=1.1))
        self.assertEqual(['b:7001'], list_repeated_pings(actions))

    def test_dead_member_is_removed(self) -> None:
        """Guard against tables that grow with every replaced VM."""
        tables = membership.create_tables(build_entry('a'), at=0)
        receive(tables, build_entry('b'))
        receive(tables, build_entry('b', state=DEAD))
        membership.apply_event(tables, membership.Tick(at=8000))
        self.assertEqual(['a'], list(tables.members_by_name))

    def test_removed_member_does_not_return_dead(self) -> None:
        """Guard against nodes that send a removed member back to each other."""
        tables = membership.create_tables(build_entry('a'), at=0)
        sender = build_entry('b')
        receive(tables, sender, build_entry('c', state=DEAD))
        self.assertEqual({'a', 'b'}, set(tables.members_by_name))


class SilentConnectionTest(TestCase):
    """Guard the recovery from an open but silent connection."""

    def test_silent_connection_is_replaced_before_next_probe(self) -> None:
        """Guard against probes over a connection that stays silent."""
        tables = membership.create_tables(build_entry('a'), at=0)
        receive(tables, build_entry('b'))
        membership.apply_event(tables, membership.Tick(at=0.5))
        actions = membership.apply_event(tables, membership.Tick(at=0.85))
        reconnect = membership.ReconnectPeer(peer_address='b:7001')
        self.assertEqual(reconnect, actions[0])
        self.assertIsInstance(actions[1], membership.Send)
        self.assertEqual(SUSPECTED, self._state_after(tables, at=1.0))

    def test_answer_to_repeated_ping_uses_new_connection(self) -> None:
        """Guard against an ack that goes out over the silent connection."""
        tables = membership.create_tables(build_entry('a'), at=0)
        ping = membership.Ping(
            sender=build_entry('b'),
            sequence=1,
            configuration_offset=0,
            is_repeated=True,
        )
        event = membership.MessageReceived(at=0, message=ping)
        actions = membership.apply_event(tables, event)
        reconnect = membership.ReconnectPeer(peer_address='b:7001')
        self.assertIn(reconnect, actions[:-1])
        self.assertIsInstance(actions[-1], membership.Send)

    def _state_after(
        self, tables: membership.MembershipTables, *, at: float
    ) -> membership.MemberState:
        membership.apply_event(tables, membership.Tick(at=at))
        return tables.members_by_name['b'].state


class LeaveTest(TestCase):
    """Guard the graceful shutdown."""

    def test_leaving_spreads_within_two_seconds(self) -> None:
        """Guard against new work for a leaving member."""
        network = build_group(12)
        network.leave('d')
        network.run(seconds=1)
        self.assertEqual({'leaving'}, network.states('d'))
        tables = network.tables_by_name['a']
        serving = {it.name for it in membership.serving_members(tables)}
        self.assertNotIn('d', serving)
        live = {it.name for it in membership.live_members(tables)}
        self.assertIn('d', live)

    def test_leaving_holds_while_the_member_runs(self) -> None:
        """Guard against a leaving member declared alive or dead too soon."""
        network = build_group(5)
        network.leave('d')
        network.loss = 0.1
        network.run(seconds=30)
        self.assertEqual({'leaving'}, network.states('d'))
        network.stop('d')
        network.run(seconds=10)
        self.assertEqual({'dead'}, network.states('d'))

    def test_same_incarnation_does_not_revoke_leaving(self) -> None:
        """Guard against old entries that arrive after the leaving update."""
        tables = membership.create_tables(build_entry('a'), at=0)
        receive(tables, build_entry('b', state=LEAVING))
        receive(tables, build_entry('b', state=ALIVE))
        receive(tables, build_entry('b', state=SUSPECTED))
        self.assertEqual(LEAVING, tables.members_by_name['b'].state)

    def test_new_boot_of_a_leaver_is_alive(self) -> None:
        """Guard against a restarted node that gets no work."""
        network = build_group(4)
        network.leave('d')
        network.run(seconds=1)
        network.start('d')
        network.run(seconds=4)
        self.assertEqual({'alive'}, network.states('d'))


class JoinTest(TestCase):
    """Guard joining and the content of messages."""

    def test_join_is_retried_until_a_seed_answers(self) -> None:
        """Guard against a node that stays alone when seeds start late."""
        network = Network()
        network.start('b')
        network.run(seconds=5)
        network.start('a')
        network.run(seconds=2)
        self.assertEqual('alive', network.state('b', 'a'))
        self.assertEqual('alive', network.state('a', 'b'))

    def test_updates_are_bounded(self) -> None:
        """Guard the size of a probe message."""
        tables = membership.create_tables(build_entry('a'), at=0)
        names = [f'n{index}' for index in range(50)]
        receive(tables, *(build_entry(name) for name in names))
        actions = membership.apply_event(tables, membership.Tick(at=0.5))
        sends = [act for act in actions if isinstance(act, membership.Send)]
        self.assertTrue(sends)
        for send in sends:
            self.assertLessEqual(len(send.message.updates), 8)

    def test_updates_stop_after_a_while(self) -> None:
        """Guard against updates that circulate forever."""
        network = build_group(4)
        network.run(seconds=30)
        pending_updates = [
            it.send_counts_by_name for it in network.tables_by_name.values()
        ]
        self.assertEqual([{}, {}, {}, {}], pending_updates)

    def test_lasting_difference_leads_to_full_exchange(self) -> None:
        """Guard against an update that some members never receive."""
        tables = membership.create_tables(build_entry('a'), at=0)
        message = membership.Ack(
            sender=build_entry('b'),
            sequence=0,
            configuration_offset=0,
            digest=5,
        )
        event = membership.MessageReceived(at=0, message=message)
        membership.apply_event(tables, event)
        tables.send_counts_by_name.clear()
        batches = [membership.apply_event(tables, event) for _ in range(4)]
        sends = [action for actions in batches for action in actions]
        self.assertEqual(1, len(sends))
        assert isinstance(sends[0], membership.Send)
        assert isinstance(sends[0].message, membership.Ping)
        self.assertTrue(sends[0].message.is_joining)

    def test_offset_ahead_is_reported(self) -> None:
        """Guard against a node that stays behind in the configuration."""
        tables = membership.create_tables(build_entry('a'), at=0)
        actions = receive(tables, build_entry('b'), offset=9)
        seen = membership.PeerOffsetSeen(
            name='b', peer_address='b:7001', offset=9
        )
        self.assertIn(seen, actions)
        self.assertEqual(9, tables.members_by_name['b'].configuration_offset)
        membership.apply_event(
            tables, membership.OffsetAdvanced(at=0, offset=9)
        )
        again = receive(tables, build_entry('b'), offset=9)
        self.assertNotIn(seen, again)


def receive(
    tables: membership.MembershipTables,
    sender: membership.MemberEntry,
    *updates: membership.MemberEntry,
    offset: int = 0,
) -> tuple[membership.MembershipAction, ...]:
    """Deliver an unsolicited ack of ``sender`` with ``updates``."""
    message = membership.Ack(
        sender=sender,
        sequence=0,
        configuration_offset=offset,
        updates=updates,
    )
    event = membership.MessageReceived(at=0, message=message)
    return membership.apply_event(tables, event)


def list_repeated_pings(
    actions: tuple[membership.MembershipAction, ...],
) -> list[str]:
    """Return the addresses that get a ping after a failed probe."""
    return [
        action.peer_address
        for action in actions
        if isinstance(action, membership.Send)
        and isinstance(action.message, membership.Ping)
        and action.message.is_repeated
    ]
