"""Replay of a counterexample of the specification with the real ledger."""

from typing import Final

from bronzepost._internal.core.ledger import calls, records
from tests import builders_ledger as builders
from tests.builders_faults import FaultNode, InFlightCall, Observations
from tests.builders_records import build_call
from tests.model.systems import TraceStep

PROGRAM: Final = 'p'


class TraceReplay:
    """One node for each epoch, and the attempts of a trace at one call.

    The records of an attempt are captured when it begins and stored on the
    log in the steps of the trace. Before its intent, a node of an earlier
    epoch writes more turns than later nodes, so that only the check of the
    epoch refuses its intent.
    """

    def __init__(self, trace: list[TraceStep]) -> None:
        """Start the program with a first owner."""
        self.trace = trace
        self.claims = sum(step.name == 'claim' for step in trace)
        self.log = builders.FakeLog()
        self.observations = Observations()
        self.nodes: list[FaultNode] = []
        self.calls_by_slot: dict[str, tuple[FaultNode, InFlightCall]] = {}
        self.stored_records_by_slot: dict[str, list[builders.StoredBody]] = {}
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
        """Run every step and return the violated safety claims."""
        for step in self.trace:
            name, _, slot = step.name.partition(' ')
            if name == 'claim':
                self._claim()
            elif name == 'begin':
                self._begin(slot, int(step.inputs['new_epoch']))
            elif slot in self.calls_by_slot:
                self._run_step(name, slot)
        problems = [
            f'{count} effects'
            for count in self.observations.effects_by_call.values()
        ]
        wrong = (
            self.observations.not_run_attempts & self.observations.sent_attempts
        )
        problems += [f'attempt {attempt} was sent' for attempt in wrong]
        return [problem for problem in problems if problem != '1 effects']

    def _claim(self) -> None:
        name = f'node-{len(self.nodes) + 1}'
        member = builders.build_owner(self.log, name)
        self.nodes.append(
            FaultNode(member=member, observations=self.observations)
        )

    def _begin(self, slot: str, epoch: int) -> None:
        node = self.nodes[epoch - 1]
        member = node.member
        for _ in range(2 * (self.claims - epoch)):
            member.submit(builders.build_turn(member, PROGRAM, spent=0))
        call = build_call(PROGRAM, key='k', worst_case=0, non_idempotent=True)
        decision = node.begin(call, is_model_call=False)
        if not isinstance(decision, calls.Proceed):
            return
        self.calls_by_slot[slot] = (
            node,
            node.in_flight_calls_by_program[PROGRAM],
        )
        member.tick()
        stored = getattr(member.request, 'records', ())
        self.stored_records_by_slot[slot] = [
            builders.to_wire(record) for record in stored
        ]
        member.execute_request(builders.Delivery.LOST_REQUEST)

    def _run_step(self, name: str, slot: str) -> None:
        node, in_flight_call = self.calls_by_slot[slot]
        if name == 'store_intent':
            self.log.append(self.stored_records_by_slot[slot])
        elif name in {'withdraw', 'give_up'}:
            node.withdraw(PROGRAM)
        elif name == 'close':
            self._close(node, in_flight_call)
        elif name != 'crash':
            self._receive_and_refresh(node)
        if name == 'send':
            node.send(PROGRAM, share=0)

    def _close(self, node: FaultNode, in_flight_call: InFlightCall) -> None:
        if not in_flight_call.sent:
            node = self.nodes[-1]
        self._receive_and_refresh(node)
        if in_flight_call.sent:
            node.finish(PROGRAM)
        else:
            node.abandon(PROGRAM)
        node.member.run()

    def _receive_and_refresh(self, node: FaultNode) -> None:
        """Deliver the pending answer to a node and let it read the log."""
        node.member.receive_answer()
        node.member.refresh()
