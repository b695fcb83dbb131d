"""Tests of a stop in which no other VM takes requests."""

import signal
from typing import Final

import gevent
import testtools

from tests.builders_gateway_servers import ScriptedServer
from tests.platform.builders_platform import make_configuration, make_entry
from tests.platform.gateway_vm import Vm
from tests.platform.standin_store import StandinStore
from tests.platform.test_serving import answer_turn

# A stopping VM accepts connections for 3 s, and has told the others by then.
_AFTER_SIGNAL_SECONDS: Final = 0.3


class LastVmTests(testtools.TestCase):
    """One VM, which stops, or several that stop at the same time."""

    def setUp(self) -> None:
        """Start the store and an engine."""
        super().setUp()
        self.store = StandinStore()
        self.addCleanup(self.store.close)
        engine = ScriptedServer(script=answer_turn)
        self.addCleanup(engine.close)
        entry = make_entry(address=engine.address)
        self.store.put('keyed.servers', 'i-1', entry)
        self.store.put('keyed.op', 'config', make_configuration())

    def check_stop(self, *numbers: int) -> None:
        """Stop VMs and check that each answers a turn that comes then."""
        vms = [
            Vm(test=self, number=number, store=self.store.address)
            for number in numbers
        ]
        for vm in vms:
            vm.wait_until_ready()
            vm.wait_for_vms(len(vms))
        for vm in vms:
            vm.process.send_signal(signal.SIGTERM)
        gevent.sleep(_AFTER_SIGNAL_SECONDS)
        for vm in vms:
            answer = vm.send_turn('one', 'Program-Id: p', 'Token-Budget: 1000')
            assert answer.head is not None
            self.assertIn(answer.head.status, {200, 503})

    def test_turn_at_the_only_vm_is_answered(self) -> None:
        """Guards against an error where no VM can be the home of a program."""
        self.check_stop(21)

    def test_turns_are_answered_while_all_vms_stop(self) -> None:
        """Guards against the same where all VMs get the signal at once."""
        self.check_stop(21, 22)
