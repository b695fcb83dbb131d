"""Names of the HTTP headers that the gateway reads and sets."""

import dataclasses
from collections.abc import Iterable
from typing import Final

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that apply to one connection only (RFC 9110, section 7.6.1).
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
    """Header names used with callers and backend servers, in lower case.

    A deployment may use other names than these defaults. ``reserved`` headers
    are dropped from requests of callers, since only the gateway may set them.
    Servers that are leaving have ``leaving`` in all their answers, and those that
    limit their requests have ``limit``: the requests a second that they take from
    all VMs together, as a decimal number. Callers of deployments with workspaces
    send their ``key``, and servers get the name of the ``workspace`` instead.
    """

    request_id: bytes = b'bronzepost-request'
    deadline: bytes = b'bronzepost-deadline-ms'
    not_run: bytes = b'bronzepost-not-run'
    expected_server: bytes = b'bronzepost-expected-server'
    resume_after: bytes = b'last-event-id'
    leaving: bytes = b'bronzepost-server-leaving'
    limit: bytes = b'bronzepost-server-limit'
    key: bytes = b'bronzepost-key'
    workspace: bytes = b'bronzepost-workspace'
    reserved: frozenset[bytes] = frozenset()


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None if there is none.

    ``name`` is in lower case.
    """
    for header, value in headers:
        if header.lower() == name:
            return value
    return None


def find_headers(headers: Headers, name: bytes) -> list[bytes]:
    """Return all values of a header; ``name`` is in lower case."""
    return [value for header, value in headers if header.lower() == name]


def drop_headers(headers: Headers, names: Iterable[bytes]) -> Headers:
    """Return the headers except those with the given lower-case names."""
    dropped = frozenset(names)
    return tuple(
        header for header in headers if header[0].lower() not in dropped
    )


def strip_connection_headers(headers: Headers) -> Headers:
    """Return the headers except those that apply to one connection only."""
    connection_options = {
        token.strip().lower()
        for header, value in headers
        if header.lower() == b'connection'
        for token in value.split(b',')
    }
    return drop_headers(headers, HOP_BY_HOP | connection_options)
