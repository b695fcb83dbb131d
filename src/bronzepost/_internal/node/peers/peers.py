"""Transport of messages between nodes over pynng.

A node listens with one Pull socket and dials one Push socket per peer. All
calls on the sockets are non-blocking, so no peer can block the event loop. A
message that cannot be queued is dropped and counted: heartbeats and retries
make up for the loss.
"""

import contextlib
import dataclasses
import math
import time
from collections.abc import Callable
from typing import Any, Generic

import pynng
from gevent import get_hub, killall, sleep, spawn

from bronzepost._internal.exceptions import ProtocolError, SettingsError

from .envelopes import EnvelopeCodec, MessageT
from .message_sockets import Receiver, limit_threads

ReceiveMessage = Callable[[str, MessageT], None]
ReportError = Callable[[Exception], None]

_SEND_QUEUE_MESSAGES = 128
_RECEIVE_QUEUE_MESSAGES = 1024
# A refused dial costs about 3 ms of processor time in the library's threads,
# and a missed ack starts a new dial at once anyway.
_MIN_RECONNECT_MS = 1000
_MAX_RECONNECT_MS = 8000
# A new connection is not replaced earlier, because its handshake waits for the
# peer's event loop, which may be busy.
_MIN_REPLACE_INTERVAL_SECONDS = 1.0
# Without this timeout, sockets of peers that are gone would dial for ever.
DEFAULT_IDLE_TIMEOUT_SECONDS = 30.0
# Within a burst, other greenlets run after each batch. It ends after a time too, since
# one message may have megabytes.
_MAX_BATCH_MESSAGES = 64
_MAX_BATCH_SECONDS = 0.005
# Event of gevent's loop: the file descriptor is readable.
_READABLE = 1


@dataclasses.dataclass(kw_only=True, slots=True)
class TransportCounts:
    """Numbers of messages since the start, and of replaced connections."""

    sent: int = 0
    dropped: int = 0
    received: int = 0
    rejected: int = 0
    failed: int = 0
    reconnects: int = 0


