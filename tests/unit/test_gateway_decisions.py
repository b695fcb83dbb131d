"""Routes, histories and placement, each with the load that it answers."""

import testtools
from testtools.matchers import LessThan

from bronzepost._internal.core.gateway.histories import (
    Turn,
    build_prompt,
    join_answer,
    list_chain,
    list_missing,
)
from bronzepost._internal.core.gateway.paces import (
    PaceTable,
    compare_servers,
    observe_pace,
)
from bronzepost._internal.core.gateway.placement import (
    PlacementView,
    choose_server,
)
from bronzepost._internal.core.gateway.route_table import (
    RouteTable,
    choose_service,
)
from bronzepost._internal.core.gateway.server_health import (
    HealthTable,
    list_avoided,
    note_failure,
    note_success,
)
from bronzepost._internal.gateway.turn_store import TurnStore
from tests.builders_gateway import MemoryStore, make_route, make_server


class TestRoutes(testtools.TestCase):
    """A request goes to the service that its host and path name."""

    def test_longest_prefix_wins(self) -> None:
        table = RouteTable.build(
            routes=(
                make_route(name='wide', path_prefix='/a/'),
                make_route(name='narrow', path_prefix='/a/b/'),
            )
        )
        route = table.find_route(host='DESK.example:80', target='/a/b/c?d=1')
        self.assertEqual('narrow', route and route.name)

    def test_prefix_in_the_query_does_not_count(self) -> None:
        table = RouteTable.build(routes=(make_route(path_prefix='/a/'),))
        found = table.find_route(host='desk.example', target='/?/a/')
        self.assertIsNone(found)

    def test_unknown_host_has_no_route(self) -> None:
        table = RouteTable.build(routes=(make_route(),))
        found = table.find_route(host='other.example', target='/chat/')
        self.assertIsNone(found)

    def test_services_share_by_weight(self) -> None:
        route = make_route(services=(('old', 90.0), ('new', 10.0)))
        chosen = [
            choose_service(route, point=step / 100) for step in range(100)
        ]
        self.assertEqual(10, chosen.count('new'))


class TestHistories(testtools.TestCase):
    """An engine gets the inputs and outputs of a chain, oldest first."""

    def test_prompt_holds_the_chain_in_order(self) -> None:
        first = Turn(
            turn_id='a',
            ancestors=(),
            prompt=b'ask',
            answer=join_answer([b'x', b'y']),
            ends_at=0,
        )
        second = Turn(
            turn_id='b',
            ancestors=list_chain(first),
            prompt=b'more',
            answer=b'z\n',
            ends_at=0,
        )
        turns_by_id = {'a': first, 'b': second}
        prompt = build_prompt(list_chain(second), turns_by_id, b'new')
        self.assertEqual(b'askx\ny\nmorez\nnew', prompt)

    def test_missing_ancestor_is_named(self) -> None:
        self.assertEqual(['a', 'b'], list_missing(('a', 'b'), {}))


