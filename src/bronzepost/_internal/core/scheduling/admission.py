"""Admission by slots: new programs are held back before half-done ones."""

import functools

from .actions import Admitted, RefusalReason, Refused
from .policies import Policy, ProgramAware
from .routing import list_candidates
from .tables import CallRequest, SchedulingTables, find_root

NO_SERVER_RETRY_SECONDS = 2.0


@functools.singledispatch
def admit(
    policy: Policy,
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> Admitted | Refused:
    """Return whether a call may be sent now, or when to come again.

    A baseline admits every call for which a backend server exists.
    """
    if list_candidates(tables, call):
        return Admitted()
    return Refused(
        reason=RefusalReason.NO_BACKEND_SERVER,
        retry_after_seconds=NO_SERVER_RETRY_SECONDS,
    )


def is_in_progress(tables: SchedulingTables, call: CallRequest) -> bool:
    """Return whether the call's program tree has been admitted before."""
    return find_root(call.program_id) in tables.programs_by_id


@admit.register
def _(
    policy: ProgramAware,
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> Admitted | Refused:
    return admit(Policy(), tables, call, at)
