"""TCP relay whose open connections can stall while new ones work."""

from argparse import ArgumentParser, Namespace
from contextlib import closing, suppress
from dataclasses import dataclass, field

from gevent import joinall, socket, spawn
from gevent.event import Event
from gevent.server import StreamServer

from standins.faults import Switches
from standins.web import (
    Application,
    Reply,
    Request,
    RequestError,
    get,
    json_reply,
    listening_address,
    open_listener,
    put,
    serve_application,
    split_address,
)

DIRECTIONS = ('to_target', 'to_client')
READ_BYTES = 65536


def _open_gate() -> Event:
    gate = Event()
    gate.set()
    return gate


@dataclass(eq=False, kw_only=True, slots=True)
class Connection:
    """Both sides of a relayed connection.

    The gate of a direction is set while its bytes are forwarded.
    """

    client: socket.socket
    target: socket.socket
    gates_by_direction: dict[str, Event] = field(
        default_factory=lambda: {name: _open_gate() for name in DIRECTIONS}
    )

    def silent_directions(self) -> list[str]:
        """Return the directions in which nothing is forwarded."""
        return [
            name
            for name, gate in self.gates_by_direction.items()
            if not gate.is_set()
        ]


class Relay:
    """Forward connections to a target."""

    def __init__(self, *, target: str) -> None:
        """Start without connections."""
        self._target = split_address(target)
        self._connections: list[Connection] = []
        self._accepted = 0

    def forward(self, client: socket.socket, _: tuple[str, int]) -> None:
        """Forward one connection until both sides have closed it."""
        self._accepted += 1
        with suppress(OSError), closing(socket.socket()) as target:
            target.connect(self._target)
            target.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(client=client, target=target)
            self._connections.append(connection)
            gates = connection.gates_by_direction
            joinall([
                spawn(pump, client, target, gates['to_target']),
                spawn(pump, target, client, gates['to_client']),
            ])
            self._connections.remove(connection)

    def list_connections(self, request: Request) -> Reply:
        """Return the silent directions of each open connection."""
        return json_reply({
            'accepted': self._accepted,
            'open': [
                connection.silent_directions()
                for connection in self._connections
            ],
        })

    def silence_connections(self, request: Request) -> Reply:
        """Set the silent directions of the currently open connections.

        An empty list makes all of them forward again, starting with the
        bytes that were held back.
        """
        silent = request.json_object().get('silent')
        if not isinstance(silent, list) or set(silent) - set(DIRECTIONS):
            raise RequestError(400, f'silent: not a list from {DIRECTIONS}')
        for connection in self._connections:
            for name, gate in connection.gates_by_direction.items():
                if name in silent:
                    gate.clear()
                else:
                    gate.set()
        return self.list_connections(request)


def pump(source: socket.socket, sink: socket.socket, gate: Event) -> None:
    """Forward one direction until its source closes.

    A gate that is not set also holds back the end of the connection, so that
    the other side does not notice it.
    """
    with suppress(OSError):
        while chunk := source.recv(READ_BYTES):
            gate.wait()
            sink.sendall(chunk)
    gate.wait()
    with suppress(OSError):
        sink.shutdown(socket.SHUT_WR)


def add_options(parser: ArgumentParser) -> None:
    """Declare the options of this stand-in."""
    parser.add_argument('--target', required=True)
    parser.add_argument('--control-address', default='127.0.0.1:0')


def serve_relay(options: Namespace) -> None:
    """Serve until the process ends.

    The ready line has the address of the relay, then the control address.
    """
    relay = Relay(target=options.target)
    listener = open_listener(options.address)
    StreamServer(listener, relay.forward).start()
    application = Application(
        switches=Switches(),
        routes=(
            get('/connections', relay.list_connections),
            put('/connections', relay.silence_connections),
        ),
    )
    serve_application(
        application,
        options.control_address,
        relayed_address=listening_address(listener),
    )