class PeerTransport(Generic[MessageT]):
    """Sends messages to peers and receives theirs.

    ``receive`` is called with the name of the sending node and the message,
    on the thread of the event loop. ``report`` is called with a
    ``ProtocolError`` for a message that was refused, and with any error that
    ``receive`` raises; the transport continues after both. Use ``start`` and
    ``close``, or ``with``.
    """

    def __init__(
        self,
        *,
        codec: EnvelopeCodec[MessageT],
        receive: ReceiveMessage[MessageT],
        report: ReportError | None = None,
        idle_timeout_seconds: float = DEFAULT_IDLE_TIMEOUT_SECONDS,
    ) -> None:
        """Prepare to listen on the peer address of the codec.

        A connection without a message for ``idle_timeout_seconds`` is closed;
        the next message dials again.
        """
        self.counts = TransportCounts()
        self._codec = codec
        self._receive = receive
        self._report = report or _ignore_error
        self._pull_socket: Any = None
        self._greenlets: list[Any] = []
        self._idle_timeout_seconds = idle_timeout_seconds
        self._push_sockets_by_address: dict[str, Any] = {}
        self._last_counter_by_address: dict[str, int] = {}
        self._used_at_by_address: dict[str, float] = {}
        self._replaced_at_by_address: dict[str, float] = {}

    def __enter__(self) -> 'PeerTransport[MessageT]':
        """Start the transport."""
        self.start()
        return self

    def __exit__(self, *error: object) -> None:
        """Close all sockets."""
        self.close()

    def start(self) -> None:
        """Listen on the node's peer address.

        Raises ``SettingsError`` if the address cannot be listened on.
        """
        address = self._codec.peer_address
        limit_threads()
        self._pull_socket = pynng.Pull0(
            recv_buffer_size=_RECEIVE_QUEUE_MESSAGES,
            recv_max_size=self._codec.limit_bytes,
        )
        _disable_pipe_callbacks(self._pull_socket)
        try:
            self._pull_socket.listen(f'tcp://{address}')
        except pynng.NNGException as error:
            self.close()
            raise SettingsError(
                f'cannot listen on the peer address: {error}; check'
                ' [node] peer_address',
                step='listen for peers',
                peer=address,
            ) from error
        self._greenlets = [
            spawn(self._read_messages),
            spawn(self._close_idle),
        ]

    def send(self, peer_address: str, message: MessageT) -> bool:
        """Queue a message without waiting; return ``False`` if it is dropped.

        The first message to a peer dials its address.
        """
        try:
            self._enqueue(peer_address, message)
        except ProtocolError as error:
            self._report(error)
            self.counts.dropped += 1
            return False
        except pynng.NNGException:
            # A full queue means a peer that is gone or silent. The membership
            # detects that, so it is not reported for each message.
            self.counts.dropped += 1
            return False
        self.counts.sent += 1
        return True

    def reconnect(self, peer_address: str) -> bool:
        """Replace the connection to a peer with a new one.

        Messages still queued for the old connection are lost. Returns
        ``False`` and does nothing if the connection was replaced within the
        last second.
        """
        now = time.monotonic()
        replaced_at = self._replaced_at_by_address.get(peer_address, -math.inf)
        if now < replaced_at + _MIN_REPLACE_INTERVAL_SECONDS:
            return False
        self.disconnect(peer_address)
        self.counts.reconnects += 1
        self._replaced_at_by_address[peer_address] = now
        self._used_at_by_address[peer_address] = now
        try:
            self._get_push_socket(peer_address)
        except pynng.NNGException as error:
            self._report(error)
        return True

    def disconnect(self, peer_address: str) -> None:
        """Close the connection to a peer, if there is one."""
        self._used_at_by_address.pop(peer_address, None)
        push_socket = self._push_sockets_by_address.pop(peer_address, None)
        if push_socket is not None:
            push_socket.close()

    def count_connections(self) -> int:
        """Return the number of peers with an open or dialing socket."""
        return len(self._push_sockets_by_address)

    def close(self) -> None:
        """Close all sockets; queued messages may be lost."""
        killall(self._greenlets)
        self._greenlets = []
        for address in tuple(self._push_sockets_by_address):
            self.disconnect(address)
        if self._pull_socket is not None:
            self._pull_socket.close()
            self._pull_socket = None

    def _enqueue(self, peer_address: str, message: MessageT) -> None:
        counter = self._last_counter_by_address.get(peer_address, 0) + 1
        self._last_counter_by_address[peer_address] = counter
        self._used_at_by_address[peer_address] = time.monotonic()
        content = self._codec.encode(
            message, receiver=peer_address, counter=counter
        )
        self._get_push_socket(peer_address).send(content, block=False)

    def _get_push_socket(self, peer_address: str) -> Any:
        push_socket = self._push_sockets_by_address.get(peer_address)
        if push_socket is None:
            push_socket = pynng.Push0(
                send_buffer_size=_SEND_QUEUE_MESSAGES,
                reconnect_time_min=_MIN_RECONNECT_MS,
                reconnect_time_max=_MAX_RECONNECT_MS,
            )
            _disable_pipe_callbacks(push_socket)
            push_socket.dial(f'tcp://{peer_address}', block=False)
            self._push_sockets_by_address[peer_address] = push_socket
        return push_socket

    def _read_messages(self) -> None:
        hub = get_hub()
        receiver = Receiver(self._pull_socket)
        watcher = hub.loop.io(self._pull_socket.recv_fd, _READABLE)
        with contextlib.closing(watcher):
            while self._pull_socket is not None:
                # Other greenlets run here, also during a burst of messages.
                hub.wait(watcher)
                self._handle_batch(receiver)

    def _handle_batch(self, receiver: Receiver) -> None:
        ends_at = time.monotonic() + _MAX_BATCH_SECONDS
        for _ in range(_MAX_BATCH_MESSAGES):
            content = receiver.receive()
            if content is None:
                return
            self._handle_content(content)
            if time.monotonic() > ends_at:
                return

    def _close_idle(self) -> None:
        while self._pull_socket is not None:
            sleep(self._idle_timeout_seconds / 2)
            idle_since = time.monotonic() - self._idle_timeout_seconds
            for address in tuple(self._push_sockets_by_address):
                if self._used_at_by_address.get(address, 0) < idle_since:
                    self.disconnect(address)

    def _handle_content(self, content: bytes) -> None:
        try:
            envelope = self._codec.decode(content)
        except ProtocolError as error:
            self.counts.rejected += 1
            self._report(error)
            return
        self.counts.received += 1
        try:
            self._receive(envelope.sender, envelope.message)
        except Exception as error:
            # A message that fails must not end the reception of others.
            self.counts.failed += 1
            self._report(error)


def _disable_pipe_callbacks(socket: Any) -> None:
    # pynng registers callbacks that run Python code on the library's threads
    # and acquire a lock that gevent has patched. They are not needed here.
    for event in (
        pynng.lib.NNG_PIPE_EV_ADD_PRE,
        pynng.lib.NNG_PIPE_EV_ADD_POST,
        pynng.lib.NNG_PIPE_EV_REM_POST,
    ):
        pynng.lib.nng_pipe_notify(
            socket.socket, event, pynng.ffi.NULL, pynng.ffi.NULL
        )


def _ignore_error(error: Exception) -> None:
    """Ignore an error; the caller has counted it."""
