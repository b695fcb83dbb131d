"""HTTP client for the platform, backend servers and other nodes."""

import dataclasses
import errno
from collections.abc import Iterator, Mapping
from typing import Any, Final, Self
from urllib.parse import quote

import gevent
import msgspec
from geventhttpclient.response import HTTPSocketPoolResponse

from bronzepost._internal.core.http_statuses import is_status
from bronzepost._internal.exceptions import (
    AnswerTooLargeError,
    ExchangeError,
)
from bronzepost._internal.node.callers.bounded_client import (
    AnswerBoundError,
    BoundedClient,
    join_blocks,
    read_available,
)

CONNECT_TIMEOUT_SECONDS: Final = 1.0
# Four times the default of the largest request body. A node may use 64 MB, and
# a body takes twice its size while it is copied once.
MAX_ANSWER_BYTES: Final = 16_777_216
# As large as the default of the largest request body; engines send events of up
# to some hundred kilobytes.
MAX_EVENT_BYTES: Final = 4_194_304
# The memory that a short line takes beside its text.
_LINE_BYTES: Final = 64

# Other characters of a path are quoted. Callers choose parts of paths: a space
# or a line break would end the request line, and the rest would be read as
# headers.
_SAFE_PATH_CHARACTERS: Final = "/?&=%:~+,;@!$()*'"

# With these errors the connection was never open, so no request was sent.
_NOT_SENT_ERRNOS: Final = frozenset((
    errno.ECONNREFUSED,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

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
    """A response whose body is read as it arrives.

    Its connection serves one request only, so that a late response cannot be
    read as the response to another request. ``peer`` is the server's address
    and ``step`` the name of the request in errors.
    """

    def __init__(
        self,
        *,
        client: BoundedClient,
        response: HTTPSocketPoolResponse,
        peer: str,
        step: str,
    ) -> None:
        """Take ownership of the client's open connection."""
        self.status: int = response.status_code
        self.headers = _lowercase_header_names(response)
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

    def read_all(self, *, max_bytes: int = MAX_ANSWER_BYTES) -> bytes:
        """Return the rest of the body.

        Raises:
            AnswerTooLargeError: if it is larger than ``max_bytes``.
            ExchangeError: if the connection times out or closes early.
        """
        try:
            return join_blocks(self.read_blocks(), max_bytes=max_bytes)
        except AnswerBoundError as error:
            raise AnswerTooLargeError(
                str(error), step=self._step, peer=self._peer, was_sent=True
            ) from error

    def read_start(self, max_bytes: int) -> bytes:
        """Return at most ``max_bytes`` of the rest of the body.

        Raises:
            ExchangeError: if the connection times out or closes early.
        """
        start = b''
        for block in self.read_blocks():
            start += block
            if len(start) >= max_bytes:
                break
        return start[:max_bytes]

    def read_blocks(self) -> Iterator[bytes]:
        """Yield the body in blocks as they arrive.

        Raises:
            ExchangeError: if the connection times out or closes early.
        """
        block = self._read_block()
        while block:
            yield block
            block = self._read_block()

    def read_lines(
        self, *, max_event_bytes: int = MAX_EVENT_BYTES
    ) -> Iterator[bytes]:
        """Yield the body line by line, without line endings.

        Raises:
            AnswerTooLargeError: if the lines up to a blank one, which ends an
                event, are larger than ``max_event_bytes``.
            ExchangeError: if the connection times out or closes early.
        """
        rest = bytearray()
        event_bytes = 0
        for block in self.read_blocks():
            *lines, tail = block.split(b'\n')
            if lines:
                lines[0] = bytes(rest) + lines[0]
                rest.clear()
            rest += tail
            if b'' in lines or b'\r' in lines:
                event_bytes = len(tail)
            else:
                event_bytes += len(block) + len(lines) * _LINE_BYTES
            if event_bytes > max_event_bytes:
                raise self._refuse_event(max_event_bytes)
            for line in lines:
                yield line.rstrip(b'\r')
        if rest:
            yield bytes(rest)

    def set_idle_timeout(self, timeout_seconds: float) -> None:
        """Limit the wait for each further block."""
        sock = self._response._sock
        if sock is not None:
            sock.settimeout(timeout_seconds)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()
        # The pool of the client closes only connections that are not in use.
        self._response.release()

    def _refuse_event(self, max_bytes: int) -> AnswerTooLargeError:
        return AnswerTooLargeError(
            f'the event is larger than {max_bytes} bytes',
            step=self._step,
            peer=self._peer,
            was_sent=True,
        )

    def _read_block(self) -> bytes:
        try:
            return read_available(self._response)
        except Exception as error:
            raise ExchangeError(
                f'the answer broke off: {error}',
                step=self._step,
                peer=self._peer,
                was_sent=True,
            ) from error


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeClient:
    """Client of the HTTP server at one address.

    ``idle_timeout_seconds`` limits the wait for the next bytes of a response,
    not the time of the whole response.
    """

    address: str
    idle_timeout_seconds: float = 5.0

    def exchange(
        self,
        method: str,
        path: str,
        *,
        step: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        max_body_bytes: int = MAX_ANSWER_BYTES,
    ) -> HttpResponse:
        """Send a request with a JSON body and return the whole response.

        Raises:
            AnswerTooLargeError: if its body is larger than ``max_body_bytes``.
            ExchangeError: if no complete response arrives; ``was_sent`` is
                true if the request may have reached the server.
        """
        encoded_body = b'' if body is None else msgspec.json.encode(body)
        stream = self.open_stream(
            method, path, step=step, body=encoded_body, headers=headers
        )
        with stream:
            return HttpResponse(
                status=stream.status,
                headers=stream.headers,
                body=stream.read_all(max_bytes=max_body_bytes),
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
        """Send a request and return its response once the headers are read.

        Raises:
            ExchangeError: as for ``exchange``.
        """
        host, _, port = self.address.rpartition(':')
        client = BoundedClient(
            host,
            int(port),
            connection_timeout=CONNECT_TIMEOUT_SECONDS,
            network_timeout=self.idle_timeout_seconds,
            headers={'Content-Type': 'application/json'},
        )
        try:
            response = client.request(
                method, encode_path(path), body, headers or {}
            )
        except Exception as error:
            client.close()
            raise self._build_error(error, step) from error
        except gevent.GreenletExit:
            client.close()
            raise
        stream = HttpStream(
            client=client, response=response, peer=self.address, step=step
        )
        if not is_status(stream.status):
            stream.close()
            raise ExchangeError(
                f'no answer: {stream.status:03d} is no status',
                step=step,
                peer=self.address,
                was_sent=True,
            )
        return stream

    def _build_error(self, error: Exception, step: str) -> ExchangeError:
        code = getattr(error, 'errno', None)
        return ExchangeError(
            f'no answer: {error or type(error).__name__}',
            step=step,
            peer=self.address,
            was_sent=code not in _NOT_SENT_ERRNOS,
        )


def encode_path(path: str) -> str:
    """Return a path quoted for use in a request line."""
    return quote(path, safe=_SAFE_PATH_CHARACTERS)


def _lowercase_header_names(response: HTTPSocketPoolResponse) -> dict[str, str]:
    return {name.lower(): text for name, text in response.items()}
