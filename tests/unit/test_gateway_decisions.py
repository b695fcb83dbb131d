"""Tests of routes, histories, placement and server health."""

import testtools
from testtools.matchers import LessThan

from bronzepost._internal.core.gateway.histories import (
    Turn,
    build_prompt,
    join_answer,
    list_chain,
    list_missing,
)
from bronzepost._internal.core.gateway.placement import (
    PlacementContext,
    choose_server,
)
from bronzepost._internal.core.gateway.route_table import (
    RouteTable,
    choose_service,
)
from bronzepost._internal.core.gateway.server_health import (
    HealthTable,
    list_avoided,
    record_failure,
    record_success,
)
from bronzepost._internal.core.gateway.server_latency import (
    LatencyTable,
    compute_latency_ratios,
    record_latency,
)
from bronzepost._internal.gateway.programs.turn_store import TurnStore
from tests.builders_gateway import MemoryStore, make_route, make_server


class TestRoutes(testtools.TestCase):
    """A request is routed by its host and path."""

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

    def test_services_are_chosen_by_weight(self) -> None:
        route = make_route(services=(('old', 90.0), ('new', 10.0)))
        chosen = [
            choose_service(route, point=step / 100) for step in range(100)
        ]
        self.assertEqual(10, chosen.count('new'))


class TestHistories(testtools.TestCase):
    """An engine gets the inputs and outputs of all turns, oldest first."""

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

    def test_missing_ancestors_are_listed(self) -> None:
        self.assertEqual(['a', 'b'], list_missing(('a', 'b'), {}))


class TestPlacement(testtools.TestCase):
    """Requests are spread by their cost, not by their number."""

    def choose(self, **context: object) -> str:
        fields: dict[str, object] = {
            'availability_zone': 'hall-a',
            'in_flight': {},
        }
        servers = [make_server('a'), make_server('b')]
        chosen = choose_server(
            servers,
            PlacementContext(**{**fields, **context}),  # type: ignore[arg-type]
        )
        assert chosen is not None
        return chosen.server_id

    def test_branch_stays_at_the_engine_that_cached_its_prompt(self) -> None:
        """Another engine would have to prefill the whole prompt."""
        chosen = self.choose(
            in_flight={'a': 10, 'b': 6},
            previous_server_id='a',
            unshared_tokens=5000,
        )
        self.assertEqual('a', chosen)

    def test_branch_leaves_a_full_engine(self) -> None:
        """Guard against queueing at one engine while another has free slots."""
        chosen = self.choose(
            in_flight={'a': 50, 'b': 16},
            previous_server_id='a',
            unshared_tokens=1000,
        )
        self.assertEqual('b', chosen)

    def test_branch_stays_as_long_as_reports_are_old(self) -> None:
        """They count requests that have ended, the branch's own among them."""
        chosen = [
            self.choose(
                in_flight={'a': 8, 'b': 2},
                previous_server_id='a',
                unshared_tokens=1000,
                report_age_seconds=age,
            )
            for age in (0.2, 1.5)
        ]
        self.assertEqual(['b', 'a'], chosen)

    def test_long_prompt_outweighs_a_difference_in_load(self) -> None:
        """A choice by load with a fixed bonus for 'a' would move the branch."""
        in_flight = {'a': 14.0, 'b': 6.0}
        by_load = min(
            in_flight,
            key=lambda name: in_flight[name] / 24 - 0.25 * (name == 'a'),
        )
        by_cost = self.choose(
            in_flight=in_flight, previous_server_id='a', unshared_tokens=8000
        )
        self.assertEqual(('b', 'a'), (by_load, by_cost))

    def test_slow_server_gets_fewer_requests(self) -> None:
        """One of the two servers takes 1.3 times as long as the other."""
        in_flight = dict.fromkeys('ab', 0)
        for salt in range(40):
            chosen = self.choose(
                in_flight=dict(in_flight),
                latency_ratio_by_id={'a': 1.3, 'b': 1.0},
                salt=salt,
            )
            in_flight[chosen] += 1
        self.assertThat(in_flight['a'], LessThan(in_flight['b'] * 0.75))

    def test_failing_server_is_avoided(self) -> None:
        chosen = self.choose(in_flight={'b': 20}, avoided_ids=frozenset('a'))
        self.assertEqual('b', chosen)

    def test_nothing_is_chosen_without_servers(self) -> None:
        context = PlacementContext(availability_zone='hall-a', in_flight={})
        self.assertIsNone(choose_server([], context))

    def test_latency_ratio_does_not_depend_on_load(self) -> None:
        """Guard against rating a full server as a slow one."""
        table = LatencyTable(seconds_by_server={})
        for _ in range(30):
            table = record_latency(
                table, server_id='a', seconds_per_event=0.02, running=0
            )
            table = record_latency(
                table, server_id='b', seconds_per_event=0.032, running=20
            )
        latency_ratios = compute_latency_ratios(table, ['a', 'b', 'unknown'])
        self.assertEqual(1.0, round(latency_ratios['b'], 2))

    def test_slow_server_is_recognised(self) -> None:
        table = LatencyTable(seconds_by_server={'a': 0.02, 'b': 0.02})
        for _ in range(20):
            table = record_latency(
                table, server_id='b', seconds_per_event=0.1, running=0
            )
        latency_ratios = compute_latency_ratios(table, ['a', 'b'])
        self.assertThat(latency_ratios['a'] * 2, LessThan(latency_ratios['b']))


class TestServerHealth(testtools.TestCase):
    """Servers are rated by their answers, not by their health check."""

    def test_server_is_avoided_briefly_after_one_failure(self) -> None:
        table = record_failure({}, 'a', at=10)
        self.assertEqual({'a'}, list_avoided(table, at=10.5))
        self.assertEqual(frozenset(), list_avoided(table, at=11.5))

    def test_server_with_frequent_failures_is_avoided_longer(self) -> None:
        """It fails two of five requests although its health check passes."""
        table: HealthTable = {}
        at: float = 0
        for fails in (True, False, True, False, False) * 4:
            at += 0.2
            record = record_failure if fails else record_success
            table = record(table, 'a', at=at)
        self.assertEqual({'a'}, list_avoided(table, at=at + 8))

    def test_rare_failures_do_not_add_up(self) -> None:
        """Healthy servers lose about one answer in forty."""
        table: HealthTable = {}
        for second in range(0, 200, 20):
            table = record_failure(table, 'a', at=second)
            for later in range(1, 20):
                table = record_success(table, 'a', at=second + later)
        self.assertEqual(frozenset(), list_avoided(table, at=182))


class TestTurnStore(testtools.TestCase):
    """Expired turns are removed, and a read returns few other turns."""

    def test_sweep_removes_turns_of_a_vm_that_is_gone(self) -> None:
        """Guard against a store that keeps these turns forever."""
        store = MemoryStore()
        store_of_gone_vm = TurnStore(store=store)
        for turn_id, ends_at in (('old', 10.0), ('new', 30.0)):
            turn = Turn(
                turn_id=turn_id,
                ancestors=(),
                prompt=b'',
                answer=b'',
                ends_at=ends_at,
            )
            store_of_gone_vm.write(turn)
        TurnStore(store=store).sweep(0, oldest=20)
        self.assertEqual({'new'}, store.list_keys('turns'))

    def test_read_of_a_turn_returns_few_others(self) -> None:
        """A read of up to a megabyte is slow on links of 15 Mbit/s."""
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
