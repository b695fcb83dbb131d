"""HTTP requests to the platform, to backend servers and to other nodes."""

import dataclasses
import errno
from collections.abc import Iterator, Mapping
from typing import Any, Final, Self
from urllib.parse import quote

import gevent
import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPSocketPoolResponse

from bronzepost._internal.exceptions import ExchangeError

CONNECT_SECONDS: Final = 1.0
_READ_BYTES: Final = 65536
# What RFC 3986 allows in a path as it is, but for the letters and digits.
_SAFE_IN_PATHS: Final = "/:@!$&'()*+,;="

# With these the connection was never open, so no request was sent.
_NOT_SENT_ERRORS: Final = frozenset((
    errno.ECONNREFUSED,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
))


def quote_path(path: str) -> str:
    """Return a path as it goes into a request.

    WSGI servers decode the path that they received: each character stands
    for one byte.
    """
    return quote(path.encode('latin-1'), safe=_SAFE_IN_PATHS)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpAnswer:
    """A complete answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body.

        Raises:
            msgspec.DecodeError: if the body is not JSON.
        """
        return msgspec.json.decode(self.body)


class HttpStream:
    """An answer whose body is read as it arrives.

    The connection is its own and is closed at the end, never used again, so
    that a late answer can't reach another request.
    """

    def __init__(
        self,
        *,
        client: HTTPClient,
        response: HTTPSocketPoolResponse,
        peer: str,
        step: str,
    ) -> None:
        """Take over an open connection."""
        self.status: int = response.status_code
        self.headers = _lower_headers(response)
        self._client = client
        self._response = response
        self._peer = peer
        self._step = step

    def __enter__(self) -> Self:
        """Return the stream; leaving the block closes it."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Close the connection."""
        self.close()

    def read_all(self) -> bytes:
        """Return the rest of the body."""
        return b''.join(self.read_blocks())

    def read_blocks(self) -> Iterator[bytes]:
        """Yield the body in blocks as they arrive.

        Raises:
            ExchangeError: if the connection is silent or closes early.
        """
        while not self._is_complete():
            block = self._read_block()
            if block:
                yield block

    def read_lines(self) -> Iterator[bytes]:
        """Yield the body line by line, without line ends."""
        rest = b''
        for block in self.read_blocks():
            *lines, rest = (rest + block).split(b'\n')
            for line in lines:
                yield line.rstrip(b'\r')
        if rest:
            yield rest

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    def _is_complete(self) -> bool:
        response = self._response
        return bool(response.message_complete) and not response._body_buffer

    def _read_block(self) -> bytes:
        try:
            return _read_available(self._response)
        except Exception as error:
            raise ExchangeError(
                f'the answer broke off: {error}',
                step=self._step,
                peer=self._peer,
                was_sent=True,
            ) from error


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpPeer:
    """An HTTP server at an address, with the time limits towards it.

    ``idle_seconds`` bounds the silence on a connection, not the whole answer.
    """

    address: str
    idle_seconds: float = 5.0

    def exchange(
        self,
        method: str,
        path: str,
        *,
        step: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer:
        """Send a request with a JSON body and return the whole answer.

        Raises:
            ExchangeError: if there is no complete answer; ``was_sent`` tells
                whether the request may have reached the server.
        """
        raw = b'' if body is None else msgspec.json.encode(body)
        stream = self.open_stream(
            method, path, step=step, body=raw, headers=headers
        )
        with stream:
            return HttpAnswer(
                status=stream.status,
                headers=stream.headers,
                body=stream.read_all(),
            )

    def open_stream(
        self,
        method: str,
        path: str,
        *,
        step: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> HttpStream:
        """Send a request and return its answer once the headers are there."""
        host, _, port = self.address.rpartition(':')
        client = HTTPClient(
            host,
            int(port),
            concurrency=1,
            block_size=_READ_BYTES,
            connection_timeout=CONNECT_SECONDS,
            network_timeout=self.idle_seconds,
            headers={'Content-Type': 'application/json'},
        )
        try:
            response = client.request(method, path, body, headers or {})
        except Exception as error:
            client.close()
            raise self._fail(error, step) from error
        except gevent.GreenletExit:
            client.close()
            raise
        return HttpStream(
            client=client, response=response, peer=self.address, step=step
        )

    def _fail(self, error: Exception, step: str) -> ExchangeError:
        code = getattr(error, 'errno', None)
        return ExchangeError(
            f'no answer: {error or type(error).__name__}',
            step=step,
            peer=self.address,
            was_sent=code not in _NOT_SENT_ERRORS,
        )


def _read_available(response: HTTPSocketPoolResponse) -> bytes:
    """Return what has arrived, waiting for at least one byte if need be.

    The library's ``read(length)`` waits until ``length`` bytes are there,
    which would hold back the tokens of a stream.
    """
    if not response._body_buffer and not response.message_complete:
        sock = response._sock
        received = sock.recv(_READ_BYTES) if sock else b''
        if not received:
            raise ConnectionResetError('connection closed before the end')
        response.feed(received)
    block = bytes(response._body_buffer)
    response._body_buffer.clear()
    return block


def _lower_headers(response: HTTPSocketPoolResponse) -> dict[str, str]:
    return {name.lower(): text for name, text in response.items()}
