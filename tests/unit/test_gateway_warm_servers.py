"""Which servers are warm for a subject, and whether that pays."""

import dataclasses
import itertools
from collections.abc import Mapping

import testtools
from testtools.matchers import GreaterThan, HasLength, LessThan

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.gateway.warm_gain import (
    IDLE_SUBJECTS,
    MIN_SAMPLES,
    SAMPLE_DECAY_SECONDS,
    TRIAL_SECONDS,
    GainLearner,
    Group,
    Phase,
    choose_group,
)
from bronzepost._internal.core.gateway.warm_servers import (
    MAX_COPIES,
    MAX_SUBJECTS,
    RAMP_SECONDS,
    LoadLimits,
    Placed,
    SubjectTable,
    SubjectUse,
    Traffic,
    WarmChoice,
    Warmth,
    adapt_copies,
    choose_servers,
    rank_servers,
)
from tests.builders_gateway import make_server, make_servers

SUBJECT = 'tools/order-1'
TRAFFIC = Traffic(service='tools', vm_count=62, request_seconds=0.1)
NOW = 1_000_000.0
SERVERS = make_servers(18)


def find_use(
    copies: int = 1, servers: tuple[BackendServer, ...] = SERVERS
) -> SubjectUse:
    """Return the use of the subject with a number of copies."""
    use = SubjectTable().find(SUBJECT, servers)
    return dataclasses.replace(use, copies=copies)


def choose(
    use: SubjectUse,
    *,
    loads: Mapping[str, float] | None = None,
    unwanted: tuple[str, ...] = (),
    group: Group | None = Group.WARM,
    request_id: str = 'q-1',
    unix_seconds: float = NOW,
) -> WarmChoice:
    """Return the choice for a request at servers with 24 slots."""
    limits = LoadLimits(
        unwanted_ids=frozenset(unwanted),
        count_in_flight=lambda server: (loads or {}).get(server.server_id, 0),
        find_slots=lambda server: server.slots,
        utilization=0.25,
        gain=0.5,
    )
    warmth = Warmth(subject=SUBJECT, request_id=request_id, group=group)
    return choose_servers(use, limits, warmth, unix_seconds=unix_seconds)


def list_ids(choice: WarmChoice) -> list[str]:
    """Return the ids of the chosen servers."""
    return [server.server_id for server in choice.servers]


class TestWarmServers(testtools.TestCase):
    """A subject goes to the first servers of its order that are not busy."""

    def setUp(self) -> None:
        super().setUp()
        self.order = [
            server.server_id for server in rank_servers(SERVERS, SUBJECT)
        ]

    def test_all_vms_choose_the_same_server(self) -> None:
        """Guard against an order that depends on the list of a VM."""
        other = find_use(servers=tuple(reversed(SERVERS)))
        self.assertEqual(list_ids(choose(find_use())), list_ids(choose(other)))

    def test_busy_server_is_passed_over(self) -> None:
        """Guard against a hot spot: its load is above the bound of 12."""
        loads = {self.order[0]: 12.0}
        chosen = choose(find_use(), loads=loads)
        self.assertEqual([self.order[1]], list_ids(chosen))

    def test_busy_servers_leave_the_request_to_the_others(self) -> None:
        chosen = choose(find_use(), loads=dict.fromkeys(self.order, 12))
        self.assertEqual(WarmChoice(), chosen)

    def test_next_server_stands_in_for_an_unwanted_one(self) -> None:
        """It is avoided, excluded, blocked by its limit or unreachable."""
        chosen = choose(find_use(2), unwanted=(self.order[0],))
        self.assertEqual(self.order[1:3], list_ids(chosen))

    def test_more_copies_are_the_next_in_order(self) -> None:
        """VMs that count differently agree on all but the last ones."""
        self.assertEqual(self.order[:3], list_ids(choose(find_use(3))))

    def test_subject_for_all_servers_is_spread(self) -> None:
        """Guard against a table of copies that loads the first ones most."""
        use = find_use(MAX_COPIES)
        chosen = [
            choose(use, request_id=f'q-{number}') for number in range(100)
        ]
        self.assertEqual({Placed.SPREAD}, {one.placed for one in chosen})
        used = set(itertools.chain.from_iterable(map(list_ids, chosen)))
        self.assertThat(used, HasLength(18))

    def test_control_follows_from_the_request(self) -> None:
        chosen = [
            choose(find_use(), group=Group.CONTROL, request_id=f'q-{number}')
            for number in range(100)
        ]
        used = set(itertools.chain.from_iterable(map(list_ids, chosen)))
        self.assertThat(used, HasLength(18))
        self.assertTrue(all(one.teaches for one in chosen))

    def test_subject_that_is_not_compared_is_placed_as_others(self) -> None:
        self.assertEqual(WarmChoice(), choose(find_use(), group=None))

    def test_returning_server_takes_its_subjects_back_slowly(self) -> None:
        """Guard against a flood of slow requests at a server that is cold."""
        born = int(NOW * 1000)
        taken_by_age = {}
        for age in (0, RAMP_SECONDS / 2, RAMP_SECONDS):
            server = make_server('i-0', born=born)
            taken_by_age[age] = sum(
                bool(_choose_for(f's-{number}', server, NOW + age).servers)
                for number in range(200)
            )
        self.assertEqual(0, taken_by_age[0])
        self.assertEqual(200, taken_by_age[RAMP_SECONDS])
        self.assertThat(taken_by_age[RAMP_SECONDS / 2], GreaterThan(70))
        self.assertThat(taken_by_age[RAMP_SECONDS / 2], LessThan(130))


