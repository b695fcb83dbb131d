"""Tests of how requests that crash backend servers are told from others."""

import random
from typing import Any, Final, Self, cast
from unittest import mock

import testtools
from testtools.matchers import HasLength, LessThan

from bronzepost._internal.core.gateway.crash_suspects import (
    MAX_CRASHES,
    MAX_REQUESTS_PER_SERVER,
    MAX_SERVERS,
    RETENTION_SECONDS,
    STARTED_WEIGHT,
    Break,
    CrashTable,
    compute_blame,
    drop_old,
    is_deadly,
    is_suspect,
    list_crashes,
    record_alive,
    record_break,
    record_run,
)
from bronzepost._internal.core.gateway.entities import BackendServer, RouteKind
from bronzepost._internal.core.gateway.recent_runs import (
    MAX_RECENT,
    RECENT_SECONDS,
    RecentRuns,
)
from bronzepost._internal.exceptions import RefusedError, RunState
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.requests.pending_call import PendingCall
from bronzepost._internal.gateway.servers.suspect_requests import (
    DOWN_SECONDS,
    SuspectRequests,
)
from tests.builders_gateway import make_pending_call, make_route, make_servers
from tests.builders_gateway_servers import (
    ScriptedServer,
    answer_with,
    make_answer,
    make_request,
    open_gateway,
)
from tests.builders_vms import MemoryVm

START: Final = 1000.0
DEADLY: Final = 'deadly'
NAMES: Final = tuple(f'q-{number}' for number in range(100))


def crash(
    table: CrashTable, server: str, *requests: str, at: float = START
) -> None:
    """Record a crash under requests of which no answer had begun."""
    for request in requests:
        record_break(table, server, request, Break(at=at))


def run_batch(
    table: CrashTable, rng: random.Random, deadly: set[str], server: str
) -> int:
    """Run requests that are not refused; return how many crash the server."""
    batch = [
        name for name in rng.sample(NAMES, 4) if not is_deadly(table, name)
    ]
    crashing = deadly.intersection(batch)
    if crashing:
        crash(table, server, *batch)
    else:
        for name in batch:
            record_run(table, name, at=START + 1)
    return len(crashing)


