"""Refusals of calls that several modules of the node return."""

from http import HTTPStatus
from typing import Final

from bronzepost._internal.core.configuration import ChangeRejected
from bronzepost._internal.core.ledger.calls import Refuse
from bronzepost._internal.core.ledger.state import ProgramEntry
from bronzepost._internal.core.scheduling.actions import RefusalReason, Refused
from bronzepost._internal.exceptions import (
    BronzepostError,
    RefusedError,
    RunState,
)

DEFAULT_RETRY_AFTER_SECONDS: Final = 1.0
OWNER_RETRY_AFTER_SECONDS: Final = 0.5

DEADLINE_CODE: Final = 'deadline'


def refuse_by_ledger(decision: Refuse) -> RefusedError:
    """Return the refusal that the ledger has decided."""
    return RefusedError(
        decision.message,
        code=decision.code,
        status=decision.status,
        step='begin call',
        run=decision.run,
        retry_after_seconds=decision.retry_after_seconds,
    )


def refuse_no_server(service: str, model: str) -> RefusedError:
    """Return the refusal of a call that no backend server can run."""
    return RefusedError(
        f'no runner of service {service!r} with model {model!r}',
        code='no_backend_server',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='choose runner',
        retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS,
    )


def refuse_failed_call(error: BronzepostError, run: RunState) -> RefusedError:
    """Return the refusal of a call whose backend server failed."""
    retry_after = (
        DEFAULT_RETRY_AFTER_SECONDS if run is RunState.NOT_RUN else None
    )
    return RefusedError(
        error.message,
        code='backend_server_failed',
        status=HTTPStatus.BAD_GATEWAY,
        step=error.step,
        peer=error.peer,
        run=run,
        retry_after_seconds=retry_after,
    )


def refuse_unknown_outcome(program: str, sequence: int) -> RefusedError:
    """Return the refusal of a call that has an intent but no outcome.

    Whether it ran is not known, so it must not be sent again.
    """
    return RefusedError(
        f'call {sequence} of program {program} was announced and has no '
        'outcome: it may have run and is not sent again',
        code='outcome_unknown',
        status=HTTPStatus.CONFLICT,
        step='begin call',
        run=RunState.UNKNOWN,
    )


def refuse_not_durable(reason: str, run: RunState) -> RefusedError:
    """Return the refusal of a call whose records are not on the log."""
    return RefusedError(
        f'the records of the call are not on the log: {reason}',
        code='log_unavailable',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='wait for log',
        run=run,
        retry_after_seconds=OWNER_RETRY_AFTER_SECONDS,
    )


def refuse_no_owner(partition: int, reason: str) -> RefusedError:
    """Return the refusal of a call whose partition has no reachable owner."""
    return RefusedError(
        f'partition {partition} has no owner that answers: {reason}',
        code='owner_unavailable',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='find owner',
        retry_after_seconds=OWNER_RETRY_AFTER_SECONDS,
    )


def refuse_deadline_passed(step: str, run: RunState) -> RefusedError:
    """Return the refusal of a call whose deadline has passed."""
    return RefusedError(
        'the deadline of the call has passed',
        code=DEADLINE_CODE,
        status=HTTPStatus.GATEWAY_TIMEOUT,
        step=step,
        run=run,
    )


def refuse_admission(
    verdict: Refused, service: str, model: str
) -> RefusedError:
    """Return the refusal of a call that the scheduler does not admit."""
    if verdict.reason is RefusalReason.NO_BACKEND_SERVER:
        return refuse_no_server(service, model)
    return RefusedError(
        'no slot is free for a new program',
        code=verdict.reason.value,
        status=HTTPStatus.TOO_MANY_REQUESTS,
        step='admit call',
        retry_after_seconds=verdict.retry_after_seconds,
    )


def refuse_over_budget(worst_case: int, budget: int) -> RefusedError:
    """Return the refusal of a call that could spend more than its budget."""
    return RefusedError(
        f'the call can spend {worst_case} units of a budget of {budget}: '
        'lower max_tokens or raise the budget',
        code='budget',
        status=HTTPStatus.PAYMENT_REQUIRED,
        step='begin call',
    )


def refuse_history_mismatch(program: ProgramEntry) -> RefusedError:
    """Return the refusal of a call that does not repeat the history."""
    return RefusedError(
        f'the first {program.message_count} messages are not the history of '
        f'program {program.program}',
        code='history_mismatch',
        status=HTTPStatus.CONFLICT,
        step='check history',
        parameter='messages',
    )


def refuse_former_member(member: str) -> RefusedError:
    """Return the refusal of a call whose owner is no longer a member."""
    return RefusedError(
        f'node {member} is not a member any more',
        code='owner_unavailable',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='find owner',
        peer=member,
        retry_after_seconds=OWNER_RETRY_AFTER_SECONDS,
    )


def refuse_unconfirmed_change() -> RefusedError:
    """Return the refusal of a change that was not read back in time."""
    return RefusedError(
        'the change is not on the log yet and may still be accepted: read '
        'the path again before you repeat it',
        code='change_unknown',
        status=HTTPStatus.GATEWAY_TIMEOUT,
        step='read change back',
        run=RunState.UNKNOWN,
        retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS,
    )


def refuse_not_ready() -> RefusedError:
    """Return the refusal of a call at a node without configuration."""
    return RefusedError(
        'the node has no configuration yet: neither the log nor a peer has '
        'answered',
        code='not_ready',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='read configuration',
        retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS,
    )


def refuse_old_revision(rejected: ChangeRejected) -> RefusedError:
    """Return the refusal of a change that is based on an old revision."""
    return RefusedError(
        f'{rejected.path} is {rejected.value!r} since revision '
        f'{rejected.revision}, set by {rejected.author or "nobody"}: base '
        'the change on that revision',
        code='old_revision',
        status=HTTPStatus.CONFLICT,
        step='propose change',
        parameter='base_revision',
    )


def refuse_lost_stream(reason: str, peer: str) -> RefusedError:
    """Return the refusal to resume a stream that the engine has lost."""
    return RefusedError(
        f'the stream of the earlier run cannot be read on: {reason}; repeat '
        'the call without Bronzepost-Upstream to run it again',
        code='stream_lost',
        status=HTTPStatus.CONFLICT,
        step='resume stream',
        peer=peer,
        run=RunState.RAN,
    )


def refuse_unknown_model(model: str) -> RefusedError:
    """Return the refusal of a call for a model that no service serves."""
    return RefusedError(
        f'no service has a model {model!r}; GET /v1/models lists them',
        code='model_not_found',
        status=HTTPStatus.NOT_FOUND,
        step='find service',
        parameter='model',
    )
