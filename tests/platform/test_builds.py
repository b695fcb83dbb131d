"""Tests of VMs of an earlier build and of this one, side by side.

Machines are replaced one after the other, so both serve the same programs for a time.
"""

import json
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import gevent
import testtools
from testtools.matchers import HasLength

from bronzepost._internal.gateway.peers.messages import GatewayCodec
from bronzepost._internal.node.peers.peers import PeerTransport
from tests.builders_builds import (
    EARLIER_BUILDS,
    ROOT,
    make_folder,
    unpack_build,
)
from tests.builders_gateway_servers import ScriptedServer
from tests.platform.builders_platform import (
    TOKENS_PER_EVENT,
    make_configuration,
    make_entry,
)
from tests.platform.builders_streams import kill
from tests.platform.gateway_vm import NETWORK, Vm
from tests.platform.standin_store import StandinStore
from tests.platform.test_serving import EVENTS_PER_TURN, answer_turn

OK = 200
BUDGET = 600
TURN_TOKENS = EVENTS_PER_TURN * TOKENS_PER_EVENT
# VMs of the earlier build and of this one.
NUMBERS = (21, 22, 23, 24)
# The place of a VM of this build among them.
NEW_BUILD = 1
OUTAGE_SECONDS = 3.0
# After that a VM that was killed is known to be dead.
DEATH_SECONDS = 4.0
GREENLET_FAILED = 1008
PEER_REJECTED = 3008
PEER_MESSAGE_DROPPED = 3011
PEER_KIND_UNKNOWN = 8069
RECORD_UNREADABLE = 2016
MEMBER_DEAD = 'member_dead'
# The first port of ``portRange`` in the settings.
PEER_PORT = 7380
UNKNOWN_COUNT = 20
PAUSE_SECONDS = 0.1
FAULTS = frozenset((
    GREENLET_FAILED,
    PEER_REJECTED,
    PEER_MESSAGE_DROPPED,
    PEER_KIND_UNKNOWN,
    RECORD_UNREADABLE,
))


class BuildCase(testtools.TestCase):
    """Two VMs of an earlier build and two of this one."""

    commit = EARLIER_BUILDS[-1]

    def setUp(self) -> None:
        """Start the stand-ins and the VMs."""
        super().setUp()
        self.store = StandinStore()
        self.addCleanup(self.store.close)
        self.engine = ScriptedServer(script=answer_turn)
        self.addCleanup(self.engine.close)
        entry = make_entry(address=self.engine.address)
        self.store.put('keyed.servers', 'i-1', entry)
        self.store.put('keyed.op', 'config', make_configuration())
        self.logs = make_folder(self)
        earlier = unpack_build(self, self.commit)
        self.roots = (earlier, ROOT, earlier, ROOT)
        self.turns: list[str] = []
        self.vms = self.start_vms()

    def start_vms(self) -> list[Vm]:
        """Start all VMs; return once they know each other."""
        vms = [
            self.start_vm(number, root)
            for number, root in zip(NUMBERS, self.roots, strict=True)
        ]
        self.wait_for_vms(vms)
        return vms

    def start_vm(self, number: int, root: Path) -> Vm:
        return Vm(
            test=self,
            number=number,
            store=self.store.address,
            root=root,
            log_path=self.logs / f'{number}.log',
        )

    def wait_for_vms(self, vms: Sequence[Vm]) -> None:
        for vm in vms:
            vm.wait_until_ready()
        for vm in vms:
            vm.wait_for_vms(len(vms))

    def run_turns(self, program: str, count: int, *, budget: int) -> list[int]:
        """Run turns of a program on each VM in turn; return the statuses.

        Each turn continues the last one that was answered whole.
        """
        statuses = []
        for _ in range(count):
            number = len(self.turns)
            vm = self.vms[number % len(self.vms)]
            headers = [f'Program-Id: {program}', f'Token-Budget: {budget}']
            whole = [turn for turn in self.turns if turn.endswith('whole')]
            if whole:
                headers.append(f'Previous-Turn: {whole[-1]}')
            request_id = f'{number:03}-whole'
            answer = vm.send_turn(request_id, *headers)
            status = answer.head.status if answer.head else 0
            is_whole = status == OK and bool(answer.is_complete)
            self.turns.append(request_id if is_whole else 'broken')
            statuses.append(status)
        return statuses

    def list_lines(self) -> list[dict[str, Any]]:
        """Return the lines of all logs, those of earlier builds too."""
        lines = []
        for path in sorted(self.logs.iterdir()):
            for text in path.read_text(encoding='utf-8').splitlines():
                is_json = text.startswith('{')
                lines.append(
                    json.loads(text) if is_json else {'traceback': text}
                )
        return lines

    def list_faults(self) -> list[dict[str, Any]]:
        """Return the lines of exceptions and of messages not understood."""
        return [
            line
            for line in self.list_lines()
            if 'traceback' in line or line.get('number') in FAULTS
        ]

    def list_dead(self) -> set[str]:
        """Return the members that any VM has declared dead."""
        return {
            str(line['member'])
            for line in self.list_lines()
            if line.get('event') == MEMBER_DEAD
        }