def _choose_for(
    subject: str, server: BackendServer, unix_seconds: float
) -> WarmChoice:
    use = SubjectTable().find(subject, (server,))
    limits = LoadLimits(
        unwanted_ids=frozenset(),
        count_in_flight=lambda _server: 0,
        find_slots=lambda _server: 1,
        utilization=0,
        gain=0.5,
    )
    warmth = Warmth(subject=subject, request_id='q-1', group=Group.WARM)
    return choose_servers(use, limits, warmth, unix_seconds=unix_seconds)


class TestSubjects(testtools.TestCase):
    """A subject has as many servers as its load needs."""

    def test_table_is_bounded(self) -> None:
        """Guard against memory that grows with the subjects of callers."""
        table = SubjectTable()
        for number in range(MAX_SUBJECTS + 10):
            table.record(f's-{number}', SERVERS, TRAFFIC, at=0)
        self.assertThat(table, HasLength(MAX_SUBJECTS))

    def test_popular_subject_gets_more_servers(self) -> None:
        """Ten a second at each of 62 VMs are 62 in flight of 6 a server."""
        table = SubjectTable()
        for number in range(200):
            use = table.record(SUBJECT, SERVERS, TRAFFIC, at=number / 10)
        self.assertThat(use.copies, GreaterThan(8))

    def test_popular_subject_spreads_in_a_second(self) -> None:
        """Guard against reports of 2 s after which its server is full.

        It needs 11 servers, and has half of them after a second.
        """
        table = SubjectTable()
        for number in range(10):
            use = table.record(SUBJECT, SERVERS, TRAFFIC, at=number / 10)
        self.assertThat(use.copies, GreaterThan(5))

    def test_subject_that_is_no_longer_popular_shrinks(self) -> None:
        table = SubjectTable()
        for number in range(200):
            table.record(SUBJECT, SERVERS, TRAFFIC, at=number / 10)
        use = table.record(SUBJECT, SERVERS, TRAFFIC, at=60)
        self.assertEqual(1, use.copies)

    def test_single_requests_need_one_server(self) -> None:
        """At one of 195 VMs the request itself is no sign of popularity."""
        table = SubjectTable()
        traffic = dataclasses.replace(TRAFFIC, vm_count=195)
        use = table.record(SUBJECT, SERVERS, traffic, at=0)
        self.assertEqual(1, use.copies)

    def test_copies_stay_while_the_count_varies(self) -> None:
        """Guard against a subject that moves with each count of a VM."""
        copies = 3
        for needed in (2.4, 1.9, 2.9, 1.3, 2.2):
            copies = adapt_copies(copies, needed)
            self.assertEqual(3, copies)

    def test_looking_changes_nothing(self) -> None:
        table = SubjectTable()
        table.find(SUBJECT, SERVERS)
        self.assertThat(table, HasLength(0))


