"""Errors with which the gateway refuses requests."""

import random
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from bronzepost._internal.core.gateway.crash_suspects import (
    RETENTION_SECONDS,
)
from bronzepost._internal.core.gateway.workspaces import AccessProblem
from bronzepost._internal.exceptions import (
    ExchangeError,
    RefusedError,
    RunState,
)
from bronzepost._internal.gateway.requests.pending_call import PendingCall

# Sent when the time until a server is available is not known.
DEFAULT_RETRY_AFTER_SECONDS: Final = 0.25
# Servers that crashed are back after some seconds.
SUSPECT_RETRY_AFTER_SECONDS: Final = 0.5
# Links that were lost are probed this often.
LINK_RETRY_AFTER_SECONDS: Final = 0.5
# By then the first configuration should have arrived.
STARTING_RETRY_AFTER_SECONDS: Final = 0.5
# By then a VM that is behind its peers has their configuration.
LAG_RETRY_AFTER_SECONDS: Final = 0.5

_ACCESS_MESSAGES: Final = MappingProxyType({
    AccessProblem.NO_ROUTE: 'no route for this host and path',
    AccessProblem.KEY_MISSING: 'the route needs a key',
    AccessProblem.KEY_EMPTY: 'the key is empty',
    AccessProblem.KEY_UNKNOWN: 'the key is not known',
    AccessProblem.KEY_REPEATED: 'there is more than one key',
    AccessProblem.KEY_TOO_LONG: 'the key is too long',
    AccessProblem.KEY_NOT_ASCII: 'the key has characters that are not ASCII',
})


def refuse_starting() -> RefusedError:
    """Return the error of a VM that has no configuration yet."""
    return RefusedError(
        'no configuration has arrived yet',
        code='starting',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='find route',
        retry_after_seconds=STARTING_RETRY_AFTER_SECONDS,
    )


def refuse_access(problem: AccessProblem) -> RefusedError:
    """Return the error for what the configuration does not allow.

    The status is 404 without a route, 400 for a key that cannot be one, and 401
    otherwise.
    """
    status = HTTPStatus.UNAUTHORIZED
    if problem.is_malformed:
        status = HTTPStatus.BAD_REQUEST
    if not problem.is_for_key:
        status = HTTPStatus.NOT_FOUND
    return RefusedError(
        _ACCESS_MESSAGES[problem],
        code=problem.value,
        status=status,
        step='find workspace' if problem.is_for_key else 'find route',
    )


def refuse_uncertain() -> RefusedError:
    """Return the error if only a newer configuration may allow a request.

    401 and 404 are final for callers. Callers are told different times, so that
    they do not come back together.
    """
    return RefusedError(
        'a newer configuration may allow the request',
        code='configuration_behind',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='find route',
        retry_after_seconds=LAG_RETRY_AFTER_SECONDS * (1 + random.random()),
    )


def refuse_no_server(pending: PendingCall) -> RefusedError:
    """Return the error if no backend server is left for a request."""
    if pending.runs:
        return refuse_deadline_passed(RunState.UNKNOWN)
    if pending.limited_seconds is not None:
        return refuse_limited(pending.service, pending.limited_seconds)
    return RefusedError(
        f'no backend server of {pending.service} takes the request',
        code='no_server',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='choose backend server',
        retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS * (1 + random.random()),
    )


def refuse_no_link(pending: PendingCall) -> RefusedError:
    """Return the error if no VM is known to reach a server for a request.

    Callers are told different times, so that they do not come back together.
    """
    error = RefusedError(
        f'no VM is known to reach the backend servers of {pending.service}',
        code='no_link',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='choose backend server',
        retry_after_seconds=LINK_RETRY_AFTER_SECONDS * (1 + random.random()),
    )
    return state_run(error, pending)


def refuse_limited(service: str, wait_seconds: float) -> RefusedError:
    """Return the error if the limits of all servers keep a request out.

    Callers are told different times, up to twice the time to wait.
    """
    spread = 1 + random.random()  # noqa: S311
    return RefusedError(
        f'the servers of {service} limit their requests',
        code='server_limited',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='choose backend server',
        retry_after_seconds=max(
            wait_seconds * spread, DEFAULT_RETRY_AFTER_SECONDS * spread
        ),
    )


def refuse_over_quota(wait_seconds: float) -> RefusedError:
    """Return the error for a request beyond the quota of its workspace.

    The wait is the time of the next free token that no other caller was told.
    """
    return RefusedError(
        'the workspace has used its quota',
        code='over_quota',
        status=HTTPStatus.TOO_MANY_REQUESTS,
        step='check quota',
        retry_after_seconds=wait_seconds,
    )


def refuse_quota_undecided(wait_seconds: float) -> RefusedError:
    """Return the error if no VM that has a share of the quota answers."""
    return RefusedError(
        'no VM with a share of the quota of the workspace answers',
        code='quota_undecided',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='check quota',
        retry_after_seconds=wait_seconds,
    )


def refuse_deadly(pending: PendingCall) -> RefusedError:
    """Return the error for a request that crashes the servers that run it."""
    error = RefusedError(
        f'backend servers of {pending.service} crash under this request',
        code='deadly_request',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='choose backend server',
        retry_after_seconds=RETENTION_SECONDS,
    )
    return state_run(error, pending)


def refuse_large_prompt(pending: PendingCall) -> RefusedError:
    """Return the error for a request that is larger than an engine's memory."""
    error = RefusedError(
        f'no backend server of {pending.service} has memory for the prompt and'
        ' the answer',
        code='engine_memory',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='choose backend server',
        retry_after_seconds=RETENTION_SECONDS,
    )
    return state_run(error, pending)


def refuse_suspect(pending: PendingCall) -> RefusedError:
    """Return the error for a suspect that has to wait until servers are back."""
    error = RefusedError(
        f'a backend server of {pending.service} crashed under this request, and'
        ' it may not run now',
        code='suspect_request',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='choose backend server',
        retry_after_seconds=SUSPECT_RETRY_AFTER_SECONDS * (1 + random.random()),
    )
    return state_run(error, pending)


def state_run(error: RefusedError, pending: PendingCall) -> RefusedError:
    """Change a refusal of a request that may have run; it then promises nothing."""
    if pending.runs:
        error.status = HTTPStatus.BAD_GATEWAY
        error.run = RunState.UNKNOWN
    return error


def refuse_unknown_stream() -> RefusedError:
    """Return the error for a stream that may not go on at any server.

    Its caller can send the request again from its start.
    """
    return RefusedError(
        'the version of the servers that began the stream is not known',
        code='stream_unknown',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='find stream',
        retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS,
    )


def refuse_broken_answer(error: ExchangeError) -> RefusedError:
    """Return the error if the answer of a backend server broke off."""
    return RefusedError(
        error.message,
        code='answer_broken',
        status=HTTPStatus.BAD_GATEWAY,
        step=error.step,
        peer=error.peer,
        run=RunState.UNKNOWN,
    )


def refuse_deadline_passed(run: RunState) -> RefusedError:
    """Return the error if the deadline of a request has passed."""
    return RefusedError(
        'the request has used its time',
        code='deadline_passed',
        status=HTTPStatus.GATEWAY_TIMEOUT,
        step='wait for the answer',
        run=run,
    )
