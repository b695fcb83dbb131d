"""Programs on engines of different speed, chosen by many VMs, in virtual time."""

import collections
import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

from bronzepost._internal.core.gateway import engine_speeds, shared_parts
from bronzepost._internal.core.gateway.candidates import (
    MAX_COMPARED_SERVERS,
    choose_candidates,
)
from bronzepost._internal.core.gateway.entities import BackendServer, PromptPart
from bronzepost._internal.core.gateway.load_view import (
    STALE_LOAD_SECONDS,
    LoadView,
)
from bronzepost._internal.core.gateway.placement import (
    PlacementContext,
    choose_server,
)
from bronzepost._internal.core.gateway.server_latency import (
    LatencyTable,
    compute_latency_ratios,
    record_latency,
)
from bronzepost._internal.gateway.peers.received_reports import (
    MAX_REPORT_PEERS,
    find_load_age,
    find_report_age,
    find_report_interval,
)
from tests.builders_engine_steps import EnginePace, EngineRequest, StepEngine
from tests.builders_gateway import make_server

REFRESH_SECONDS: Final = 0.5
MS_PER_SECOND: Final = 1000
# Some moments of an engine are slower, beside its speed.
NOISE_SHARE: Final = 0.15
NOISE_FACTOR: Final = 2.5
NOISE_SECONDS: Final = 0.6
ZONES: Final = 3
# The start of the time in which sends are counted, and of its late part.
SETTLED_SECONDS: Final = 2.0
LATE_SECONDS: Final = 9.0
Action = Callable[[float], None]
Speeds = Callable[[int, float], float]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgramKind:
    """Programs of one kind; a turn adds ``own_tokens`` to the prompt."""

    programs_per_second: float
    turns: int
    own_tokens: int
    pause_seconds: float = 0.08
    aim_factor: float = 1.6
    aim_seconds: float = 0.279


SEASON: Final = ProgramKind(programs_per_second=34.5, turns=4, own_tokens=1680)
CLAIM: Final = ProgramKind(programs_per_second=22.8, turns=7, own_tokens=840)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UnevenLoad:
    """Engines, VMs and programs; ``speeds`` has the speed by engine and time.

    ``burst`` multiplies the programs between the two ``burst_seconds``.
    ``swing`` is the amplitude of the demand of a zone over 15 s.
    """

    engines: int = 24
    vms: int = 87
    pace: EnginePace = EnginePace()
    kinds: tuple[ProgramKind, ...] = (SEASON, CLAIM)
    parts_per_kind: int = 8
    shared_tokens: int = 12_600
    skew: float = 0.7
    answer_tokens: int = 272
    tokens_per_event: int = 34
    speeds: Speeds = lambda _engine, _at: 1.0
    seconds: float = 14
    burst: float = 1
    burst_seconds: tuple[float, float] = (6, 10)
    swing: float = 0.55
    has_noise: bool = False
    rate_factor: float = 1


