"""What a call may do, from its own fields and from the settings tree."""

import dataclasses
from collections.abc import Callable
from typing import Any, Final

from bronzepost._internal.core.scheduling.policies import Policy, make_policy
from bronzepost._internal.node.caller_request import CallerFields

# Looks a setting up for an organisation, a service, a program and a name.
SettingLookup = Callable[[str, str, str, str], Any]

_ROOT_SEPARATOR: Final = '.'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallTerms:
    """The terms on which a call runs; amounts in units and seconds."""

    organisation: str
    service: str
    budget: int
    importance: int
    turn_limit: int
    deadline_seconds: float
    call_price: int
    bytes_per_token: float
    non_idempotent: bool
    policy: Policy


def find_terms(
    fields: CallerFields,
    lookup: SettingLookup,
    *,
    organisation: str,
    service: str,
) -> CallTerms:
    """Return the terms of a call.

    A field of the call may lower the deadline and set budget and importance;
    a setting that marks calls as non-idempotent can't be taken back by one.
    """
    root = fields.program.partition(_ROOT_SEPARATOR)[0]
    owner = fields.organisation or organisation

    def setting(name: str) -> Any:  # noqa: WPS430
        return lookup(owner, service, root, name)

    deadline = setting('deadline_seconds')
    return CallTerms(
        organisation=owner,
        service=service,
        budget=_pick(fields.budget, setting('budget')),
        importance=_pick(fields.importance, setting('importance')),
        turn_limit=setting('turn_limit'),
        deadline_seconds=min(deadline, fields.deadline_seconds or deadline),
        call_price=setting('call_price'),
        bytes_per_token=setting('bytes_per_token'),
        non_idempotent=fields.non_idempotent or setting('non_idempotent'),
        policy=make_policy(
            setting('policy'), cache_weight=setting('cache_weight')
        ),
    )


def _pick(field: int | None, setting: int) -> int:
    return setting if field is None else field
