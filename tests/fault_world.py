"""Several nodes and a log with faults, and checks of the invariants.

The arguments of every step are small integers, so that both a hypothesis state
machine and a seeded random generator can choose them.
"""

import random
from collections import Counter
from collections.abc import Callable
from typing import Final

from bronzepost._internal.core.ledger import journal_events as events
from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.apply import apply_record
from bronzepost._internal.core.ledger.journal import build_checkpoint
from bronzepost._internal.core.ledger.state import PartitionState
from tests import builders_faults as faults
from tests import builders_ledger as builders
from tests import builders_records
from tests.builders_ledger import Delivery

NODES: Final = ('hall-a-1', 'hall-b-1', 'hall-c-1')
PROGRAM_FORMATS: Final = ('p{0}', 'p{0}.a', 'p{0}.a.x', 'q{0}')
BUDGETS: Final = (100, 45, 20, 30)
DELIVERIES: Final = tuple(Delivery)
KEYS: Final = ('k1', 'k2', 'k3')

WeightedStep = tuple[float, Callable[[], None]]


class FaultWorld:
    """Nodes that share one partition, and the faults between them.

    ``expected_state`` is the state after all records on the log.
    ``generation`` is part of the program names.
    """

    def __init__(self) -> None:
        """Start every node, without an owner of the partition."""
        self.log = builders.FakeLog(read_limit=8)
        self.observations = faults.Observations()
        self.expected_state = PartitionState()
        self.boots = 0
        self.generation = 0
        self.nodes = [self._boot(name) for name in NODES]
        self.counts: Counter[str] = Counter()
        self.finished: dict[tuple[str, int], str] = {}
        self.budget_by_program: dict[str, int] = {}

    def begin(self, node: int, program: int, kind: int, amount: int) -> None:
        """Begin a call at a node.

        Bit 0 of ``kind`` chooses a non-idempotent call, bit 1 a model call.
        """
        selected = self._find_running(node)
        if selected is None:
            return
        name = self._format_program_id(program)
        non_idempotent = bool(kind & 1)
        call = builders_records.build_call(
            name,
            worst_case=1 + amount % 12,
            budget=self.budget_by_program.setdefault(name, BUDGETS[program]),
            key=KEYS[amount % len(KEYS)] if non_idempotent else '',
            non_idempotent=non_idempotent,
        )
        selected.begin(call, is_model_call=bool(kind & 2))
        self.counts['calls'] += 1

    def advance(self, node: int, position: int, step: int) -> None:
        """Send, finish or withdraw one call of a node, as ``step`` says."""
        selected = self._find_running(node)
        if selected is None or not selected.in_flight_calls_by_program:
            return
        names = sorted(selected.in_flight_calls_by_program)
        name = names[position % len(names)]
        if step < 6:
            selected.send(name, share=step * 20)
        elif step < 11:
            selected.finish(name)
        else:
            selected.withdraw(name)
            self.counts['withdrawals'] += 1

    def abandon(self, node: int, position: int) -> None:
        """Let a node abandon an announced call."""
        selected = self._find_running(node)
        names = sorted(self.expected_state.open_intents_by_program)
        if selected is not None and names:
            selected.abandon(names[position % len(names)])

    def work(self, node: int, program: int, kind: int, amount: int) -> None:
        """Run one call without a fault if the program has none in progress."""
        self.begin(node, program, kind, amount)
        for _ in range(2):
            self.tick(node, 0)
            self.deliver(node, 0)
            self.deliver(node, 0)
            self.advance(node, 0, amount % 6)
            self.advance(node, 0, 6)

    def manage(self, node: int, program: int, step: int) -> None:
        """Submit a checkpoint or a history, release, or end a program."""
        selected = self._find_running(node)
        if selected is None or not selected.member.journal.is_owner:
            return
        if step < 3:
            journal = selected.member.journal
            selected.member.submit(build_checkpoint(journal))
        elif step < 6:
            selected.release(releases_partition=step == 5)
            self.counts['releases'] += 1
        elif step == 6:
            selected.store_history_again(self._format_program_id(program))
            self.counts['history snapshots'] += 1
        else:
            selected.end(self._format_program_id(program))

    def start_afresh(self) -> None:
        """Use new programs from now on."""
        self.generation += 1

    def claim(self, node: int) -> None:
        """Let a node claim the partition unless it owns it."""
        selected = self._find_running(node)
        if selected is not None and not selected.member.journal.is_owner:
            member = selected.member
            member.feed(events.OwnershipWanted(at=member.now))
            self.counts['claims'] += 1

    def tick(self, node: int, refresh: int) -> None:
        """Let half a second pass for a node; ``refresh`` requests a read."""
        selected = self._find_running(node)
        if selected is not None:
            if refresh:
                member = selected.member
                member.feed(events.RefreshWanted(at=member.now))
            selected.member.tick(0.5)

    def deliver(self, node: int, delivery: int) -> None:
        """Execute a node's request to the log, with or without a fault."""
        selected = self.nodes[node]
        if selected.member.request is not None:
            self.counts[DELIVERIES[delivery].value] += 1
        selected.member.execute_request(DELIVERIES[delivery])
        if not selected.paused:
            selected.member.receive_answer()

    def store_delayed(self, position: int) -> None:
        """Store a delayed append; at odd positions, it can be stored again."""
        if self.log.delayed:
            index = position % len(self.log.delayed)
            bodies = list(self.log.delayed[index])
            self.log.store_delayed(index)
            if position % 2:
                self.log.delayed.append(bodies)
            self.counts['delayed copies'] += 1

    def pause(self, node: int) -> None:
        """Pause a node; the log may still execute its request."""
        self.counts['pauses'] += not self.nodes[node].paused
        self.nodes[node].paused = True

    def resume(self) -> None:
        """Resume every paused node with the state that it had."""
        for node in self.nodes:
            if node.paused:
                node.paused = False
                node.member.receive_answer()

    def kill(self, node: int) -> None:
        """Replace a node by a new boot with the same name."""
        self.nodes[node] = self._boot(NODES[node])
        self.counts['kills'] += 1

    def change_outage(self, is_down: bool) -> None:
        """Begin or end an outage of the log."""
        self.counts['outages'] += is_down and not self.log.is_down
        self.log.is_down = is_down

    def retain(self) -> None:
        """Remove the records from the log that the last checkpoint covers."""
        for body in reversed(self.log.bodies[self.log.first_offset :]):
            if body['kind'] == records.Checkpoint.__name__:
                keep = self.log.next_offset - body['covers_offset']
                self.log.retain(keep)
                self.counts['retentions'] += 1
                return

    def running_owners(self) -> list[int]:
        """Return the unpaused nodes that consider themselves owners."""
        return [
            number
            for number, node in enumerate(self.nodes)
            if not node.paused and node.member.journal.is_owner
        ]

    def find_violations(self) -> list[str]:
        """Apply new records of the log and return violated invariants."""
        violations: list[str] = []
        while self.expected_state.next_offset < self.log.next_offset:
            violations += self._follow_log()
        for node in self.nodes:
            if not node.paused:
                node.acknowledge()
            violations += self._check_node(node)
        return violations + self._check_observations()

    def _format_program_id(self, program: int) -> str:
        return PROGRAM_FORMATS[program].format(self.generation)

    def _boot(self, name: str) -> faults.FaultNode:
        self.boots += 1
        member = builders.build_member(
            self.log, name, boot=f'{name}-{self.boots}'
        )
        # A small window makes a node load the partition in several reads.
        member.journal.loading.window = 5
        return faults.FaultNode(member=member, observations=self.observations)

    def _find_running(self, node: int) -> faults.FaultNode | None:
        selected = self.nodes[node]
        return None if selected.paused else selected

    def _follow_log(self) -> list[str]:
        offset = self.expected_state.next_offset
        record = records.decode_record(self.log.bodies[offset])
        before = dict(self.expected_state.programs_by_id)
        is_valid = apply_record(self.expected_state, offset, record).valid
        if not is_valid or not isinstance(
            record, records.TurnCompleted | records.Outcome
        ):
            return []
        call = (record.program, record.sequence)
        problems: list[str] = []
        if call in self.finished:
            problems.append(f'call {call} finished twice')
        self.finished[call] = record.record_id
        if isinstance(record, records.TurnCompleted):
            old = before[record.program]
            expected = f'{old.digest}/{record.program}{record.sequence}'
            if record.digest != expected:
                problems.append(f'history of {call} is not a chain')
        return problems

    def _check_node(self, node: faults.FaultNode) -> list[str]:
        journal = node.member.journal
        if not journal.loading.done:
            return []
        is_current = (
            journal.state.next_offset == self.expected_state.next_offset
        )
        if is_current and journal.state != self.expected_state:
            return [f'{journal.boot} has other tables than the log says']
        return []

    def _check_observations(self) -> list[str]:
        observations = self.observations
        problems = list(observations.wrong_answers)
        problems += [
            f'call {call} had {count} effects'
            for call, count in observations.effects_by_call.items()
            if count > 1
        ]
        problems += [
            f'attempt {attempt} was answered not_run and was sent'
            for attempt in observations.not_run_attempts
            & observations.sent_attempts
        ]
        problems += [
            f'acknowledged call {call} is not on the log'
            for call, record_id in observations.acknowledged.items()
            if self.finished.get(call) != record_id
        ]
        problems += [
            f'history of {entry.program} names record {offset}'
            for entry in self.expected_state.programs_by_id.values()
            for offset in entry.history_offsets
            if self.log.bodies[offset].get('program') != entry.program
        ]
        broken = builders_records.find_budget_violations(self.expected_state)
        problems += [f'budget of {program} is broken' for program in broken]
        return problems + self._check_spending()

    def _check_spending(self) -> list[str]:
        problems = []
        for program, budget in self.budget_by_program.items():
            spent = sum(
                units
                for name, units in self.observations.spent_by_program.items()
                if name == program or name.startswith(f'{program}.')
            )
            if spent > budget:
                problems.append(f'{program} spent {spent} of {budget}')
        return problems


