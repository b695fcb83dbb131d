"""Several nodes, one log and faults between them; and what must hold.

Every step takes small numbers, so that a state machine of hypothesis and a
seeded generator can both choose them.
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
SHAPES: Final = ('p{0}', 'p{0}.a', 'p{0}.a.x', 'q{0}')
BUDGETS: Final = (100, 45, 20, 30)
DELIVERIES: Final = tuple(Delivery)
KEYS: Final = ('k1', 'k2', 'k3')

WeightedStep = tuple[float, Callable[[], None]]


class FaultWorld:
    """Nodes that share one partition, and the faults that befall them."""

    def __init__(self) -> None:
        """Start every node; none owns the partition."""
        self.log = builders.FakeLog(read_limit=8)
        self.seen = faults.Observations()
        self.truth = PartitionState()
        self.boots = 0
        self.generation = 0
        self.nodes = [self._boot(name) for name in NODES]
        self.counts: Counter[str] = Counter()
        self.finished: dict[tuple[str, int], str] = {}
        self.budget_by_program: dict[str, int] = {}

    def begin(self, node: int, program: int, kind: int, amount: int) -> None:
        """Let a caller make an attempt; `kind` chooses the sort of call."""
        chosen = self._running(node)
        if chosen is None:
            return
        name = self._name(program)
        non_idempotent = bool(kind & 1)
        call = builders_records.build_call(
            name,
            worst_case=1 + amount % 12,
            budget=self.budget_by_program.setdefault(name, BUDGETS[program]),
            key=KEYS[amount % len(KEYS)] if non_idempotent else '',
            non_idempotent=non_idempotent,
        )
        chosen.begin(call, is_model_call=bool(kind & 2))
        self.counts['calls'] += 1

    def advance(self, node: int, position: int, step: int) -> None:
        """Move a call on by one step: send, finish or withdraw."""
        chosen = self._running(node)
        if chosen is None or not chosen.flights_by_program:
            return
        names = sorted(chosen.flights_by_program)
        name = names[position % len(names)]
        if step < 6:
            chosen.send(name, share=step * 20)
        elif step < 11:
            chosen.finish(name)
        else:
            chosen.withdraw(name)
            self.counts['withdrawals'] += 1

    def abandon(self, node: int, position: int) -> None:
        """Let a node go on without the outcome of an announced call."""
        chosen = self._running(node)
        names = sorted(self.truth.open_intents_by_program)
        if chosen is not None and names:
            chosen.abandon(names[position % len(names)])

    def work(self, node: int, program: int, kind: int, amount: int) -> None:
        """Run one call without a fault if the node is free."""
        self.begin(node, program, kind, amount)
        for _ in range(2):
            self.tick(node, 0)
            self.deliver(node, 0)
            self.deliver(node, 0)
            self.advance(node, 0, amount % 6)
            self.advance(node, 0, 6)

    def manage(self, node: int, program: int, step: int) -> None:
        """Write a checkpoint or a history, release, or end a program."""
        chosen = self._running(node)
        if chosen is None or not chosen.member.journal.is_owner:
            return
        if step < 3:
            journal = chosen.member.journal
            chosen.member.submit(build_checkpoint(journal))
        elif step < 6:
            chosen.release(whole=step == 5)
            self.counts['releases'] += 1
        elif step == 6:
            chosen.repeat_history(self._name(program))
            self.counts['history snapshots'] += 1
        else:
            chosen.end(self._name(program))

    def start_afresh(self) -> None:
        """Let callers start other programs."""
        self.generation += 1

    def claim(self, node: int) -> None:
        """Let a node that does not own the partition want it."""
        chosen = self._running(node)
        if chosen is not None and not chosen.member.journal.is_owner:
            member = chosen.member
            member.feed(events.OwnershipWanted(at=member.now))
            self.counts['claims'] += 1

    def tick(self, node: int, refresh: int) -> None:
        """Let time pass for a node."""
        chosen = self._running(node)
        if chosen is not None:
            if refresh:
                member = chosen.member
                member.feed(events.RefreshWanted(at=member.now))
            chosen.member.tick(0.5)

    def deliver(self, node: int, delivery: int) -> None:
        """Carry out a node's request to the log in some way."""
        chosen = self.nodes[node]
        if chosen.member.request is not None:
            self.counts[DELIVERIES[delivery].value] += 1
        chosen.member.carry_out(DELIVERIES[delivery])
        if not chosen.paused:
            chosen.member.receive()

    def store_delayed(self, position: int) -> None:
        """Let the log store an append of earlier, once or a second time."""
        if self.log.delayed:
            index = position % len(self.log.delayed)
            bodies = list(self.log.delayed[index])
            self.log.store_delayed(index)
            if position % 2:
                self.log.delayed.append(bodies)
            self.counts['delayed copies'] += 1

    def pause(self, node: int) -> None:
        """Freeze a node; the log may still answer its request."""
        self.counts['pauses'] += not self.nodes[node].paused
        self.nodes[node].paused = True

    def resume(self) -> None:
        """Let every node go on with what it knew when it was frozen."""
        for node in self.nodes:
            if node.paused:
                node.paused = False
                node.member.receive()

    def kill(self, node: int) -> None:
        """Replace a node by a new boot with the same name."""
        self.nodes[node] = self._boot(NODES[node])
        self.counts['kills'] += 1

    def change_outage(self, is_down: bool) -> None:
        """Begin or end an outage of the log."""
        self.counts['outages'] += is_down and not self.log.is_down
        self.log.is_down = is_down

    def retain(self) -> None:
        """Let records age out that the last checkpoint makes needless."""
        for body in reversed(self.log.bodies[self.log.first_offset :]):
            if body['kind'] == records.Checkpoint.__name__:
                keep = self.log.next_offset - body['covers_offset']
                self.log.retain(keep)
                self.counts['retentions'] += 1
                return

    def running_owners(self) -> list[int]:
        """Return the nodes that are not frozen and believe to be owners."""
        return [
            number
            for number, node in enumerate(self.nodes)
            if not node.paused and node.member.journal.is_owner
        ]

    def find_violations(self) -> list[str]:
        """Follow the log and return what should never be seen."""
        violations: list[str] = []
        while self.truth.next_offset < self.log.next_offset:
            violations += self._follow_log()
        for node in self.nodes:
            if not node.paused:
                node.acknowledge()
            violations += self._check_node(node)
        return violations + self._check_observations()

    def _name(self, program: int) -> str:
        return SHAPES[program].format(self.generation)

    def _boot(self, name: str) -> faults.FaultNode:
        self.boots += 1
        member = builders.build_member(
            self.log, name, boot=f'{name}-{self.boots}'
        )
        # A small window makes a node read in several steps.
        member.journal.loading.window = 5
        return faults.FaultNode(member=member, seen=self.seen)

    def _running(self, node: int) -> faults.FaultNode | None:
        chosen = self.nodes[node]
        return None if chosen.paused else chosen

    def _follow_log(self) -> list[str]:
        offset = self.truth.next_offset
        record = records.decode_record(self.log.bodies[offset])
        before = dict(self.truth.programs_by_id)
        is_valid = apply_record(self.truth, offset, record).valid
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
        is_current = journal.state.next_offset == self.truth.next_offset
        if is_current and journal.state != self.truth:
            return [f'{journal.boot} has other tables than the log says']
        return []

    def _check_observations(self) -> list[str]:
        seen = self.seen
        problems = list(seen.wrong_answers)
        problems += [
            f'call {call} had {count} effects'
            for call, count in seen.effects_by_call.items()
            if count > 1
        ]
        problems += [
            f'attempt {attempt} was answered not_run and was sent'
            for attempt in seen.not_run_attempts & seen.sent_attempts
        ]
        problems += [
            f'acknowledged call {call} is not on the log'
            for call, record_id in seen.acknowledged.items()
            if self.finished.get(call) != record_id
        ]
        problems += [
            f'history of {entry.program} names record {offset}'
            for entry in self.truth.programs_by_id.values()
            for offset in entry.history_offsets
            if self.log.bodies[offset].get('program') != entry.program
        ]
        broken = builders_records.find_broken_budget(self.truth)
        problems += [f'budget of {program} is broken' for program in broken]
        return problems + self._check_spending()

    def _check_spending(self) -> list[str]:
        problems = []
        for program, budget in self.budget_by_program.items():
            spent = sum(
                units
                for name, units in self.seen.spent_by_program.items()
                if name == program or name.startswith(f'{program}.')
            )
            if spent > budget:
                problems.append(f'{program} spent {spent} of {budget}')
        return problems


def take_random_step(world: FaultWorld, chance: random.Random) -> None:
    """Take one step; work is more frequent than faults."""
    node = chance.randrange(len(NODES))
    owners = world.running_owners()
    if owners and chance.randrange(10) < 7:
        node = owners[0]
    program = chance.randrange(len(SHAPES))
    number = chance.randrange(840)
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
    chance.choices([step for _, step in steps], weights)[0]()