class TestBlame(testtools.TestCase):
    """A request is deadly if it bears the blame for most of three crashes."""

    def test_two_crashes_are_not_enough(self) -> None:
        """Guard against refusing a request while servers are restarted in turn."""
        table = CrashTable()
        for server in ('a', 'b'):
            crash(table, server, DEADLY)
            self.assertTrue(is_suspect(table, DEADLY))
            self.assertFalse(is_deadly(table, DEADLY))

    def test_request_that_crashes_a_server_by_itself(self) -> None:
        table = CrashTable()
        crash(table, 'a', DEADLY, 'other-1', 'other-2')
        crash(table, 'b', DEADLY, 'other-1')
        crash(table, 'c', DEADLY)
        self.assertTrue(is_deadly(table, DEADLY))
        self.assertFalse(is_deadly(table, 'other-1'))

    def test_requests_that_shared_all_crashes_are_not_told_apart(self) -> None:
        """Guard against refusing an innocent request that shared three servers."""
        table = CrashTable()
        for server in ('a', 'b', 'c'):
            crash(table, server, DEADLY, 'innocent')
        self.assertFalse(is_deadly(table, DEADLY))
        self.assertFalse(is_deadly(table, 'innocent'))
        record_run(table, 'innocent', at=START + 1)
        self.assertTrue(is_deadly(table, DEADLY))

    def test_innocent_request_that_shared_servers_with_several(self) -> None:
        """Guard against blaming one request for the crashes of others."""
        table = CrashTable()
        for number in range(3):
            crash(table, f'shared-{number}', 'innocent', f'deadly-{number}')
            for place in ('alone', 'again'):
                crash(table, f'{place}-{number}', f'deadly-{number}')
        self.assertFalse(is_deadly(table, 'innocent'))
        for number in range(3):
            self.assertTrue(is_deadly(table, f'deadly-{number}'))

    def test_many_crashes_are_enough(self) -> None:
        """Guard against requests that always come together."""
        table = CrashTable()
        for number in range(MAX_CRASHES):
            crash(table, f's-{number}', DEADLY, 'other', 'third')
        self.assertTrue(is_deadly(table, DEADLY))

    def test_streams_that_had_begun_are_less_suspicious(self) -> None:
        table = CrashTable()
        started = Break(at=START, weight=STARTED_WEIGHT)
        for number in range(10):
            record_break(table, 'a', f'stream-{number}', started)
        crash(table, 'a', DEADLY)
        self.assertFalse(is_suspect(table, 'stream-1'))
        blames = [
            compute_blame(table, request) for request in (DEADLY, 'stream-1')
        ]
        self.assertThat(blames[1], LessThan(blames[0] / 2))

    def test_deadly_request_whose_answer_begins(self) -> None:
        """Guard against trusting a request for its first event."""
        table = CrashTable()
        for server in ('a', 'b', 'c'):
            started = Break(at=START, weight=STARTED_WEIGHT)
            record_break(table, server, DEADLY, started)
            crash(table, server, f'{server}-1', f'{server}-2')
        self.assertTrue(is_deadly(table, DEADLY))

    def test_deadly_requests_among_many_others(self) -> None:
        """Guard against refusing others while 3 or 10 in 100 crash servers."""
        for share in (0.03, 0.1):
            rng = random.Random(1)
            deadly = {name for name in NAMES if rng.random() < share}
            table = CrashTable()
            runs = sum(
                run_batch(table, rng, deadly, f's-{number}')
                for number in range(4000)
            )
            refused = {name for name in NAMES if is_deadly(table, name)}
            self.assertEqual(deadly, refused)
            self.assertThat(runs, LessThan(MAX_CRASHES * len(deadly)))


class TestEvidence(testtools.TestCase):
    """Runs and answers refute what breaks suggest."""

    def test_run_clears_a_request(self) -> None:
        table = CrashTable()
        crash(table, 'a', DEADLY)
        crash(table, 'b', DEADLY)
        record_run(table, DEADLY, at=START + 1)
        self.assertFalse(is_suspect(table, DEADLY))
        # News of the same break that arrives late changes nothing.
        crash(table, 'a', DEADLY)
        self.assertFalse(is_suspect(table, DEADLY))

    def test_answer_shows_that_a_server_did_not_crash(self) -> None:
        """Guard against taking cut connections for crashes."""
        table = CrashTable()
        crash(table, 'a', DEADLY)
        self.assertFalse(record_alive(table, 'a', at=START - 1))
        self.assertTrue(record_alive(table, 'a', at=START + 1))
        self.assertEqual([], list_crashes(table, DEADLY))
        crash(table, 'a', DEADLY)
        self.assertEqual([], list_crashes(table, DEADLY))

    def test_old_crashes_are_forgotten(self) -> None:
        table = CrashTable()
        crash(table, 'a', DEADLY)
        drop_old(table, at=START + RETENTION_SECONDS + 1)
        self.assertEqual(CrashTable(), table)

    def test_table_is_bounded(self) -> None:
        """Guard against callers that fill the memory of the VMs."""
        table = CrashTable()
        for number in range(2 * MAX_SERVERS):
            crash(table, f's-{number}', f'q-{number}')
        for number in range(2 * MAX_REQUESTS_PER_SERVER):
            crash(table, 'last', f'q-{number}')
        drop_old(table, at=START)
        self.assertThat(table.breaks_by_server, HasLength(MAX_SERVERS))
        self.assertThat(
            table.breaks_by_server['last'], HasLength(MAX_REQUESTS_PER_SERVER)
        )