@dataclasses.dataclass(kw_only=True, slots=True)
class UnevenOutcome:
    """What a load has come to; times in seconds.

    ``sends_by_engine`` counts from ``SETTLED_SECONDS`` on, and
    ``late_sends_by_engine`` from ``LATE_SECONDS`` on.
    """

    sends_by_engine: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    in_aim_by_second: dict[int, list[bool]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    first_event_seconds: list[float] = dataclasses.field(default_factory=list)
    late_sends_by_engine: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    read_tokens: int = 0
    shared_tokens_read: int = 0

    def count_late(self, numbers: Iterable[int]) -> int:
        """Return the late sends to some engines."""
        return sum(
            self.late_sends_by_engine[f'i-{number}'] for number in numbers
        )

    def add(self, other: 'UnevenOutcome') -> None:
        """Add the outcome of another replay of the same load."""
        self.sends_by_engine.update(other.sends_by_engine)
        self.late_sends_by_engine.update(other.late_sends_by_engine)
        for second, ends in other.in_aim_by_second.items():
            self.in_aim_by_second[second].extend(ends)
        self.first_event_seconds.extend(other.first_event_seconds)
        self.read_tokens += other.read_tokens
        self.shared_tokens_read += other.shared_tokens_read

    @property
    def in_aim(self) -> float:
        """Return the share of the programs that ended in their aim."""
        ends = list(itertools.chain(*self.in_aim_by_second.values()))
        return sum(ends) / len(ends)

    def find_in_aim(self, first: int, last: int) -> float:
        """Return the share of those that began in some of the seconds."""
        ends = list(
            itertools.chain(
                *(self.in_aim_by_second[sec] for sec in range(first, last))
            )
        )
        return sum(ends) / len(ends)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class _Program:
    number: int
    kind: ProgramKind
    part: PromptPart
    started_at: float
    turns_done: int = 0
    server_id: str = ''


@dataclasses.dataclass(kw_only=True, slots=True)
class Chooser:
    """What one VM knows, and the decision before: the baseline."""

    load: UnevenLoad
    name: str = ''
    servers: tuple[BackendServer, ...]
    generator: random.Random
    own: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    total: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    received: dict[int, tuple[float, Any]] = dataclasses.field(
        default_factory=dict
    )
    parts: dict[str, shared_parts.PartUse] = dataclasses.field(
        default_factory=dict
    )
    known_parts: shared_parts.PartTable = dataclasses.field(
        default_factory=dict
    )
    holders: dict[str, tuple[BackendServer, ...]] = dataclasses.field(
        default_factory=dict
    )
    refreshed_at: float = -1
    latencies: LatencyTable = LatencyTable(seconds_by_server={})

    def count_in_flight(self, server_id: str) -> int:
        return max(self.total[server_id], 0) + self.own[server_id]

    def make_report(self, at: float) -> dict[str, Any]:
        self.recount(at)
        in_use = shared_parts.list_in_use(self.parts, at=at)
        return {
            'in_flight': {
                key: count for key, count in self.own.items() if count
            },
            'parts': {
                key: (use.tokens, round(use.uses, 1))
                for key, use in in_use.items()
            },
        }

    def recount(self, at: float) -> None:
        self.total = collections.Counter()
        for received_at, report in self.received.values():
            if received_at >= at - STALE_LOAD_SECONDS:
                for key, count in report['in_flight'].items():
                    self.total[key] += count

    def receive(self, sender: int, report: dict[str, Any], at: float) -> None:
        known = self.received.get(sender)
        if known is not None:
            for key, count in known[1]['in_flight'].items():
                self.total[key] -= count
        for key, count in report['in_flight'].items():
            self.total[key] += count
        self.received[sender] = (at, report)

    def record_stream(
        self, server_id: str, seconds_per_event: float, at: float
    ) -> None:
        self.latencies = record_latency(
            self.latencies,
            server_id=server_id,
            seconds_per_event=seconds_per_event,
            running=self.count_in_flight(server_id),
        )

    def use_part(self, part: PromptPart, at: float) -> None:
        key = part.part_id
        self.parts[key] = shared_parts.add_use(self.parts.get(key), part, at=at)
        if (
            at - self.refreshed_at > REFRESH_SECONDS
            or key not in self.known_parts
        ):
            self.parts = shared_parts.list_in_use(self.parts, at=at)
            self.known_parts = shared_parts.sum_uses(
                self.parts,
                (report['parts'] for _, report in self.received.values()),
                at=at,
            )
            self.refreshed_at = at
            self.holders = {}

    def list_holders(self, part_id: str) -> tuple[BackendServer, ...]:
        if part_id not in self.holders:
            copies = shared_parts.plan_copies(
                self.known_parts,
                engines=len(self.servers),
                memory_tokens=self.load.pace.memory_tokens,
            )
            ids = shared_parts.choose_holders(
                (server.server_id for server in self.servers),
                part_id,
                copies[part_id],
            )
            self.holders[part_id] = tuple(
                server for server in self.servers if server.server_id in ids
            )
        return self.holders[part_id]

    def list_candidates(self, program: _Program) -> list[BackendServer]:
        holders = self.list_holders(program.part.part_id)
        if len(holders) == len(self.servers):
            holders = self.servers
        candidates = choose_candidates(
            self.servers,
            holders=holders,
            avoided_ids=frozenset(),
            excluded_ids=frozenset(),
            key=f'program-{program.number}',
        )
        previous = [
            server
            for server in self.servers
            if server.server_id == program.server_id
        ]
        return [*previous, *candidates]

    def find_ratios(
        self, candidates: list[BackendServer], at: float
    ) -> Mapping[str, float]:
        return compute_latency_ratios(
            self.latencies, [server.server_id for server in candidates]
        )

    def find_age(self) -> float:
        """Return how old the loads of peers may be."""
        return find_report_age(self.load.vms - 1)

    def choose(self, program: _Program, at: float) -> BackendServer:
        self.use_part(program.part, at)
        candidates = self.list_candidates(program)
        server = choose_server(
            candidates, self.make_context(program, candidates, at)
        )
        assert server is not None
        return server

    def make_context(
        self, program: _Program, candidates: list[BackendServer], at: float
    ) -> PlacementContext:
        load = self.load
        grown = program.kind.own_tokens + load.answer_tokens
        return PlacementContext(
            availability_zone='hall-a',
            in_flight={
                server.server_id: self.count_in_flight(server.server_id)
                for server in candidates
            },
            previous_server_id=program.server_id,
            unshared_tokens=program.kind.own_tokens
            + program.turns_done * grown,
            shared_tokens=load.shared_tokens,
            answer_tokens=load.answer_tokens,
            holder_ids=frozenset(
                server.server_id
                for server in self.list_holders(program.part.part_id)
            ),
            latency_ratio_by_id=self.find_ratios(candidates, at),
            report_age_seconds=self.find_age(),
            salt=self.generator.getrandbits(32),
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class SharingChooser(Chooser):
    """The decision now: speeds learned by all VMs, and loads carried on."""

    view: LoadView = dataclasses.field(default_factory=LoadView)
    samples: dict[str, engine_speeds.EngineSamples] = dataclasses.field(
        default_factory=dict
    )
    ratios: Mapping[str, float] = dataclasses.field(default_factory=dict)
    reference_seconds: float = 0
    rated_at: float = -1

    def count_in_flight(self, server_id: str) -> int:
        """Return the requests in flight of all VMs at an engine."""
        return max(self.view.in_flight[server_id], 0) + self.own[server_id]

    def make_report(self, at: float) -> dict[str, Any]:
        """Return the report of this VM."""
        report = Chooser.make_report(self, at)
        self.view.recount(at=at)
        self.rate(at)
        report['speeds'] = engine_speeds.list_reported(
            self.samples, reference_seconds=self.reference_seconds, at=at
        )
        report['name'] = self.name
        report['relayed'] = {}
        if self.load.vms - 1 > MAX_REPORT_PEERS:
            report['relayed'] = self.view.list_relayed(at=at)
        return report

    def find_age(self) -> float:
        """Return how old the loads of peers may be."""
        return find_load_age(self.load.vms - 1)

    def receive(self, sender: int, report: dict[str, Any], at: float) -> None:
        """Take over the report of another VM."""
        self.received[sender] = (at, report)
        self.view.put(report['name'], report['in_flight'], at=at)
        self.view.put_relayed(report['relayed'], own_name=self.name, at=at)

    def record_stream(
        self, server_id: str, seconds_per_event: float, at: float
    ) -> None:
        """Learn from a stream that has ended."""
        Chooser.record_stream(self, server_id, seconds_per_event, at)
        self.samples[server_id] = engine_speeds.add_sample(
            self.samples.get(server_id),
            seconds_per_event=seconds_per_event,
            running=self.count_in_flight(server_id),
            at=at,
        )

    def rate(self, at: float) -> None:
        """Rate the engines, if the ratings are old."""
        if at - self.rated_at <= REFRESH_SECONDS:
            return
        reports = (
            (at, report['speeds']) for at, report in self.received.values()
        )
        total = engine_speeds.sum_samples(self.samples, reports, at=at)
        self.reference_seconds = engine_speeds.find_reference(total)
        self.ratios = engine_speeds.rate_engines(total, self.reference_seconds)
        self.rated_at = at

    def find_ratios(
        self, candidates: list[BackendServer], at: float
    ) -> Mapping[str, float]:
        """Return how much slower than others engines are."""
        if len(self.servers) <= MAX_COMPARED_SERVERS:
            return Chooser.find_ratios(self, candidates, at)
        self.rate(at)
        return self.ratios


class UnevenReplay:
    """Replay a load with one kind of chooser."""

    def __init__(
        self,
        *,
        load: UnevenLoad,
        chooser: type[Chooser] = Chooser,
        seed: int = 7,
    ) -> None:
        """Prepare engines and VMs; ``run`` replays the load."""
        self._load = load
        self._generator = random.Random(seed)
        servers = tuple(
            make_server(f'i-{number}', slots=load.pace.slots)
            for number in range(load.engines)
        )
        self._engines = {
            server.server_id: StepEngine(pace=load.pace) for server in servers
        }
        self._numbers_by_id = {
            server.server_id: number for number, server in enumerate(servers)
        }
        self.vms = [
            chooser(load=load, servers=servers, generator=self._generator)
            for _ in range(load.vms)
        ]
        for number, vm in enumerate(self.vms):
            vm.name = f'vm-{number}'
        self._owners: dict[EngineRequest, tuple[_Program, int]] = {}
        self._busy: set[str] = set()
        self._outcome = UnevenOutcome()
        self._order = itertools.count()
        self._events: list[tuple[float, int, Action]] = []

    def run(self) -> UnevenOutcome:
        """Replay the load and return its outcome."""
        self._schedule_programs()
        self._schedule_reports()
        while self._events:
            at, _, action = heapq.heappop(self._events)
            action(at)
        for engine in self._engines.values():
            self._outcome.read_tokens += engine.read_tokens
            self._outcome.shared_tokens_read += engine.shared_tokens_read
        return self._outcome

    def _schedule(self, at: float, action: Action) -> None:
        heapq.heappush(self._events, (at, next(self._order), action))

    def _schedule_programs(self) -> None:
        load = self._load
        numbers = itertools.count()
        weights = [
            (rank + 1) ** -load.skew for rank in range(load.parts_per_kind)
        ]
        for index, kind in enumerate(load.kinds):
            at: float = 0
            while at < load.seconds:
                first, last = load.burst_seconds
                rate = kind.programs_per_second * load.rate_factor
                if first <= at < last:
                    rate *= load.burst
                at += self._generator.expovariate(rate)
                rank = self._generator.choices(
                    range(load.parts_per_kind), weights
                )[0]
                part = PromptPart(
                    part_id=f'part-{index}-{rank}', tokens=load.shared_tokens
                )
                program = _Program(
                    number=next(numbers), kind=kind, part=part, started_at=at
                )
                self._schedule(at, self._make_turn(program))

    def _schedule_reports(self) -> None:
        load = self._load
        peers = load.vms - 1
        interval = find_report_interval(peers)
        for number in range(load.vms):
            others = [other for other in range(load.vms) if other != number]
            self._generator.shuffle(others)
            at = self._generator.uniform(0, interval)
            position = 0
            while at < load.seconds + 4:
                chosen = [
                    others[(position + step) % peers]
                    for step in range(min(MAX_REPORT_PEERS, peers))
                ]
                position += MAX_REPORT_PEERS
                self._schedule(at, self._make_report(number, chosen))
                at += interval

    def _make_report(self, number: int, chosen: list[int]) -> Action:
        def send(at: float) -> None:
            report = self.vms[number].make_report(at)
            for other in chosen:
                self.vms[other].receive(number, report, at)

        return send

    def _make_turn(self, program: _Program) -> Action:
        return lambda at: self._start_turn(program, at)

    def _draw_vm(self, at: float) -> int:
        """Return a VM; the demand of zones swings by turns."""
        load = self._load
        weights = [
            1 + load.swing * math.sin(2 * math.pi * (at / 15 + zone / ZONES))
            for zone in range(ZONES)
        ]
        zone = self._generator.choices(range(ZONES), weights)[0]
        return self._generator.randrange(zone, load.vms, ZONES)

    def _start_turn(self, program: _Program, at: float) -> None:
        load = self._load
        number = self._draw_vm(at)
        server_id = self.vms[number].choose(program, at).server_id
        program.server_id = server_id
        self.vms[number].own[server_id] += 1
        if at >= SETTLED_SECONDS:
            self._outcome.sends_by_engine[server_id] += 1
        if at >= LATE_SECONDS:
            self._outcome.late_sends_by_engine[server_id] += 1
        own = (
            (
                f'{program.number}/{turn}',
                program.kind.own_tokens + load.answer_tokens,
            )
            for turn in range(program.turns_done)
        )
        request = EngineRequest(
            parts=(
                (program.part.part_id, program.part.tokens),
                *own,
                (
                    f'{program.number}/{program.turns_done}',
                    program.kind.own_tokens,
                ),
            ),
            answer_tokens=load.answer_tokens,
            sent_at=at,
        )
        self._owners[request] = (program, number)
        self._engines[server_id].waiting.append(request)
        if server_id not in self._busy:
            self._busy.add(server_id)
            self._step(server_id, at)

    def _step(self, server_id: str, at: float) -> None:
        engine = self._engines[server_id]
        milliseconds, steps, chunk = engine.begin_steps()
        speed = self._find_speed(server_id, at)
        end = at + milliseconds / MS_PER_SECOND / speed

        def finish(now: float) -> None:
            for request in engine.end_steps(steps, chunk, now):
                self._end_turn(request, now)
            if engine.is_idle:
                self._busy.discard(server_id)
            else:
                self._step(server_id, now)

        self._schedule(end, finish)

    def _find_speed(self, server_id: str, at: float) -> float:
        number = self._numbers_by_id[server_id]
        speed = self._load.speeds(number, at)
        if self._load.has_noise:
            period = int(at / NOISE_SECONDS)
            draw = random.Random(period * 1000 + number).random()
            speed /= NOISE_FACTOR if draw < NOISE_SHARE else 1
        return speed

    def _end_turn(self, request: EngineRequest, at: float) -> None:
        load = self._load
        program, number = self._owners.pop(request)
        vm = self.vms[number]
        events = request.answer_tokens / load.tokens_per_event - 1
        self._outcome.first_event_seconds.append(
            request.first_at - request.sent_at
        )
        vm.record_stream(
            program.server_id, (at - request.first_at) / events, at
        )
        vm.own[program.server_id] -= 1
        program.turns_done += 1
        if program.turns_done < program.kind.turns:
            self._schedule(
                at + program.kind.pause_seconds, self._make_turn(program)
            )
            return
        is_in_aim = at - program.started_at <= self._find_aim(program.kind)
        second = int(program.started_at)
        self._outcome.in_aim_by_second[second].append(is_in_aim)

    def _find_aim(self, kind: ProgramKind) -> float:
        load = self._load
        pace = load.pace
        turn_ms = (
            pace.step_ms * load.answer_tokens
            + (kind.own_tokens + load.answer_tokens) / pace.read_tokens_per_ms
        )
        idle = kind.turns * (turn_ms / MS_PER_SECOND + kind.pause_seconds)
        return kind.aim_factor * idle + kind.aim_seconds


def find_share_by_speed(load: UnevenLoad, outcome: UnevenOutcome) -> float:
    """Return the busiest engine's sends over its share by mean speed."""
    speeds = [
        sum(load.speeds(number, at) for at in range(2, int(load.seconds)))
        for number in range(load.engines)
    ]
    total = sum(outcome.sends_by_engine.values())
    return max(
        outcome.sends_by_engine[f'i-{number}'] / total * sum(speeds) / speed
        for number, speed in enumerate(speeds)
    )
