"""How the connection of a request ended, and when faults disturbed it."""

import contextlib
import dataclasses
import enum
import itertools
import math
import time
from collections.abc import Iterator
from typing import Any, Final

import gevent

from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from tests.builders_gateway_servers import CallerSocket

READ_BYTES: Final = 65536


class ConnectionEnd(enum.StrEnum):
    """How a request ended for its caller.

    ``REFUSED`` ones reached no process, also behind a link that accepts them.
    ``UNFINISHED`` requests are under way, or were when the soak ended.
    ``NOT_OPENED`` ones got no connection, for another reason than a refusal.
    ``UNREADABLE`` ones got bytes that are not HTTP.
    """

    UNFINISHED = 'unfinished'
    WHOLE = 'whole'
    NOT_OPENED = 'not_opened'
    REFUSED = 'refused'
    RESET = 'reset'
    CLOSED = 'closed'
    TIMED_OUT = 'timed_out'
    UNREADABLE = 'unreadable'


@dataclasses.dataclass(kw_only=True)
class Exchange:
    """One request on a connection.

    ``address`` is that of the caller once it is connected, and ``written_at`` is
    set once all is sent.
    """

    reader: AnswerReader = dataclasses.field(default_factory=AnswerReader)
    end: ConnectionEnd = ConnectionEnd.UNFINISHED
    address: Any = None
    written_at: float = 0

    @property
    def is_kept_open(self) -> bool:
        """Return whether the connection can be used again."""
        head = self.reader.head
        return self.reader.is_complete and head is not None and head.keep_alive

    def run(self, caller: CallerSocket, request: bytes) -> None:
        """Send a request and read its answer; close unless kept open."""
        with contextlib.ExitStack() as stack:
            stack.callback(caller.sock.close)
            caller.sock.sendall(request)
            self.written_at = time.monotonic()
            self._read_answer(caller)
            if self.is_kept_open:
                stack.pop_all()

    def fail(self, error: BaseException) -> None:
        """Record the error that ended the exchange."""
        self.end = find_end(error, is_opened=self.address is not None)

    def _read_answer(self, caller: CallerSocket) -> None:
        """Read until the answer is complete or the connection ends."""
        self.end = ConnectionEnd.WHOLE
        while not self.reader.is_complete:
            received = caller.sock.recv(READ_BYTES)
            if not received:
                if not self.reader.feed_eof():
                    self.end = ConnectionEnd.CLOSED
                return
            self.reader.feed(received)


def find_end(error: BaseException, *, is_opened: bool) -> ConnectionEnd:
    """Return the end of a connection for an error of a socket or parser."""
    if isinstance(error, ConnectionRefusedError):
        return ConnectionEnd.REFUSED
    if not is_opened:
        return ConnectionEnd.NOT_OPENED
    if isinstance(error, (gevent.Timeout, TimeoutError)):
        return ConnectionEnd.TIMED_OUT
    if isinstance(error, ProtocolError):
        return ConnectionEnd.UNREADABLE
    return ConnectionEnd.RESET


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Disturbance:
    """An unplanned fault, in monotonic seconds; ``is_store`` is one of the store."""

    start: float
    end: float = math.inf
    is_store: bool = False


class Disturbances:
    """The unplanned faults of a soak."""

    def __init__(self) -> None:
        """Start without faults."""
        self._numbers = itertools.count()
        self._faults: dict[int, Disturbance] = {}

    @contextlib.contextmanager
    def note(self, *, is_store: bool = False) -> Iterator[None]:
        """Record a fault from now to the end of the context."""
        number = self.begin(is_store=is_store)
        try:
            yield
        finally:
            self.finish(number)

    def begin(self, *, is_store: bool = False) -> int:
        """Record the begin of a fault and return a number to end it with."""
        number = next(self._numbers)
        self._faults[number] = Disturbance(
            start=time.monotonic(), is_store=is_store
        )
        return number

    def finish(self, number: int) -> None:
        """Record the end of a fault."""
        self._faults[number] = dataclasses.replace(
            self._faults[number], end=time.monotonic()
        )

    def add(self, **fields: Any) -> None:
        """Record a fault whose times are known."""
        self._faults[next(self._numbers)] = Disturbance(**fields)

    def is_calm(self, since: float, until: float) -> bool:
        """Return whether no fault was in force in a span of time."""
        return all(
            fault.end < since or fault.start > until
            for fault in self._faults.values()
        )

    def find_store_return(self, at: float) -> float:
        """Return when the store was last back at a time.

        It is infinite in a fault of the store, and -inf before any.
        """
        return max(
            (
                fault.end if fault.end <= at else math.inf
                for fault in self._faults.values()
                if fault.is_store and fault.start <= at
            ),
            default=-math.inf,
        )