class TestRecentRuns(testtools.TestCase):
    """A VM remembers for a short time what ran well."""

    def test_memory_is_bounded(self) -> None:
        recent = RecentRuns()
        for number in range(MAX_RECENT + 1):
            recent.add(f'q-{number}', at=START)
        self.assertIsNone(recent.find('q-0', at=START))
        self.assertEqual(START, recent.find('q-1', at=START))
        self.assertIsNone(recent.find('q-1', at=START + RECENT_SECONDS))


class SuspectVm(MemoryVm):
    """A VM with the part of a gateway that knows suspects."""

    def __init__(self, *, name: str, vms_by_name: dict[str, Self]) -> None:
        """Join the VMs ``vms_by_name``."""
        super().__init__(name=name, vms_by_name=vms_by_name)
        self.suspects = SuspectRequests(
            fleet=cast(Fleet, self), directory=self.directory
        )

    def list_live_peers(self) -> tuple[str, ...]:
        """Return the other VMs."""
        return self.list_serving_peers()


class TestVms(testtools.TestCase):
    """All VMs know what one of them has seen."""

    def setUp(self) -> None:
        """Start VMs whose clock the test sets, and which send news at once."""
        super().setUp()
        self.now = START
        package = 'bronzepost._internal.gateway.servers'
        targets: dict[str, Any] = {
            f'{package}.crash_news.read_clock': self.read_clock,
            f'{package}.suspect_requests.read_clock': self.read_clock,
            f'{package}.crash_news.gevent.spawn_later': self.spawn_later,
        }
        for target, function in targets.items():
            patch = mock.patch(target, function)
            patch.start()
            self.addCleanup(patch.stop)
        self.tasks: list[Any] = []
        self.servers = make_servers(5)
        self.vms_by_name: dict[str, SuspectVm] = {}
        self.vms = [self.start_vm(f'vm-{number}') for number in range(4)]

    def read_clock(self) -> float:
        return self.now

    def spawn_later(self, _seconds: float, task: Any) -> None:
        self.tasks.append(task)

    def send_news(self) -> None:
        while self.tasks:
            self.tasks.pop(0)()

    def start_vm(self, name: str) -> SuspectVm:
        vm = SuspectVm(name=name, vms_by_name=self.vms_by_name)
        vm.directory.put_servers(self.servers)
        return vm

    def break_off(
        self, vm: SuspectVm, pending: PendingCall, server: BackendServer
    ) -> None:
        vm.suspects.record_break(pending, server)
        self.send_news()

    def is_refused(self, vm: SuspectVm, pending: PendingCall) -> bool:
        try:
            vm.suspects.check(pending)
        except RefusedError:
            return True
        return False

    def test_crashes_that_different_vms_saw_add_up(self) -> None:
        """Guard against three crashes that no VM has seen all of."""
        for vm, server in zip(self.vms[:3], self.servers, strict=False):
            self.break_off(vm, make_deadly(), server)
        refused = [self.is_refused(vm, make_deadly()) for vm in self.vms]
        self.assertEqual({True}, set(refused))

    def test_other_bodies_at_the_same_target(self) -> None:
        """Guard against a caller that begins anew with a longer history."""
        for number, vm in enumerate(self.vms[:3]):
            self.break_off(
                vm, make_deadly(body=b'%d' % number), self.servers[number]
            )
        self.assertTrue(self.is_refused(self.vms[3], make_deadly(body=b'new')))

    def test_target_of_one_body_that_crashes_servers(self) -> None:
        """Guard against refusing a path that nothing else has used lately."""
        for number, vm in enumerate(self.vms[:3]):
            self.break_off(vm, make_deadly(), self.servers[number])
        self.assertTrue(self.is_refused(self.vms[3], make_deadly()))
        self.assertFalse(
            self.is_refused(self.vms[3], make_deadly(body=b'other'))
        )

    def test_target_that_serves_other_requests(self) -> None:
        """Guard against refusing all requests of a path for one of them."""
        for number, vm in enumerate(self.vms[:3]):
            self.break_off(vm, make_deadly(), self.servers[number])
            vm.suspects.record_run(make_deadly(body=b'other'))
            self.send_news()
        self.assertTrue(self.is_refused(self.vms[3], make_deadly()))
        self.assertFalse(
            self.is_refused(self.vms[3], make_deadly(body=b'other'))
        )

    def test_request_that_ran_well_lately_is_no_suspect(self) -> None:
        """Guard against refusing what many callers send, all of it at once."""
        for vm in self.vms:
            vm.suspects.record_run(make_deadly())
        for number, vm in enumerate(self.vms[:3]):
            self.break_off(vm, make_deadly(), self.servers[number])
        self.assertFalse(self.is_refused(self.vms[3], make_deadly()))
        started = self.start_vm('vm-9')
        self.vms[3].suspects._crashes.repeat()
        self.assertFalse(self.is_refused(started, make_deadly()))
        self.now += RECENT_SECONDS + 1
        for number, vm in enumerate(self.vms[:3]):
            self.break_off(vm, make_deadly(), self.servers[number])
        self.assertTrue(self.is_refused(self.vms[3], make_deadly()))

    def test_vm_that_starts_learns_what_ran_well(self) -> None:
        """Guard against a VM without memory that refuses a whole path."""
        self.vms[1].suspects.record_run(make_deadly(body=b'other'))
        for server in self.servers[:3]:
            self.break_off(self.vms[0], make_deadly(), server)
        self.assertTrue(self.is_refused(self.vms[0], make_deadly()))
        self.assertFalse(
            self.is_refused(self.vms[0], make_deadly(body=b'other'))
        )

    def test_vm_that_starts_learns_of_crashes(self) -> None:
        """Guard against a restart after which a deadly request runs again."""
        for number, vm in enumerate(self.vms[:3]):
            self.break_off(vm, make_deadly(), self.servers[number])
        started = self.start_vm('vm-9')
        self.assertFalse(self.is_refused(started, make_deadly()))
        with mock.patch(
            'bronzepost._internal.gateway.servers.crash_news.random.choice',
            return_value='vm-9',
        ):
            self.vms[3].suspects._crashes.repeat()
        self.assertTrue(self.is_refused(started, make_deadly()))

    def test_vm_that_was_cut_off_learns_of_crashes(self) -> None:
        for vm in self.vms[:3]:
            vm.cut_off = {'vm-3'}
        for number, vm in enumerate(self.vms[:3]):
            self.break_off(vm, make_deadly(), self.servers[number])
        self.assertFalse(self.is_refused(self.vms[3], make_deadly()))
        self.vms[2].cut_off = set()
        with mock.patch(
            'bronzepost._internal.gateway.servers.crash_news.random.choice',
            return_value='vm-3',
        ):
            self.vms[2].suspects._crashes.repeat()
        self.assertTrue(self.is_refused(self.vms[3], make_deadly()))

    def test_server_that_answers_later_has_not_crashed(self) -> None:
        """Guard against avoiding a server that lost one answer, at all VMs."""
        sent_at = self.now
        self.break_off(self.vms[0], make_deadly(), self.servers[0])
        for seconds, avoids in ((0.05, True), (0.2, False)):
            self.now = START + seconds
            self.vms[1].suspects.record_answer(
                self.servers[0], sent_at=sent_at - 1
            )
            self.send_news()
            for vm in self.vms:
                avoided = vm.suspects.list_avoided('engines')
                self.assertEqual(avoids, 'i-0' in avoided)

    def test_server_that_is_slow_is_not_avoided_as_crashed(self) -> None:
        """Guard against moving the load of a slow server to the others."""
        self.vms[0].suspects.record_break(
            make_deadly(), self.servers[0], is_silent=True
        )
        self.send_news()
        self.assertEqual(
            frozenset(), self.vms[1].suspects.list_avoided('engines')
        )

    def test_crashes_that_look_like_silence_are_counted(self) -> None:
        for server in self.servers[:3]:
            self.vms[0].suspects.record_break(
                make_deadly(), server, is_silent=True
            )
            self.send_news()
        self.assertTrue(self.is_refused(self.vms[1], make_deadly()))

    def test_refusal_says_whether_the_request_has_run(self) -> None:
        """Guard against a promise for an attempt that has run."""
        for number in range(3):
            self.break_off(self.vms[0], make_deadly(), self.servers[number])
        for runs, run in ((0, RunState.NOT_RUN), (1, RunState.UNKNOWN)):
            pending = make_deadly()
            pending.runs = runs
            error = self.assertRaises(
                RefusedError, self.vms[0].suspects.check, pending
            )
            self.assertEqual(run, error.run)
            self.assertEqual(502 if runs else 503, error.status)
            self.assertEqual(RETENTION_SECONDS, error.retry_after_seconds)

    def test_suspects_and_others_use_different_servers(self) -> None:
        """Guard against the next crash under the requests of others."""
        self.break_off(self.vms[0], make_deadly(), self.servers[0])
        isolated = {vm.suspects.find_isolated('engines') for vm in self.vms}
        self.assertThat(isolated, HasLength(1))
        isolated_ids = {server.server_id for server in isolated if server}
        for vm in self.vms:
            avoided = vm.suspects.list_avoided('engines')
            self.assertEqual({'i-0', *isolated_ids}, avoided)
        self.now += DOWN_SECONDS + 1
        self.assertEqual(
            frozenset(), self.vms[0].suspects.list_avoided('engines')
        )

    def test_suspects_wait_while_servers_are_down(self) -> None:
        """Guard against retries that take down the servers that are left."""
        for number, server in enumerate(self.servers[:2]):
            pending = make_deadly(target=b'/chat/%d' % number)
            self.break_off(self.vms[0], pending, server)
        self.assertIsNone(self.vms[1].suspects.find_isolated('engines'))

    def test_only_server_is_not_avoided(self) -> None:
        self.vms[0].directory.put_servers(self.servers[:1])
        self.break_off(self.vms[0], make_deadly(), self.servers[4])
        self.assertEqual(
            frozenset(), self.vms[0].suspects.list_avoided('engines')
        )


