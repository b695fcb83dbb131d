"""A load of requests about subjects, replayed on servers in virtual time.

A server keeps the last subjects that it has seen and works faster for them. The
VMs decide with the gateway's code, from reports of the load of servers that are
up to ``view_seconds`` old.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import statistics
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType

from bronzepost._internal.core.gateway import warm_gain, warm_servers
from bronzepost._internal.core.gateway.candidates import (
    choose_candidates,
    choose_subset,
)
from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.gateway.placement import (
    PlacementContext,
    choose_server,
)
from tests.builders_gateway import make_server

SAMPLE_SECONDS = 0.1
ROUND_TRIP_SECONDS = 0.001
HOT = 'hot'
_MILLISECONDS = 1000
# The virtual clock starts here, so servers that start at 0 are old.
START = 1000.0

Action = Callable[[float], None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WarmLoad:
    """Servers, VMs and requests; times in seconds.

    ``utilization`` is the share of the slots in use if every request is cold.
    Subjects follow a Zipf distribution with exponent ``skew``. From
    ``hot_from`` to ``hot_until`` one subject has half of the requests. One server
    takes ``slow_factor`` times longer from ``slow_from`` on, and one is away from
    ``gone_from`` to ``gone_until`` and comes back cold. Warm requests save the
    share ``gain`` of their time.
    """

    servers: int = 18
    slots: int = 6
    vms: int = 62
    view_seconds: float = 2.0
    request_seconds: float = 0.1
    utilization: float = 0.6
    subjects: int = 4000
    kept_subjects: int = 300
    skew: float = 0
    gain: float = 0.5
    seconds: float = 40
    measured_from: float = 10
    hot_from: float = 0
    hot_until: float = 0
    slow_from: float = 0
    slow_factor: float = 1
    gone_from: float = 0
    gone_until: float = 0
    seed: int = 5

    @property
    def rate(self) -> float:
        """Return the requests a second."""
        slots = self.servers * self.slots
        return self.utilization * slots / self.request_seconds


@dataclasses.dataclass(kw_only=True, slots=True)
class WarmOutcome:
    """What a replayed load has come to, after the first seconds."""

    request_seconds: list[float] = dataclasses.field(default_factory=list)
    warm_hits: int = 0
    sent_by_server: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    busy_by_server: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    phase: warm_gain.Phase = warm_gain.Phase.UNDECIDED
    gain: float = 0
    phases: list[tuple[float, warm_gain.Phase]] = dataclasses.field(
        default_factory=list
    )

    @property
    def mean_seconds(self) -> float:
        """Return the mean time of a request."""
        return statistics.fmean(self.request_seconds)

    @property
    def p99_seconds(self) -> float:
        """Return the time that one of a hundred requests exceeds."""
        return sorted(self.request_seconds)[
            int(len(self.request_seconds) * 0.99)
        ]

    @property
    def hit_share(self) -> float:
        """Return the share of requests whose server had seen the subject."""
        return self.warm_hits / len(self.request_seconds)

    @property
    def peak_ratio(self) -> float:
        """Return the requests in flight of the busiest server over the mean."""
        return max(self.busy_by_server.values()) / statistics.fmean(
            self.busy_by_server.values()
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class _Server:
    entry: BackendServer
    kept: int
    running: int = 0
    queue: collections.deque[Action] = dataclasses.field(
        default_factory=collections.deque
    )
    seen: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def see(self, subject: str) -> bool:
        """Return whether the server has seen a subject, and remember it."""
        is_warm = subject in self.seen
        self.seen[subject] = None
        self.seen.move_to_end(subject)
        if len(self.seen) > self.kept:
            self.seen.popitem(last=False)
        return is_warm


@dataclasses.dataclass(kw_only=True, slots=True)
class _Vm:
    name: str
    subjects: warm_servers.SubjectTable
    subset: Sequence[BackendServer] = ()
    subset_of: Sequence[BackendServer] = ()


@dataclasses.dataclass(kw_only=True, slots=True)
class _Request:
    number: int
    subject: str
    started_at: float
    server_id: str = ''
    running: float = 0
    group: warm_gain.Group | None = None
    is_teaching: bool = False


class WarmReplay:
    """Replay a load with one way of placing its requests.

    ``way`` is 'none', without regard to subjects; 'hashing', the first server of
    the subject's order; or 'warm', as the gateway does it.
    """

    def __init__(self, *, load: WarmLoad, way: str) -> None:
        """Prepare the servers; ``run`` replays the load."""
        self._load = load
        self._way = way
        self._random = random.Random(load.seed)
        self._servers = {
            f'i-{number}': _Server(
                entry=make_server(f'i-{number}', slots=load.slots),
                kept=load.kept_subjects,
            )
            for number in range(load.servers)
        }
        self._listed = tuple(server.entry for server in self._servers.values())
        self._vms = [
            _Vm(name=f'vm-{number}', subjects=warm_servers.SubjectTable())
            for number in range(load.vms)
        ]
        self._learner = warm_gain.GainLearner()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._samples: collections.deque[collections.Counter[str]] = (
            collections.deque(
                maxlen=max(int(load.view_seconds / SAMPLE_SECONDS), 1)
            )
        )
        self._view: Mapping[str, float] = {}
        self._utilization: float = 0
        self._seconds = load.request_seconds
        self._outcome = WarmOutcome()
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Action]] = []
        self._cumulated = list(
            itertools.accumulate(
                (number + 1) ** -load.skew for number in range(load.subjects)
            )
        )

    def run(self) -> WarmOutcome:
        """Replay the load and return its outcome."""
        load = self._load
        self._schedule(START, self._arrive)
        for sample in range(int(load.seconds / SAMPLE_SECONDS)):
            self._schedule(START + sample * SAMPLE_SECONDS, self._update_view)
        if load.gone_until:
            self._schedule(START + load.gone_from, self._remove_server)
            self._schedule(START + load.gone_until, self._return_server)
        while self._events:
            at, _, action = heapq.heappop(self._events)
            action(at)
        self._outcome.phase = self._learner.phase
        self._outcome.gain = self._learner.estimate.gain
        return self._outcome

    def _schedule(self, at: float, action: Action) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _is_between(self, at: float, begin: float, end: float) -> bool:
        return START + begin <= at < START + end

    def _update_view(self, at: float) -> None:
        self._samples.append(self._in_flight.copy())
        self._view = {
            server_id: statistics.fmean(
                sample[server_id] for sample in self._samples
            )
            for server_id in self._servers
        }
        listed = len(self._listed) * self._load.slots
        self._utilization = (
            sum(self._view[server.server_id] for server in self._listed)
            / listed
        )
        if self._learner.refresh(at=at):
            self._outcome.phases.append((at - START, self._learner.phase))
        if at >= START + self._load.measured_from:
            self._outcome.busy_by_server.update({
                key: self._in_flight[key] for key in self._servers
            })

    def _remove_server(self, _at: float) -> None:
        self._listed = self._listed[1:]

    def _return_server(self, at: float) -> None:
        server = self._servers['i-0']
        server.seen.clear()
        server.entry = make_server(
            'i-0', slots=self._load.slots, born=int(at * _MILLISECONDS)
        )
        self._listed = (server.entry, *self._listed)

    def _arrive(self, at: float) -> None:
        load = self._load
        following = at + self._random.expovariate(load.rate)
        if following < START + load.seconds:
            self._schedule(following, self._arrive)
        is_hot = self._is_between(at, load.hot_from, load.hot_until)
        if is_hot and self._random.randrange(2):
            subject = HOT
        else:
            number = self._random.choices(
                range(load.subjects), cum_weights=self._cumulated
            )[0]
            subject = f's-{number}'
        request = _Request(
            number=next(self._numbers), subject=subject, started_at=at
        )
        vm = self._random.choice(self._vms)
        server = self._choose(request, vm, at)
        request.server_id = server.server_id
        request.running = self._view.get(server.server_id, 0)
        self._send(request, at)

    def _send(self, request: _Request, at: float) -> None:
        server = self._servers[request.server_id]
        self._in_flight[request.server_id] += 1
        if server.running < self._load.slots:
            self._start(request, at)
        else:
            server.queue.append(lambda now: self._start(request, now))

    def _start(self, request: _Request, at: float) -> None:
        load = self._load
        server = self._servers[request.server_id]
        server.running += 1
        is_warm = server.see(request.subject)
        seconds = load.request_seconds * self._random.uniform(0.5, 1.5)
        if is_warm:
            seconds *= 1 - load.gain
        is_slow = load.slow_from and at >= START + load.slow_from
        if is_slow and request.server_id == 'i-0':
            seconds *= load.slow_factor
        self._schedule(
            at + seconds, lambda end: self._end(request, end, is_warm=is_warm)
        )

    def _end(self, request: _Request, at: float, *, is_warm: bool) -> None:
        server = self._servers[request.server_id]
        server.running -= 1
        self._in_flight[request.server_id] -= 1
        seconds = at - request.started_at + ROUND_TRIP_SECONDS
        self._seconds += 0.01 * (seconds - self._seconds)
        if request.group is not None and request.is_teaching:
            self._learner.record(
                request.group,
                warm_gain.correct_for_load(
                    seconds, running=request.running, slots=self._load.slots
                ),
                at=at,
            )
        if request.started_at >= START + self._load.measured_from:
            self._outcome.request_seconds.append(seconds)
            self._outcome.warm_hits += is_warm
            self._outcome.sent_by_server[request.server_id] += 1
        if server.queue:
            server.queue.popleft()(at)

    def _choose(self, request: _Request, vm: _Vm, at: float) -> BackendServer:
        if self._way == 'hashing':
            return next(
                warm_servers.rank_servers(self._listed, request.subject)
            )
        warm: Sequence[BackendServer] = ()
        if self._way == 'warm':
            warm = self._list_warm(request, vm, at)
        candidates = warm or self._list_candidates(request, vm)
        chosen = choose_server(
            candidates,
            PlacementContext(
                availability_zone='hall-a',
                in_flight=self._view,
                salt=self._random.getrandbits(32),
            ),
        )
        assert chosen is not None
        return chosen

    def _list_candidates(
        self, request: _Request, vm: _Vm
    ) -> Sequence[BackendServer]:
        if vm.subset_of is not self._listed:
            vm.subset_of = self._listed
            vm.subset = choose_subset(
                self._listed, vm_name=vm.name, availability_zone='hall-a'
            )
        return choose_candidates(
            self._listed,
            holders=vm.subset,
            avoided_ids=frozenset(),
            excluded_ids=frozenset(),
            key=f'q-{request.number}',
        )

    def _list_warm(
        self, request: _Request, vm: _Vm, at: float
    ) -> tuple[BackendServer, ...]:
        warmth = warm_servers.Warmth(
            subject=request.subject,
            request_id=f'q-{request.number}',
            group=warm_gain.choose_group(
                self._learner.phase,
                request.subject,
                unix_seconds=at,
                point=self._random.random(),
            ),
        )
        use = vm.subjects.record(
            request.subject,
            self._listed,
            warm_servers.Traffic(
                service='tools',
                vm_count=self._load.vms,
                request_seconds=self._seconds,
            ),
            at=at,
        )
        limits = warm_servers.LoadLimits(
            unwanted_ids=frozenset(),
            count_in_flight=lambda server: self._view.get(server.server_id, 0),
            find_slots=lambda server: server.slots,
            utilization=self._utilization,
            gain=self._learner.weight,
        )
        choice = warm_servers.choose_servers(
            use, limits, warmth, unix_seconds=at
        )
        request.group = warmth.group
        request.is_teaching = choice.teaches
        return choice.servers


BASE = WarmLoad()
LARGE = dataclasses.replace(
    BASE, vms=195, servers=120, subjects=30_000, seconds=20, measured_from=8
)
# The loads of the design note's table, by name.
LOADS = MappingProxyType({
    'uniform': BASE,
    'Zipf 0.7': dataclasses.replace(BASE, skew=0.7),
    'Zipf 0.7, new reports': dataclasses.replace(
        BASE, vms=10, view_seconds=0.4, skew=0.7
    ),
    'Zipf 1.2': dataclasses.replace(BASE, skew=1.2),
    'half for one': dataclasses.replace(
        BASE, skew=0.7, hot_from=15, hot_until=30
    ),
    'slow server': dataclasses.replace(
        BASE, skew=0.7, slow_from=15, slow_factor=4
    ),
    'server restarts': dataclasses.replace(
        BASE, skew=0.7, gone_from=15, gone_until=20
    ),
    'no gain': dataclasses.replace(
        BASE, skew=0.7, gain=0, seconds=100, measured_from=70
    ),
    '3 servers': dataclasses.replace(
        BASE, servers=3, vms=10, view_seconds=0.4, subjects=1000, skew=0.7
    ),
    '195 VMs, Zipf 0.7': dataclasses.replace(LARGE, skew=0.7),
    '195 VMs, half for one': dataclasses.replace(
        LARGE, skew=0.7, hot_from=8, hot_until=16
    ),
})