class TestTwoBuilds(BuildCase):
    """The build before the protocol version was stated, and this one."""

    def test_history_and_budget_cross_builds(self) -> None:
        """Guard against turns and accounts that the other build cannot read."""
        statuses = self.run_turns('p', 8, budget=BUDGET)
        self.assertEqual({OK}, set(statuses))
        # Each turn has the inputs and answers of all turns before it.
        last = self.engine.requests[-1].body
        self.assertThat(last.split(b'e1\ne2\n'), HasLength(8))
        statuses = self.run_turns('p', 8, budget=BUDGET)
        served = statuses.count(OK) + 8
        self.assertLessEqual(served * TURN_TOKENS, BUDGET)
        self.assertEqual(16 - served, statuses.count(402))
        self.assertEqual([], self.list_faults())
        self.assertEqual(set(), self.list_dead())

    def test_losses(self) -> None:
        """Guard against an upgrade during which VMs or the store are lost."""
        self.assertEqual({OK}, set(self.run_turns('p', 4, budget=BUDGET)))
        kill(self.vms[:1])
        gevent.sleep(DEATH_SECONDS)
        lost = self.vms.pop(0)
        self.assertEqual({OK}, set(self.run_turns('p', 2, budget=BUDGET)))
        # The machine is replaced by one of this build.
        self.vms.insert(0, self.start_vm(NUMBERS[0], ROOT))
        self.wait_for_vms(self.vms)
        self.assertIsNotNone(lost.process.returncode)
        self.assertEqual({f'edge-{NUMBERS[0]}'}, self.list_dead())
        kill(self.vms)
        self.vms = self.start_vms()
        self.assertEqual({OK}, set(self.run_turns('p', 4, budget=BUDGET)))
        self.assertEqual([], self.list_faults())

    def test_vm_starts_in_an_outage(self) -> None:
        """Guard against a snapshot that the other build cannot read.

        A VM of each build starts while only VMs of the other one have routes. One
        of this build serves once the store is back: the routes of an earlier
        build have no workspaces, and would let callers in without a key.
        """
        for number, other in ((0, 1), (1, 0)):
            self.store.is_down = True
            kill(self.vms)
            self.store.is_down = False
            others = [
                self.start_vm(NUMBERS[index], self.roots[index])
                for index in (other, other + 2)
            ]
            self.wait_for_vms(others)
            self.store.is_down = True
            started = self.start_vm(NUMBERS[number], self.roots[number])
            if number == NEW_BUILD:
                gevent.sleep(OUTAGE_SECONDS)
                status, _ = started.fetch_page(started.readiness, '/api/readyz')
                self.assertEqual(503, status)
                self.store.is_down = False
            self.wait_for_vms([*others, started])
            self.vms = [*others, started]
        self.store.is_down = False
        self.assertEqual([], self.list_faults())

    def test_outage_of_the_store(self) -> None:
        """Guard against provisional allowances that only one build counts."""
        self.assertEqual({OK}, set(self.run_turns('p', 2, budget=BUDGET)))
        self.store.is_down = True
        gevent.sleep(OUTAGE_SECONDS)
        self.run_turns('p', 4, budget=BUDGET)
        self.store.is_down = False
        gevent.sleep(OUTAGE_SECONDS)
        self.run_turns('p', 16, budget=BUDGET)
        served = len(self.engine.requests)
        self.assertLessEqual(served * TURN_TOKENS, BUDGET + TURN_TOKENS)
        self.assertEqual(set(), self.list_dead())
        self.assertEqual([], self.list_faults())

    def test_unknown_kind_of_message(self) -> None:
        """Guard against a newer VM that others take for dead.

        Also against a log line for each message in this build.
        """
        address = f'{NETWORK}.99:{PEER_PORT}'
        codec = GatewayCodec(
            name='edge-99', peer_address=address, boot=1, keys=[]
        )
        receive: Any = list
        unknown: Any = {'type': 'of_a_newer_build', 'call_id': 1}
        with PeerTransport(codec=codec, receive=receive) as transport:
            for _ in range(UNKNOWN_COUNT):
                for number in NUMBERS:
                    transport.send(f'{NETWORK}.{number}:{PEER_PORT}', unknown)
                gevent.sleep(PAUSE_SECONDS)
        self.assertEqual({OK}, set(self.run_turns('p', 4, budget=BUDGET)))
        self.assertEqual(set(), self.list_dead())
        faults = Counter(line.get('number') for line in self.list_faults())
        earlier = self.roots.count(self.roots[0])
        self.assertEqual(
            Counter({
                PEER_KIND_UNKNOWN: len(NUMBERS) - earlier,
                PEER_REJECTED: earlier * UNKNOWN_COUNT,
            }),
            faults,
        )


class TestBuildBeforeTunnels(TestTwoBuilds):
    """The same with a build from before VMs relayed for each other."""

    commit = EARLIER_BUILDS[0]