class TestGain(testtools.TestCase):
    """A route is sticky for as long as its requests gain by it."""

    def test_gain_is_found(self) -> None:
        learner = GainLearner()
        feed(learner, warm=0.05, control=0.1, begin=0)
        self.assertTrue(learner.refresh(at=10))
        self.assertIs(Phase.ACTIVE, learner.phase)
        self.assertThat(abs(learner.estimate.gain - 0.5), LessThan(0.05))

    def test_without_a_gain_stickiness_does_not_begin(self) -> None:
        learner = GainLearner()
        feed(learner, warm=0.1, control=0.1, begin=0, seconds=TRIAL_SECONDS)
        self.assertTrue(learner.refresh(at=TRIAL_SECONDS))
        self.assertIs(Phase.IDLE, learner.phase)

    def test_cold_start_decides_nothing(self) -> None:
        """Guard against giving up before any server can be warm."""
        learner = GainLearner()
        feed(learner, warm=0.1, control=0.1, begin=0)
        self.assertFalse(learner.refresh(at=TRIAL_SECONDS / 2))

    def test_stickiness_ends_when_the_gain_goes(self) -> None:
        learner = GainLearner()
        feed(learner, warm=0.05, control=0.1, begin=0)
        learner.refresh(at=10)
        later = 5 * SAMPLE_DECAY_SECONDS
        feed(learner, warm=0.1, control=0.1, begin=later)
        learner.refresh(at=later + 10)
        self.assertIs(Phase.IDLE, learner.phase)

    def test_gain_that_comes_later_is_found(self) -> None:
        learner = GainLearner()
        feed(learner, warm=0.1, control=0.1, begin=0, seconds=TRIAL_SECONDS)
        learner.refresh(at=TRIAL_SECONDS)
        later = 6 * SAMPLE_DECAY_SECONDS
        feed(learner, warm=0.05, control=0.1, begin=later)
        learner.refresh(at=later + 10)
        self.assertIs(Phase.ACTIVE, learner.phase)

    def test_few_samples_decide_nothing(self) -> None:
        learner = GainLearner()
        for _ in range(int(MIN_SAMPLES) - 1):
            learner.record(Group.WARM, 0.01, at=0)
            learner.record(Group.CONTROL, 0.1, at=0)
        self.assertFalse(learner.refresh(at=0))

    def test_samples_of_peers_count(self) -> None:
        """Each of 62 VMs alone sees too few requests of a route."""
        learner = GainLearner()
        for number in range(62):
            peer = GainLearner()
            for seconds in (0.09, 0.11):
                peer.record(Group.WARM, seconds / 2, at=0)
                peer.record(Group.CONTROL, seconds, at=0)
            learner.put_reported(f'vm-{number}', peer.pack(at=0), at=0)
        learner.refresh(at=0)
        self.assertIs(Phase.ACTIVE, learner.phase)

    def test_silent_peers_are_left_out(self) -> None:
        learner = GainLearner()
        peer = GainLearner()
        feed(peer, warm=0.05, control=0.1, begin=0)
        learner.put_reported('vm-1', peer.pack(at=10), at=10)
        self.assertFalse(learner.refresh(at=11 + SAMPLE_DECAY_SECONDS))

    def test_idle_route_compares_few_subjects(self) -> None:
        """The search for a gain must cost almost nothing."""
        compared = sum(
            choose_group(Phase.IDLE, f's-{number}', unix_seconds=NOW, point=0.9)
            is not None
            for number in range(1600)
        )
        self.assertThat(compared, LessThan(1.4 * 1600 / IDLE_SUBJECTS))

    def test_active_route_explores_little(self) -> None:
        groups = [
            choose_group(
                Phase.ACTIVE, SUBJECT, unix_seconds=NOW, point=number / 1000
            )
            for number in range(1000)
        ]
        self.assertThat(groups.count(Group.CONTROL), LessThan(40))
        self.assertThat(groups.count(Group.CONTROL), GreaterThan(20))


def feed(
    learner: GainLearner,
    *,
    warm: float,
    control: float,
    begin: float,
    seconds: float = 10,
) -> None:
    """Record 400 requests of each group that vary by a fifth."""
    for number in range(400):
        at = begin + seconds * number / 400
        factor = 0.8 + 0.4 * (number % 10) / 9
        learner.record(Group.WARM, warm * factor, at=at)
        learner.record(Group.CONTROL, control * factor, at=at)
