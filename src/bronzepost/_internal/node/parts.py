"""The parts of a node that calls go through."""

import dataclasses
from collections.abc import Callable
from typing import Any

from bronzepost._internal.node.call_settings import SettingLookup
from bronzepost._internal.node.chat_calls import ChatCalls
from bronzepost._internal.node.forwarding import Forwarder
from bronzepost._internal.node.partitions import Partitions
from bronzepost._internal.node.program_calls import ProgramCalls
from bronzepost._internal.node.program_ends import ProgramEnds
from bronzepost._internal.node.refusals import (
    refuse_model,
    refuse_no_server,
)
from bronzepost._internal.node.service_calls import ServiceCalls
from bronzepost._internal.telemetry.spans import Tracer

ModelAndService = tuple[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallParts:
    """What the caller's routes need of the node.

    ``list_endpoints`` takes a program, which may be empty. ``list_models``
    returns pairs of model and service.
    """

    organisation: str
    node: str
    boot: str
    lookup: SettingLookup
    tracer: Tracer
    partitions: Partitions
    programs: ProgramCalls
    chats: ChatCalls
    services: ServiceCalls
    ends: ProgramEnds
    forwarder: Forwarder
    list_endpoints: Callable[[str], Any]
    list_models: Callable[[], list[ModelAndService]]

    def find_service(self, model: str) -> str:
        """Return the service whose runners have a model.

        Raises:
            RefusedError: if none has it, or if no runner is known yet.
        """
        services_by_model = dict(self.list_models())
        service = services_by_model.get(model)
        if service is not None:
            return service
        if services_by_model:
            raise refuse_model(model)
        raise refuse_no_server('', model)
