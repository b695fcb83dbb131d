"""Build the ledger's request for a call of an owned program."""

from bronzepost._internal.core.ledger.calls import CallRequest
from bronzepost._internal.node.callers.call_settings import CallSettings
from bronzepost._internal.node.callers.caller_request import CallerFields


def build_ledger_request(
    fields: CallerFields,
    settings: CallSettings,
    *,
    worst_case: int,
    path: str = '',
) -> CallRequest:
    """Return the request; one run can spend ``worst_case`` units at most."""
    return CallRequest(
        program=fields.program,
        sequence=fields.sequence,
        key=fields.key,
        organisation=settings.organisation,
        service=settings.service,
        worst_case=worst_case,
        budget=settings.budget,
        importance=settings.importance,
        turn_limit=settings.turn_limit,
        path=path,
        non_idempotent=settings.non_idempotent,
    )
