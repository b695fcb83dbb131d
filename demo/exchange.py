"""HTTP exchanges of a caller with one node, and the events of a stream."""

from collections.abc import Iterator, Mapping
from contextlib import closing, contextmanager
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException, HTTPResponse
from typing import Any, Final

import msgspec

EXCHANGE_TIMEOUT_SECONDS: Final = 20.0
_ERROR: Final = b'error'
_END: Final = b'[DONE]'

Events = Iterator[tuple[int, dict[str, Any]]]


class RefusedCallError(Exception):
    """A node refused a call."""

    def __init__(
        self, error: Mapping[str, Any], *, status: int, retry_after: str | None
    ) -> None:
        """Copy the fields of a refusal; ``retry_after`` is in seconds."""
        super().__init__(f'{status}: {error.get("message")}')
        self.status = status
        self.code = str(error.get('code'))
        self.run = str(error.get('run'))
        self.parameter = error.get('param')
        self.retry_seconds = None if retry_after is None else float(retry_after)


class BrokenStreamError(Exception):
    """A stream ended before its ``[DONE]`` event."""


@contextmanager
def open_exchange(
    method: str,
    address: str,
    path: str,
    *,
    body: object = None,
    headers: Mapping[str, str],
) -> Iterator[HTTPResponse]:
    """Send a request on a new connection and yield the response.

    Raises:
        RefusedCallError: if the status is an error.
        OSError: if nothing answers.
    """
    with closing(
        HTTPConnection(address, timeout=EXCHANGE_TIMEOUT_SECONDS)
    ) as connection:
        connection.request(
            method,
            path,
            body=None if body is None else msgspec.json.encode(body),
            headers={'Content-Type': 'application/json', **headers},
        )
        response = connection.getresponse()
        if response.status >= HTTPStatus.BAD_REQUEST:
            raise read_refusal(response)
        yield response


def exchange_json(
    method: str,
    address: str,
    path: str,
    *,
    body: object = None,
    headers: Mapping[str, str],
) -> Any:
    """Return the JSON answer of a node; raises as ``open_exchange``."""
    with open_exchange(
        method, address, path, body=body, headers=headers
    ) as response:
        return msgspec.json.decode(response.read())


def read_refusal(response: HTTPResponse) -> RefusedCallError:
    """Return the refusal in a response with an error status."""
    content = response.read()
    try:
        error = msgspec.json.decode(content).get('error', {})
    except (msgspec.DecodeError, AttributeError):
        error = {'message': content.decode(errors='replace')}
    return RefusedCallError(
        error if isinstance(error, dict) else {'message': error},
        status=response.status,
        retry_after=response.headers.get('Retry-After'),
    )


def read_events(response: HTTPResponse) -> Events:
    """Yield offset and chunk of each event up to ``[DONE]``.

    Raises:
        BrokenStreamError: if the connection ends before that.
        RefusedCallError: if the stream ends with an error.
    """
    fields: dict[bytes, bytes] = {}
    for line in _read_lines(response):
        name, _, content = line.partition(b': ')
        fields[name] = content
        if name != b'data':
            continue
        if content == _END:
            return
        yield _decode_event(fields, response.status)
        fields = {}
    raise BrokenStreamError('the stream ended before its [DONE] event')


def _decode_event(
    fields: Mapping[bytes, bytes], status: int
) -> tuple[int, dict[str, Any]]:
    chunk = msgspec.json.decode(fields[b'data'])
    if fields.get(b'event') == _ERROR:
        raise RefusedCallError(chunk['error'], status=status, retry_after=None)
    return int(fields.get(b'id', b'0')), chunk


def _read_lines(response: HTTPResponse) -> Iterator[bytes]:
    try:
        while line := response.readline():
            yield line.strip()
    except (OSError, HTTPException) as error:
        raise BrokenStreamError(str(error)) from error
