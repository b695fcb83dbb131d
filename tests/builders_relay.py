"""A TCP relay whose open connections can be made silent."""

from typing import Any

import gevent
from gevent.server import StreamServer
from gevent.socket import create_connection

READ_BYTES = 65536


class Relay:
    """Forward bytes to an address; ``freeze`` silences open connections."""

    def __init__(self, target: str) -> None:
        """Listen on a free loopback address."""
        host, _, port = target.partition(':')
        self._target = (host, int(port))
        self._generation = 0
        self._server = StreamServer(('127.0.0.1', 0), self._accept)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def freeze(self) -> None:
        """Stop forwarding on all connections that are open now."""
        self._generation += 1

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _accept(self, client: Any, address: Any) -> None:
        server = create_connection(self._target)
        pair = [
            gevent.spawn(self._forward, client, server),
            gevent.spawn(self._forward, server, client),
        ]
        gevent.joinall(pair)

    def _forward(self, source: Any, sink: Any) -> None:
        generation = self._generation
        try:
            while content := source.recv(READ_BYTES):
                if generation == self._generation:
                    sink.sendall(content)
        except OSError:
            sink.close()
