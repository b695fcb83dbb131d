"""HTTP/1.1 messages; ``httptools`` parses them.

gevent's WSGI server is not used: it does not give applications the raw header
lines, and it decides itself when to close a connection. A gateway has to
forward headers unchanged and to control its connections.
"""

import dataclasses
import enum
from typing import Final

from bronzepost._internal.gateway.callers.header_names import (
    Headers,
    find_header,
)

CRLF: Final = b'\r\n'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """A complete request as the caller sent it."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    is_http11: bool = True

    @property
    def host(self) -> str:
        """Return the value of the Host header, or an empty string."""
        return (find_header(self.headers, b'host') or b'').decode('latin-1')


class Framing(enum.StrEnum):
    """What tells the end of a body (RFC 9112, section 6.3)."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CONNECTION = 'connection'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Status line and headers of an answer.

    ``length`` is the Content-Length of the body. If it is None, the body is
    chunked or ends with the connection, as ``is_chunked`` tells.
    """

    status: int
    reason: bytes
    headers: Headers
    length: int | None
    is_chunked: bool
    keep_alive: bool

    @property
    def framing(self) -> Framing:
        """Return what tells the end of the body."""
        if self.is_chunked:
            return Framing.CHUNKED
        return Framing.CONNECTION if self.length is None else Framing.LENGTH


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Return a request or status line, the headers and an empty line."""
    lines = [first_line, *(b'%b: %b' % pair for pair in headers), b'', b'']
    return CRLF.join(lines)


def encode_chunk(block: bytes) -> bytes:
    """Return a chunk of a chunked body; an empty chunk ends the body."""
    return b'%x\r\n%b\r\n' % (len(block), block)
