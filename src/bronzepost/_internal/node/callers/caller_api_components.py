"""The components of a node that the caller API uses."""

import dataclasses
from collections.abc import Callable
from typing import Any

from bronzepost._internal.node.callers.call_settings import SettingLookup
from bronzepost._internal.node.callers.chat_calls import ChatCalls
from bronzepost._internal.node.callers.refusals import (
    refuse_no_server,
    refuse_unknown_model,
)
from bronzepost._internal.node.engines.forwarding import Forwarder
from bronzepost._internal.node.engines.service_calls import ServiceCalls
from bronzepost._internal.node.ledger.partitions import Partitions
from bronzepost._internal.node.programs.program_calls import ProgramCalls
from bronzepost._internal.node.programs.program_ends import ProgramEnds
from bronzepost._internal.telemetry.spans import Tracer

ModelAndService = tuple[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerApiComponents:
    """The components that the handlers of the caller port use.

    ``list_endpoints`` takes the name of a program, or an empty string for a
    caller without a program. ``list_models`` returns pairs of model and
    service.
    """

    organisation: str
    node: str
    boot: str
    lookup_setting: SettingLookup
    tracer: Tracer
    partitions: Partitions
    program_calls: ProgramCalls
    chat_calls: ChatCalls
    service_calls: ServiceCalls
    program_ends: ProgramEnds
    forwarder: Forwarder
    list_endpoints: Callable[[str], Any]
    list_models: Callable[[], list[ModelAndService]]

    def find_service(self, model: str) -> str:
        """Return the service whose backend servers serve a model.

        Raises:
            RefusedError: if none serves it, or no server is known yet.
        """
        services_by_model = dict(self.list_models())
        service = services_by_model.get(model)
        if service is not None:
            return service
        if services_by_model:
            raise refuse_unknown_model(model)
        raise refuse_no_server('', model)
