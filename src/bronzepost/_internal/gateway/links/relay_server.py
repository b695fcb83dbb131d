"""The server through which other VMs reach backend servers.

It accepts connections of members of the fleet only, and connects to registered
backend servers only, over links of its own: a tunnel has one hop.
"""

import contextlib
import socket
from typing import Any, Final

import gevent
from gevent.server import StreamServer

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.exceptions import ExchangeError, ProtocolError
from bronzepost._internal.gateway.callers.caller_server import LISTEN_BACKLOG
from bronzepost._internal.gateway.callers.held_memory import HeldMemory
from bronzepost._internal.gateway.links.backend_connections import (
    BackendConnection,
)
from bronzepost._internal.gateway.links.link_probes import LinkProbes
from bronzepost._internal.gateway.links.tcp_options import (
    set_reset_on_close,
    set_tcp_options,
)
from bronzepost._internal.gateway.links.tunnel_frames import (
    OpenTunnel,
    TunnelAnswer,
    TunnelVerdict,
    receive_frame,
    send_frame,
)
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.node.paced_reader import PacedReader
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Bounds the memory and the descriptors that tunnels take. Beyond this, other VMs
# are asked.
MAX_TUNNELS: Final = 512
# A VM sends its request for a tunnel as soon as it is connected.
REQUEST_TIMEOUT_SECONDS: Final = 1.0
# A VM that does not acknowledge data for this long counts as lost.
USER_TIMEOUT_MS: Final = 5000
# For how long a VM may read on after the end of a server's connection.
CLOSE_TIMEOUT_SECONDS: Final = 1.0


class RelayServer:
    """Accept tunnels of other VMs."""

    def __init__(
        self,
        *,
        address: str,
        fleet: Fleet,
        directory: Directory,
        probes: LinkProbes,
    ) -> None:
        """Prepare to listen on ``IP:PORT``; ``start`` binds the address."""
        host, _, port = address.rpartition(':')
        self._fleet = fleet
        self._directory = directory
        self._probes = probes
        self._server = StreamServer(
            (host, int(port)), self._serve, backlog=LISTEN_BACKLOG
        )

    def start(self) -> None:
        """Accept connections.

        Raises:
            OSError: if the address cannot be bound.
        """
        self._server.start()

    def stop(self) -> None:
        """Accept no more connections."""
        self._server.stop()

    def _serve(self, sock: Any, address: tuple[str, int]) -> None:
        set_tcp_options(sock, user_timeout_ms=USER_TIMEOUT_MS)
        with contextlib.closing(sock):
            if not self._fleet.is_member_ip(address[0]):
                emit(LogEvent.TUNNEL_REJECTED, peer=address[0])
                return
            try:
                self._serve_tunnel(sock)
            except (OSError, ProtocolError) as error:
                emit(LogEvent.TUNNEL_BROKEN, peer=address[0], error=error)

    def _serve_tunnel(self, sock: Any) -> None:
        with gevent.Timeout(REQUEST_TIMEOUT_SECONDS, TimeoutError('no frame')):
            request = receive_frame(sock, OpenTunnel)
        with self._count_tunnel():
            connection, verdict = self._connect(request)
            send_frame(sock, TunnelAnswer(verdict=verdict))
            if connection is not None:
                with contextlib.closing(connection):
                    Tunnel(
                        caller=sock,
                        server=connection.sock,
                        memory=self._directory.memory,
                    ).run()

    @contextlib.contextmanager
    def _count_tunnel(self) -> Any:
        self._directory.tunnels += 1
        try:
            yield
        finally:
            self._directory.tunnels -= 1

    def _connect(
        self, request: OpenTunnel
    ) -> tuple[BackendConnection | None, TunnelVerdict]:
        server = self._find_server(request)
        if server is None:
            return None, TunnelVerdict.UNKNOWN_SERVER
        is_short = self._directory.memory.is_full
        if is_short or self._directory.tunnels > MAX_TUNNELS:
            return None, TunnelVerdict.BUSY
        if self._directory.links.is_cut_off:
            return None, TunnelVerdict.CUT_OFF
        try:
            return self._probes.open(server, step='relay'), TunnelVerdict.OPEN
        except ExchangeError:
            is_cut_off = self._directory.links.is_cut_off
        verdict = TunnelVerdict.UNREACHED
        return None, TunnelVerdict.CUT_OFF if is_cut_off else verdict

    def _find_server(self, request: OpenTunnel) -> BackendServer | None:
        """Return the server of a request if it takes new requests."""
        server = self._directory.servers_by_id.get(request.server_id)
        if server is None or server.born != request.born:
            return None
        return self._directory.find_serving(server.service, server.server_id)


class Tunnel:
    """The two connections of a tunnel.

    A side that breaks breaks the other one: an orderly close would look like the
    end of an answer that has no length.
    """

    def __init__(self, *, caller: Any, server: Any, memory: HeldMemory) -> None:
        """Join the socket of a VM with that of a backend server."""
        self._memory = memory
        self._caller = caller
        self._server = server
        self._is_broken = False

    def run(self) -> None:
        """Pass bytes on in both directions until one side ends."""
        # Also if this process is killed.
        set_reset_on_close(self._caller, is_reset=True)
        upload = gevent.spawn(self._upload)
        with contextlib.ExitStack() as stack:
            stack.callback(upload.kill)
            with contextlib.suppress(OSError):
                self._download()
                # The VM reads the rest of the answer and closes.
                upload.join(CLOSE_TIMEOUT_SECONDS)

    def _pass_on(self, receiver: Any, block: bytes) -> None:
        """Send a block; the next one is read when the receiver has taken it."""
        with self._memory.open(HeldKind.TUNNELS) as held:
            held.resize(len(block))
            receiver.sendall(block)

    def _upload(self) -> None:
        reader = PacedReader(sock=self._caller)
        try:
            while block := reader.receive():
                self._pass_on(self._server, block)
        except OSError:
            # The error of a reset comes once; the end of the connection that is
            # read after it looks orderly.
            self._is_broken = True
        # A server stops a request when its connection closes.
        with contextlib.suppress(OSError):
            self._server.shutdown(socket.SHUT_RDWR)

    def _download(self) -> None:
        reader = PacedReader(sock=self._server)
        while block := reader.receive():
            self._pass_on(self._caller, block)
        if not self._is_broken:
            set_reset_on_close(self._caller, is_reset=False)
            self._caller.shutdown(socket.SHUT_WR)