def run_random_step(world: FaultWorld, rng: random.Random) -> None:
    """Run one random step; calls are more frequent than faults."""
    node = rng.randrange(len(NODES))
    owners = world.running_owners()
    if owners and rng.randrange(10) < 7:
        node = owners[0]
    program = rng.randrange(len(PROGRAM_FORMATS))
    number = rng.randrange(840)
    steps: tuple[WeightedStep, ...] = (
        (20, lambda: world.begin(node, program, number % 4, number)),
        (40, lambda: world.advance(node, number, number % 12)),
        (4, lambda: world.abandon(node, number)),
        (10, lambda: world.work(node, program, number % 4, number)),
        (25, lambda: world.tick(node, number % 2)),
        (45, lambda: world.deliver(node, 0)),
        (5, lambda: world.deliver(node, number % len(DELIVERIES))),
        (3, lambda: world.manage(node, program, number % 8)),
        (1 if owners else 9, lambda: world.claim(node)),
        (3, lambda: world.store_delayed(number)),
        (1, lambda: world.pause(node)),
        (3, world.resume),
        (0.2, lambda: world.kill(node)),
        (0.3, lambda: world.change_outage(True)),
        (4, lambda: world.change_outage(False)),
        (1, world.retain),
        (0.5, world.start_afresh),
    )
    weights = [weight for weight, _ in steps]
    rng.choices([step for _, step in steps], weights)[0]()
