"""Names of the HTTP headers that the gateway reads and sets."""

import dataclasses
from collections.abc import Iterable
from typing import Final

Headers = tuple[tuple[bytes, bytes], ...]

# RFC 9110, section 7.6.1: these concern one connection only.
HOP_BY_HOP: Final = frozenset((
    b'connection',
    b'keep-alive',
    b'proxy-authenticate',
    b'proxy-authorization',
    b'proxy-connection',
    b'te',
    b'trailer',
    b'transfer-encoding',
    b'upgrade',
))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeaderNames:
    """Header names towards callers and backend servers, in lower case.

    A deployment with names of its own passes them in; the defaults are those
    of the product. ``reserved`` are dropped when a caller sends them, since
    only the gateway may set them.
    """

    request_id: bytes = b'bronzepost-request'
    deadline: bytes = b'bronzepost-deadline-ms'
    not_run: bytes = b'bronzepost-not-run'
    expected_server: bytes = b'bronzepost-expected-server'
    resume_after: bytes = b'last-event-id'
    reserved: frozenset[bytes] = frozenset()


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None without one."""
    for header, text in headers:
        if header.lower() == name:
            return text
    return None


def drop_headers(headers: Headers, names: Iterable[bytes]) -> Headers:
    """Return the headers without those of the given lower-case names."""
    dropped = frozenset(names)
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)


def strip_connection_headers(headers: Headers) -> Headers:
    """Return the headers that may pass from one connection to another."""
    named = {
        token.strip().lower()
        for header, text in headers
        if header.lower() == b'connection'
        for token in text.split(b',')
    }
    return drop_headers(headers, HOP_BY_HOP | named)
