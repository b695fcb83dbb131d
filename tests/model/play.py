"""Carry out a counterexample of the specification with the ledger itself."""

from typing import Final

from bronzepost._internal.core.ledger import calls, records
from tests import builders_ledger as builders
from tests.builders_faults import FaultNode, InFlightCall, Observations
from tests.builders_records import build_call
from tests.model.systems import TraceStep

PROGRAM: Final = 'p'


class Play:
    """One node an epoch, and the attempts of a trace at one call.

    An attempt's records are kept when it begins and reach the log when the
    trace says so. Before its intent, a node of an earlier epoch writes more
    turns than later ones have: so no rule but that of epochs refuses it.
    """

    def __init__(self, trace: list[TraceStep]) -> None:
        """Start the program under a first owner."""
        self.trace = trace
        self.claims = sum(step.name == 'claim' for step in trace)
        self.log = builders.FakeLog()
        self.seen = Observations()
        self.nodes: list[FaultNode] = []
        self.flights: dict[str, tuple[FaultNode, InFlightCall]] = {}
        self.copies: dict[str, list[builders.StoredBody]] = {}
        owner = builders.build_owner(self.log, 'starter')
        owner.submit(
            builders.build_record(
                owner,
                records.ProgramStarted,
                program=PROGRAM,
                organisation='kostiumy',
                service='pass-registry',
                budget=100,
                granted=0,
            )
        )
        owner.run()

    def run(self) -> list[str]:
        """Take every step; return which claims of safety were broken."""
        for step in self.trace:
            name, _, slot = step.name.partition(' ')
            if name == 'claim':
                self._claim()
            elif name == 'begin':
                self._begin(slot, int(step.inputs['new_epoch']))
            elif slot in self.flights:
                self._move(name, slot)
        problems = [
            f'{count} effects' for count in self.seen.effects_by_call.values()
        ]
        wrong = self.seen.not_run_attempts & self.seen.sent_attempts
        problems += [f'attempt {attempt} was sent' for attempt in wrong]
        return [problem for problem in problems if problem != '1 effects']

    def _claim(self) -> None:
        name = f'node-{len(self.nodes) + 1}'
        member = builders.build_owner(self.log, name)
        self.nodes.append(FaultNode(member=member, observations=self.seen))

    def _begin(self, slot: str, epoch: int) -> None:
        node = self.nodes[epoch - 1]
        member = node.member
        for _ in range(2 * (self.claims - epoch)):
            member.submit(builders.build_turn(member, PROGRAM, spent=0))
        call = build_call(PROGRAM, key='k', worst_case=0, non_idempotent=True)
        decision = node.begin(call, is_model_call=False)
        if not isinstance(decision, calls.Proceed):
            return
        self.flights[slot] = (node, node.in_flight_calls_by_program[PROGRAM])
        member.tick()
        stored = getattr(member.request, 'records', ())
        self.copies[slot] = [builders.to_wire(record) for record in stored]
        member.execute_request(builders.Delivery.LOST_REQUEST)

    def _move(self, name: str, slot: str) -> None:
        node, flight = self.flights[slot]
        if name == 'store_intent':
            self.log.append(self.copies[slot])
        elif name in {'withdraw', 'give_up'}:
            node.withdraw(PROGRAM)
        elif name == 'close':
            self._close(node, flight)
        elif name != 'crash':
            self._learn(node)
        if name == 'send':
            node.send(PROGRAM, share=0)

    def _close(self, node: FaultNode, flight: InFlightCall) -> None:
        if not flight.sent:
            node = self.nodes[-1]
        self._learn(node)
        if flight.sent:
            node.finish(PROGRAM)
        else:
            node.abandon(PROGRAM)
        node.member.run()

    def _learn(self, node: FaultNode) -> None:
        """Let a node have its answer and read what is on the log."""
        node.member.receive_answer()
        node.member.refresh()
