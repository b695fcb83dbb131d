"""What the ledger has to know of a call of an owned program."""

from bronzepost._internal.core.ledger.calls import CallRequest
from bronzepost._internal.node.call_defaults import CallTerms
from bronzepost._internal.node.caller_request import CallerFields


def build_request(
    fields: CallerFields, terms: CallTerms, *, worst_case: int, path: str = ''
) -> CallRequest:
    """Return the ledger's view of a call; ``worst_case`` is in units."""
    return CallRequest(
        program=fields.program,
        sequence=fields.sequence,
        key=fields.key,
        organisation=terms.organisation,
        service=terms.service,
        worst_case=worst_case,
        budget=terms.budget,
        importance=terms.importance,
        turn_limit=terms.turn_limit,
        path=path,
        non_idempotent=terms.non_idempotent,
    )