class TestForwarding(testtools.TestCase):
    """What a gateway does with a request that crashes servers."""

    def test_crash_before_an_answer_is_counted(self) -> None:
        """Guard against crashes that look like a cut or an empty answer."""
        for ending in (b'', b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nid'):
            backends = [
                ScriptedServer(script=answer_with(ending, stays_open=False))
                for _ in range(9)
            ]
            route = make_route(kind=RouteKind.NON_IDEMPOTENT)
            with open_gateway(route, *backends) as gateway:
                statuses = []
                for _ in range(5):
                    answer = gateway.call(make_request()).read_answer()
                    statuses.append(answer.head.status if answer.head else 0)
            runs = sum(len(backend.requests) for backend in backends)
            self.assertEqual(3, runs)
            self.assertEqual([503, 503], statuses[3:])

    def test_request_that_runs_well_is_no_suspect(self) -> None:
        backends = [
            ScriptedServer(script=answer_with(b'', stays_open=False)),
            ScriptedServer(script=answer_with(make_answer(b'x'))),
        ]
        route = make_route(kind=RouteKind.IDEMPOTENT, attempts=2)
        with open_gateway(route, *backends) as gateway:
            for _ in range(5):
                answer = gateway.call(make_request()).read_answer()
                self.assertEqual(b'x', answer.pop_body())


def make_deadly(
    *, body: bytes = b'deadly', target: bytes = b'/chat/x'
) -> PendingCall:
    """Return a request that crashes servers."""
    request = HttpRequest(
        method=b'POST', target=target, headers=(), body=body, keep_alive=True
    )
    return make_pending_call(request=request)
