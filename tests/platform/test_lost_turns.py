"""Turns under way at processes that are killed, with a store and an engine."""

import os
import signal
from http import HTTPStatus
from typing import Any, Final

import gevent
import testtools

from bronzepost._internal.gateway.callers.header_names import find_header
from bronzepost._internal.gateway.callers.http_messages import HttpRequest
from tests.builders_gateway_servers import ScriptedServer
from tests.platform.builders_platform import make_configuration, make_entry
from tests.platform.gateway_vm import Vm
from tests.platform.standin_store import StandinStore
from tests.platform.test_serving import answer_turn

NUMBERS: Final = (21, 22, 23)
# With several programs, some have a home that is not killed.
PROGRAMS: Final = tuple('pqrstu')
# Turns generate 50 tokens.
TURNS: Final = 4
BUDGET: Final = 50 * TURNS
SLOW: Final = 'slow'
# The engine answers a slow turn after its VM is gone.
SLOW_SECONDS: Final = 1.5
# By then a turn is at the engine.
UNDER_WAY_SECONDS: Final = 0.5
# Longer than VMs take to read what was granted before their start.
SERVED_SECONDS: Final = 10.0
RETRY_SECONDS: Final = 0.2


def answer_late(sock: Any, request: HttpRequest) -> bool:
    """Answer a turn, a slow one only after some time."""
    request_id = find_header(request.headers, b'request-id') or b''
    if request_id.startswith(SLOW.encode()):
        gevent.sleep(SLOW_SECONDS)
    return answer_turn(sock, request)


class LostTurnTests(testtools.TestCase):
    """Guards against programs whose last turn is refused for good."""

    def setUp(self) -> None:
        """Start the stand-ins and three VMs; each program has run one turn."""
        super().setUp()
        self.store = StandinStore()
        self.addCleanup(self.store.close)
        engine = ScriptedServer(script=answer_late)
        self.addCleanup(engine.close)
        self.store.put(
            'keyed.servers', 'i-1', make_entry(address=engine.address)
        )
        self.store.put('keyed.op', 'config', make_configuration())
        self.vms_by_number: dict[int, Vm] = {}
        self.start_vms(*NUMBERS)
        self.turns_by_program = {name: [''] for name in PROGRAMS}
        self.run_turns(21)

    def start_vms(self, *numbers: int) -> None:
        """Start VMs, or start them again, and wait until all have met."""
        for number in numbers:
            self.vms_by_number[number] = Vm(
                test=self, number=number, store=self.store.address
            )
        for vm in self.vms_by_number.values():
            vm.wait_until_ready()
            vm.wait_for_vms(len(NUMBERS))

    def try_turn(self, program: str, number: int, request_id: str) -> bool:
        """Send a turn to a VM; return whether it has run to its end."""
        headers = [f'Program-Id: {program}', f'Token-Budget: {BUDGET}']
        previous = self.turns_by_program[program][-1]
        if previous:
            headers.append(f'Previous-Turn: {previous}')
        answer = self.vms_by_number[number].send_turn(request_id, *headers)
        assert answer.head is not None
        return answer.is_complete and answer.head.status == HTTPStatus.OK

    def run_turn(self, program: str, number: int) -> None:
        """Send the next turn of a program until it has run."""
        turns = self.turns_by_program[program]
        tries = 0
        while not self.try_turn(
            program, number, f'{len(turns)}-{program}-{tries}'
        ):
            tries += 1
            gevent.sleep(RETRY_SECONDS)
        turns.append(f'{len(turns)}-{program}-{tries}')

    def run_turns(self, number: int) -> None:
        """Run the next turn of each program at a VM."""
        turns = [
            gevent.spawn(self.run_turn, program, number) for program in PROGRAMS
        ]
        gevent.joinall(turns, timeout=SERVED_SECONDS)
        served = [turn.successful() for turn in turns]
        for turn in turns:
            turn.kill()
        self.assertNotIn(False, served)

    def kill(self, *numbers: int) -> None:
        """Kill VMs while the first serves a turn of each program; start them."""
        count = len(self.turns_by_program[PROGRAMS[0]])
        turns = [
            gevent.spawn(
                self.try_turn, program, numbers[0], f'{SLOW}-{program}-{count}'
            )
            for program in PROGRAMS
        ]
        gevent.sleep(UNDER_WAY_SECONDS)
        for number in numbers:
            vm = self.vms_by_number.pop(number)
            os.kill(vm.process.pid, signal.SIGKILL)
            vm.process.wait()
        gevent.killall(turns)
        self.start_vms(*numbers)

    def run_rest(self) -> None:
        """Run the turns that the budgets have left."""
        done = len(self.turns_by_program[PROGRAMS[0]]) - 1
        for turn in range(done, TURNS):
            self.run_turns(NUMBERS[turn % len(NUMBERS)])

    def test_vms_are_killed_before_the_first_event(self) -> None:
        """The home kept the reservations of killed VMs: 503 for good."""
        for number in (22, 23):
            self.kill(number)
            self.run_turns(21)
        self.run_rest()

    def test_all_vms_are_killed_twice_before_the_first_event(self) -> None:
        """The stored grants of the lost homes stayed spent: 503 for good."""
        for _ in range(2):
            self.kill(*NUMBERS)
            self.run_turns(21)
        self.run_rest()