class TestPlacement(testtools.TestCase):
    """Turns are spread by what they cost, not by their number."""

    def choose(self, **view: object) -> str:
        fields: dict[str, object] = {
            'availability_zone': 'hall-a',
            'in_flight': {},
        }
        servers = [make_server('a'), make_server('b')]
        chosen = choose_server(
            servers,
            PlacementView(**{**fields, **view}),  # type: ignore[arg-type]
        )
        assert chosen is not None
        return chosen.server_id

    def test_line_stays_where_its_prompt_was_read(self) -> None:
        """Moving a line makes an engine read its prompt again."""
        chosen = self.choose(
            in_flight={'a': 10, 'b': 6}, home='a', own_tokens=5000
        )
        self.assertEqual('a', chosen)

    def test_line_moves_from_a_full_engine(self) -> None:
        """36 requests on one engine and 16 on another, as a bench day had."""
        chosen = self.choose(
            in_flight={'a': 50, 'b': 16}, home='a', own_tokens=1000
        )
        self.assertEqual('b', chosen)

    def test_least_busy_choice_would_have_moved_the_line(self) -> None:
        """The decision before, by number of requests with a fixed bonus."""
        in_flight = {'a': 14.0, 'b': 6.0}
        before = min(
            in_flight,
            key=lambda name: in_flight[name] / 24 - 0.25 * (name == 'a'),
        )
        after = self.choose(in_flight=in_flight, home='a', own_tokens=8000)
        self.assertEqual(('b', 'a'), (before, after))

    def test_slow_server_gets_fewer(self) -> None:
        """A server that takes 1.3 times as long fills up last."""
        in_flight = dict.fromkeys('ab', 0)
        for salt in range(40):
            chosen = self.choose(
                in_flight=dict(in_flight),
                slowness_by_id={'a': 1.3, 'b': 1.0},
                salt=salt,
            )
            in_flight[chosen] += 1
        self.assertThat(in_flight['a'], LessThan(in_flight['b'] * 0.75))

    def test_failing_server_is_avoided(self) -> None:
        chosen = self.choose(in_flight={'b': 20}, avoided=frozenset('a'))
        self.assertEqual('b', chosen)

    def test_no_server_is_no_choice(self) -> None:
        view = PlacementView(availability_zone='hall-a', in_flight={})
        self.assertIsNone(choose_server([], view))

    def test_pace_is_compared_without_the_load(self) -> None:
        """A full server is not taken for a slow one."""
        table = PaceTable(seconds_by_server={})
        for _ in range(30):
            table = observe_pace(
                table, server_id='a', seconds_per_event=0.02, running=0
            )
            table = observe_pace(
                table, server_id='b', seconds_per_event=0.032, running=20
            )
        slowness = compare_servers(table, ['a', 'b', 'unknown'])
        self.assertEqual(1.0, round(slowness['b'], 2))

    def test_slow_server_is_recognised(self) -> None:
        table = PaceTable(seconds_by_server={'a': 0.02, 'b': 0.02})
        for _ in range(20):
            table = observe_pace(
                table, server_id='b', seconds_per_event=0.1, running=0
            )
        slowness = compare_servers(table, ['a', 'b'])
        self.assertThat(slowness['a'] * 2, LessThan(slowness['b']))


class TestServerHealth(testtools.TestCase):
    """Servers are judged by their answers, not by what they say."""

    def test_single_failure_is_forgiven_soon(self) -> None:
        table = note_failure({}, 'a', at=10)
        self.assertEqual({'a'}, list_avoided(table, at=10.5))
        self.assertEqual(frozenset(), list_avoided(table, at=11.5))

    def test_grey_server_is_avoided_longer(self) -> None:
        """It fails two of five requests while its health check is good."""
        table: HealthTable = {}
        at: float = 0
        for fails in (True, False, True, False, False) * 4:
            at += 0.2
            note = note_failure if fails else note_success
            table = note(table, 'a', at=at)
        self.assertEqual({'a'}, list_avoided(table, at=at + 8))

    def test_rare_failures_do_not_add_up(self) -> None:
        """One answer in forty is lost on a common bench day."""
        table: HealthTable = {}
        for second in range(0, 200, 20):
            table = note_failure(table, 'a', at=second)
            for later in range(1, 20):
                table = note_success(table, 'a', at=second + later)
        self.assertEqual(frozenset(), list_avoided(table, at=182))


class TestTurnStore(testtools.TestCase):
    """Turns leave the store, whoever wrote them."""

    def test_sweep_removes_turns_of_a_vm_that_is_gone(self) -> None:
        """The store would fill up with them."""
        store = MemoryStore()
        lost = TurnStore(store=store)
        for turn_id, ends_at in (('old', 10.0), ('new', 30.0)):
            turn = Turn(
                turn_id=turn_id,
                ancestors=(),
                prompt=b'',
                answer=b'',
                ends_at=ends_at,
            )
            lost.write(turn)
        TurnStore(store=store).sweep(0, oldest=20)
        self.assertEqual({'new'}, store.list_keys('turns'))

    def test_read_of_a_turn_brings_few_others(self) -> None:
        """Each read of a turn took up to a megabyte on links of 15 Mbit/s."""
        store = MemoryStore(partitions=12)
        turns = TurnStore(store=store)
        for number in range(12000):
            turn_id = f'{number:016x}'
            turns.write(
                Turn(
                    turn_id=turn_id,
                    ancestors=(),
                    prompt=b'',
                    answer=b'',
                    ends_at=30.0,
                )
            )
        self.assertThat(store.count_longest_partition(), LessThan(50))
