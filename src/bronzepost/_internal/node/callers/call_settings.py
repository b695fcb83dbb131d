"""The settings of a call, from its own fields and the settings tree."""

import dataclasses
from collections.abc import Callable
from typing import Any, Final

from bronzepost._internal.core.scheduling.policies import Policy, make_policy
from bronzepost._internal.node.callers.caller_request import CallerFields

# Arguments: organisation, service, program and name of the setting.
SettingLookup = Callable[[str, str, str, str], Any]

_ROOT_SEPARATOR: Final = '.'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallSettings:
    """The settings that apply to a call; budget and price are in units."""

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


def resolve_settings(
    fields: CallerFields,
    lookup: SettingLookup,
    *,
    organisation: str,
    service: str,
) -> CallSettings:
    """Return the settings of a call.

    Fields of the call can shorten the deadline and replace the budget and
    the importance. They cannot clear a setting that makes calls
    non-idempotent.
    """
    root = fields.program.partition(_ROOT_SEPARATOR)[0]
    call_organisation = fields.organisation or organisation

    def setting(name: str) -> Any:  # noqa: WPS430
        return lookup(call_organisation, service, root, name)

    deadline = setting('deadline_seconds')
    return CallSettings(
        organisation=call_organisation,
        service=service,
        budget=_choose_value(fields.budget, setting('budget')),
        importance=_choose_value(fields.importance, setting('importance')),
        turn_limit=setting('turn_limit'),
        deadline_seconds=min(deadline, fields.deadline_seconds or deadline),
        call_price=setting('call_price'),
        bytes_per_token=setting('bytes_per_token'),
        non_idempotent=fields.non_idempotent or setting('non_idempotent'),
        policy=make_policy(
            setting('policy'), cache_weight=setting('cache_weight')
        ),
    )


def _choose_value(field: int | None, setting: int) -> int:
    return setting if field is None else field
