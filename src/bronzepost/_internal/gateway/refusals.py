"""Refusals of the gateway, each with whether the request has run."""

from http import HTTPStatus
from typing import Final

from bronzepost._internal.exceptions import (
    ExchangeError,
    RefusedError,
    RunState,
)
from bronzepost._internal.gateway.pending_call import PendingCall

# Sent with a refusal when nothing better is known.
RETRY_AFTER_SECONDS: Final = 0.25
# A caller that starts up before the first configuration comes back after it.
STARTING_RETRY_SECONDS: Final = 0.5


def refuse_starting() -> RefusedError:
    """Return the refusal of a VM that has no configuration yet."""
    return RefusedError(
        'no configuration has arrived yet',
        code='starting',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='find route',
        retry_after_seconds=STARTING_RETRY_SECONDS,
    )


def refuse_no_route() -> RefusedError:
    """Return the refusal of a path that no route covers."""
    return RefusedError(
        'no route for this host and path',
        code='no_route',
        status=HTTPStatus.NOT_FOUND,
        step='find route',
    )


def refuse_no_server(pending: PendingCall) -> RefusedError:
    """Return the refusal when no backend server took the request."""
    if pending.runs:
        return refuse_late(RunState.UNKNOWN)
    return RefusedError(
        f'no backend server of {pending.service} takes the request',
        code='no_server',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='choose backend server',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def refuse_broken(error: ExchangeError) -> RefusedError:
    """Return the answer to a request whose run broke off."""
    return RefusedError(
        error.message,
        code='answer_broken',
        status=HTTPStatus.BAD_GATEWAY,
        step=error.step,
        peer=error.peer,
        run=RunState.UNKNOWN,
    )


def refuse_late(run: RunState) -> RefusedError:
    """Return the answer to a request that has used its time."""
    return RefusedError(
        'the request has used its time',
        code='deadline_passed',
        status=HTTPStatus.GATEWAY_TIMEOUT,
        step='wait for the answer',
        run=run,
    )
