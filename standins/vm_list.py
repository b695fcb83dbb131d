"""Stand-in of the VM list, whose answers lag behind changes."""

from argparse import ArgumentParser, Namespace
from typing import Any

from standins.faults import Switches
from standins.pacing import LaggedValue
from standins.web import (
    Application,
    Reply,
    Request,
    RequestError,
    get,
    json_reply,
    put,
)


class VmList:
    """The VM list, reported with a lag."""

    def __init__(self, *, switches: Switches) -> None:
        """Start with an empty list."""
        self._switches = switches
        self._vms: LaggedValue[list[Any]] = LaggedValue(initial=[])

    def list_vms(self, request: Request) -> Reply:
        """Return the list of ``lag_seconds`` ago."""
        vms = self._vms.read(lag_seconds=self._switches.lag_seconds)
        return json_reply({'vms': vms})

    def replace_vms(self, request: Request) -> Reply:
        """Set the whole list."""
        vms = request.json_object().get('vms')
        if not isinstance(vms, list):
            raise RequestError(400, 'vms: not a list')
        self._vms.record(vms)
        return json_reply({'vms': vms})


def add_options(parser: ArgumentParser) -> None:
    """Declare the options of this stand-in."""
    parser.add_argument('--lag-seconds', type=float, default=0.5)


def build_application(options: Namespace) -> Application:
    """Return the VM list that the options describe."""
    switches = Switches(lag_seconds=options.lag_seconds)
    vm_list = VmList(switches=switches)
    return Application(
        switches=switches,
        routes=(
            get('/vms', vm_list.list_vms),
            put('/vms', vm_list.replace_vms),
        ),
    )
