"""Refusals of a process that stops."""

from http import HTTPStatus

from bronzepost._internal.exceptions import RefusedError, RunState


def refuse_stopping(run: RunState) -> RefusedError:
    """Return the error if the process stops before a request has ended.

    One that has not run may be sent to another VM at once.
    """
    status = HTTPStatus.BAD_GATEWAY
    retry_after_seconds = None
    if run is RunState.NOT_RUN:
        status = HTTPStatus.SERVICE_UNAVAILABLE
        retry_after_seconds = 0
    return RefusedError(
        'this VM is stopping',
        code='stopping',
        status=status,
        step='stop',
        run=run,
        retry_after_seconds=retry_after_seconds,
    )
