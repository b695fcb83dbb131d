"""Receive the requests of a caller's connection, each within its time."""

import math
from typing import Any, Final

import gevent

from bronzepost._internal.core.gateway.entities import CallerLimits
from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.gateway.callers.body_account import BodyAccount
from bronzepost._internal.gateway.callers.http_messages import HttpRequest
from bronzepost._internal.gateway.callers.request_reader import (
    RequestReader,
    measure_head,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.paced_reader import PacedReader

# After this time a body has to arrive at the rate below on average. It is that of
# text of a few letters a second; uploads over slow links are far above it.
BODY_GRACE_SECONDS: Final = 30.0
BODY_BYTES_PER_SECOND: Final = 8


# Between steps others may run, after this time at the earliest. A hundred connections
# may begin in the same turn of the loop, and 8 KiB of tiny chunks take about 1 ms.
_STEP_SECONDS: Final = 0.001
_MIN_STEP_BYTES: Final = 8192
_MAX_STEP_BYTES: Final = 65536
# An idle watcher of libev's highest priority runs once in each iteration of the loop,
# as in ``node/paced_reader.py``.
_TOP_PRIORITY: Final = 2


class RequestReceiver:
    """Read requests from a connection, and count what is held of them.

    The head of a request arrives within ``header_seconds`` in all. A body goes on
    for as long as some of it comes within ``header_seconds`` each, and as it
    keeps a low rate on average.
    """

    def __init__(
        self, *, sock: Any, limits: CallerLimits, body: BodyAccount
    ) -> None:
        """Read from a socket, and count in ``body``."""
        self._paced = PacedReader(sock=sock)
        self._is_closed = False
        # The greenlet that waits for bytes.
        self._waiter: Any = None
        self._sock = sock
        self._limits = limits
        self._body = body
        self._reader = RequestReader(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            reserve=body.reserve,
        )
        self._step_bytes = _MIN_STEP_BYTES
        self._waiting_since = read_clock()
        # When the first byte of the request and the end of its head arrived.
        self._begun_at = math.inf
        self._body_begun_at = math.inf

    @property
    def is_between_requests(self) -> bool:
        """Return whether no part of the next request has been received."""
        return self._reader.is_between_requests and not self._paced.has_block

    def receive(self) -> HttpRequest | None:
        """Return the next request, or None if the connection is closed.

        Raises:
            ProtocolError: if the request is not to be read.
        """
        if self._is_closed:
            return None
        self._waiting_since = read_clock()
        if not self._reader.is_between_requests:
            # A caller that pipelines gets one answer in each turn of the loop, since
            # neither its requests nor their answers may have to wait.
            gevent.idle(priority=_TOP_PRIORITY)
            self._feed(b'')
        while not self._reader.requests:
            received = self._read()
            if self._is_closed or not received:
                return None
            self._feed_steps(received)
        request = self._reader.requests.popleft()
        self._begun_at = math.inf
        self._body_begun_at = math.inf
        self._body.complete(len(request.body))
        self._body.count_beside(
            self._reader.beside_bytes
            + measure_head(request.target, request.headers)
        )
        return request

    def close(self) -> None:
        """Receive nothing more; a greenlet that waits for bytes goes on."""
        self._is_closed = True
        if self._waiter is not None:
            gevent.get_hub().loop.run_callback(self._end_wait)

    def discard(self) -> None:
        """Drop all that was read; nothing is received any more."""
        self._reader.discard()

    def _feed_steps(self, received: bytes) -> None:
        slice_began_at = read_clock()
        start = 0
        while start < len(received):
            if read_clock() - slice_began_at > _STEP_SECONDS:
                gevent.idle(priority=_TOP_PRIORITY)
                slice_began_at = read_clock()
            began_at = read_clock()
            end = start + self._step_bytes
            self._feed(received[start:end])
            self._adapt_step(read_clock() - began_at)
            start = end

    def _adapt_step(self, seconds: float) -> None:
        if seconds > _STEP_SECONDS:
            self._step_bytes = _MIN_STEP_BYTES
        elif seconds < _STEP_SECONDS / 4:
            self._step_bytes = min(2 * self._step_bytes, _MAX_STEP_BYTES)

    def _feed(self, received: bytes) -> None:
        reader = self._reader
        reader.feed(received)
        self._body.count_beside(reader.beside_bytes)
        if reader.requests:
            return
        self._body.count_arrived(reader.body_bytes)
        now = read_clock()
        if not reader.is_between_requests:
            self._begun_at = min(self._begun_at, now)
        if reader.is_in_body:
            self._body_begun_at = min(self._body_begun_at, now)
        if reader.expects_continue:
            # Once is enough, and a caller that reads nothing could block more.
            reader.expects_continue = False
            self._sock.sendall(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _read(self) -> bytes:
        """Return the next bytes, or none at the end of the connection."""
        self._waiter = gevent.getcurrent()
        try:
            return self._read_in_time(self._find_timeout())
        except TimeoutError:
            self._check_incomplete()
        except OSError:
            self._is_closed = True
        finally:
            self._waiter = None
            self._sock.settimeout(None)
        return b''

    def _read_in_time(self, timeout_seconds: float) -> bytes:
        if timeout_seconds <= 0:
            # Bytes that are there are read without a timeout.
            raise TimeoutError
        self._sock.settimeout(timeout_seconds)
        return self._paced.receive()

    def _end_wait(self) -> None:
        # Runs in gevent's hub. The wait may have ended since the callback was set.
        if self._waiter is not None:
            self._waiter.throw(ConnectionAbortedError('closed by the gateway'))

    def _check_incomplete(self) -> None:
        """Refuse a request of which a part has arrived."""
        if not self._reader.is_between_requests:
            seconds = read_clock() - self._begun_at
            raise ProtocolError(
                f'the request is incomplete after {seconds:.1f} s',
                step='read request',
            )

    def _find_timeout(self) -> float:
        """Return for how long the next bytes may take, in seconds."""
        now = read_clock()
        limits = self._limits
        if self._reader.is_between_requests:
            return self._waiting_since + limits.idle_seconds - now
        if not self._reader.is_in_body:
            return self._begun_at + limits.header_seconds - now
        earned_seconds = self._reader.body_bytes / BODY_BYTES_PER_SECOND
        ends_at = self._body_begun_at + BODY_GRACE_SECONDS + earned_seconds
        return min(limits.header_seconds, ends_at - now)
