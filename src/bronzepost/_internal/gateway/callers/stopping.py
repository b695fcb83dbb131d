"""Refusals of a process that stops."""

import contextlib
from collections.abc import Iterator
from http import HTTPStatus
from typing import Protocol

from bronzepost._internal.exceptions import RefusedError, RunState


class StoppingError(Exception):
    """The process stops before the answer to a request is complete."""


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


class SentRequest(Protocol):
    """A request that was sent to backend servers ``sends`` times."""

    sends: int


@contextlib.contextmanager
def refuse_at_stop(request: SentRequest | None = None) -> Iterator[None]:
    """Refuse the request of the block if the process stops before its end.

    Without ``request`` none can have been sent.

    Raises:
        RefusedError: if the process stops.
    """
    try:
        yield
    except StoppingError:
        may_have_run = request is not None and request.sends > 0
        run = RunState.UNKNOWN if may_have_run else RunState.NOT_RUN
        raise refuse_stopping(run) from None
