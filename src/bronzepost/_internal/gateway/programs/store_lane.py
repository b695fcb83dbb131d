"""The access of a VM to the store, for writes or for reads."""

import contextlib
import random
from collections.abc import Callable
from typing import Final, TypeVar

import gevent

from bronzepost._internal.core.gateway.store_pace import (
    Location,
    Outcome,
    PaceLimits,
    Priority,
    StoreAccess,
    begin_attempt,
    expect_return,
    may_begin,
    record_answer,
    record_failure,
)
from bronzepost._internal.exceptions import (
    LogHeldError,
    LogLimitedError,
    LogRefusedError,
    LogRejectedError,
    LogServiceError,
)
from bronzepost._internal.gateway.programs.keyed_store import (
    AppendConflictError,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.exposition import METRICS

_Answer = TypeVar('_Answer')

# After this time without an answer the store counts as silent. An append takes
# 4 ms, and about 250 ms while the store is slow (documentation of the platform).
SILENT_SECONDS: Final = 0.6
# When a VM learns that the store answers again, it tries within this time. VMs whose
# reads failed at the same moment may repeat them, and learn of it, at the same moment.
RETURN_SPREAD_SECONDS: Final = 0.05


class StoreLane:
    """Record how attempts at the store end, and tell which may begin."""

    def __init__(
        self, *, kind: str, find_limits: Callable[[], PaceLimits]
    ) -> None:
        """Count attempts as those of a ``kind`` in the metrics."""
        self.access = StoreAccess()
        self.busy: list[Location] = []
        self.find_limits = find_limits
        self._kind = kind
        self._receivers: list[Callable[[], None]] = []

    def subscribe(self, receive: Callable[[], None]) -> None:
        """Call ``receive`` when an attempt has ended or is silent."""
        self._receivers.append(receive)

    def check(self, location: Location, priority: Priority) -> None:
        """Check that a call that cannot wait may begin.

        Raises:
            LogHeldError: if it may not; nothing was sent.
        """
        is_free = may_begin(
            self.access,
            self.busy,
            at=read_clock(),
            priority=priority,
        )
        if not is_free:
            raise LogHeldError(
                'the store has refused other requests just now',
                step=f'{self._kind} of {location[0]}',
                peer='',
                retry_after_seconds=max(self.access.next_at - read_clock(), 0),
            )

    def expect_return(self) -> None:
        """Try again soon: the store has answered another request of this VM."""
        until = read_clock() + random.random() * RETURN_SPREAD_SECONDS  # noqa: S311
        self.access = expect_return(self.access, until=until)

    def begin(
        self,
        location: Location,
        mark_silent: Callable[[], None] | None = None,
    ) -> 'StoreAttempt':
        """Begin an attempt; the caller has to run it.

        ``mark_silent`` is called if it has no answer for a while.
        """
        self.access = begin_attempt(
            self.access, self.find_limits(), at=read_clock()
        )
        self.busy.append(location)
        return StoreAttempt(
            lane=self, location=location, mark_silent=mark_silent
        )

    def record_answer(self, location: Location, seconds: float) -> None:
        """Record that the store has answered an attempt after some seconds."""
        self._count(Outcome.ANSWERED)
        self.access = record_answer(
            self.access, location, at=read_clock(), seconds=seconds
        )

    def record_failure(self, location: Location, outcome: Outcome) -> None:
        """Record that an attempt was refused, or that it has no answer yet."""
        self._count(outcome)
        self.access = record_failure(
            self.access,
            location,
            outcome,
            self.find_limits(),
            at=read_clock(),
            spread=random.random(),  # noqa: S311
        )

    def notify(self) -> None:
        """Tell the receivers that the access may have changed."""
        for receive in self._receivers:
            receive()

    def _count(self, outcome: Outcome) -> None:
        METRICS.store_attempts.labels(
            kind=self._kind, outcome=outcome.value
        ).inc()


class StoreAttempt:
    """A call to the store that is under way."""

    def __init__(
        self,
        *,
        lane: StoreLane,
        location: Location,
        mark_silent: Callable[[], None] | None,
    ) -> None:
        """Wait for the answer of a call at ``location``."""
        self._lane = lane
        self._location = location
        self._mark_silent = mark_silent
        self._began_at = read_clock()
        self._silence = gevent.spawn_later(SILENT_SECONDS, self._record_silence)

    def run(self, call: Callable[[], _Answer]) -> _Answer:
        """Return the answer of ``call`` and record the outcome.

        Raises:
            LogServiceError: as ``call`` does.
        """
        with contextlib.ExitStack() as stack:
            # Called last, so that receivers find the attempt ended.
            stack.callback(self._lane.notify)
            stack.callback(self._lane.busy.remove, self._location)
            stack.callback(self._silence.kill, block=False)
            try:
                answer = call()
            except LogServiceError as error:
                self._record_error(error)
                raise
            seconds = read_clock() - self._began_at
            self._lane.record_answer(self._location, seconds)
            return answer

    def _record_error(self, error: LogServiceError) -> None:
        outcome = _classify(error)
        if outcome is Outcome.ANSWERED:
            self._lane.record_answer(
                self._location, read_clock() - self._began_at
            )
            return
        if outcome is Outcome.SILENT and self._silence.ready():
            return
        self._lane.record_failure(self._location, outcome)

    def _record_silence(self) -> None:
        if self._mark_silent is not None:
            self._mark_silent()
        self._lane.record_failure(self._location, Outcome.SILENT)
        self._lane.notify()


def _classify(error: LogServiceError) -> Outcome:
    if isinstance(error, AppendConflictError):
        return Outcome.ANSWERED
    if isinstance(error, LogLimitedError):
        return Outcome.LIMITED
    if isinstance(error, LogRejectedError):
        return Outcome.REJECTED
    if isinstance(error, LogRefusedError):
        return Outcome.REFUSED
    return Outcome.SILENT
