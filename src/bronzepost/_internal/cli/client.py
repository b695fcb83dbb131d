"""HTTP client of the commands that send requests to a node."""

from __future__ import annotations

import json
from collections.abc import Mapping
from contextlib import closing
from http.client import HTTPException
from typing import Any
from urllib.parse import urlencode

import gevent

from bronzepost._internal.exceptions import (
    NodeUnreachableError,
    RefusedError,
    SettingsError,
)
from bronzepost._internal.node.callers.bounded_client import (
    BoundedClient,
    read_body,
)
from bronzepost._internal.settings.rules import split_address

# A change is answered within 3 s; a busy node may take longer.
TIMEOUT_SECONDS = 10
# The longest answers, trees of settings, have some megabytes.
MAX_ANSWER_BYTES = 16_777_216

_FIRST_ERROR_STATUS = 300
_EXCHANGE_ERRORS = (OSError, HTTPException, ValueError, gevent.Timeout)
_FIELDS_IN_MESSAGE = frozenset(('message', 'type', 'code'))


class NodeClient:
    """Send requests to the operator or the caller port of a node."""

    def __init__(self, *, address: str, key: str = '') -> None:
        """Create a client for ``address``, an ``IP:port``.

        Raises:
            SettingsError: if the address is invalid.
        """
        try:
            self._host_and_port = split_address(address)
        except ValueError as error:
            raise SettingsError(
                f'--address is "{address}"; expected an IP address with a'
                ' port, such as 127.0.0.1:9001, here or in its environment'
                ' variable',
                step='read options',
            ) from error
        self._address = address
        self._headers = {'Accept': 'application/json'}
        if key:
            self._headers['Authorization'] = f'Bearer {key}'

    def get(self, resource: str, /, **query: str) -> Any:
        """Return the JSON answer to a GET; empty parameters are not sent."""
        non_empty = {name: entry for name, entry in query.items() if entry}
        suffix = f'?{urlencode(non_empty)}' if non_empty else ''
        return self._request('GET', f'{resource}{suffix}', '')

    def post(self, resource: str, body: Mapping[str, object]) -> Any:
        """Return the JSON answer to a POST with a JSON body."""
        return self._request('POST', resource, json.dumps(body))

    def _request(self, method: str, path: str, body: str) -> Any:
        step = f'{method} {path}'
        try:
            status, text = self._send_request(method, path, body)
        except _EXCHANGE_ERRORS as error:
            raise NodeUnreachableError(
                f'no node answers ({error}); check the address, or ask'
                ' another node',
                step=step,
                peer=self._address,
            ) from error
        answer = self._decode(text, step)
        if status >= _FIRST_ERROR_STATUS:
            raise _make_refusal(answer, status, step, self._address)
        return answer

    def _send_request(
        self, method: str, path: str, body: str
    ) -> tuple[int, str]:
        headers = dict(self._headers)
        if body:
            headers['Content-Type'] = 'application/json'
        host, port = self._host_and_port
        client = BoundedClient(
            host,
            port,
            connection_timeout=TIMEOUT_SECONDS,
            network_timeout=TIMEOUT_SECONDS,
        )
        with closing(client), gevent.Timeout(TIMEOUT_SECONDS):
            response = client.request(method, path, body, headers)
            text = read_body(response, max_bytes=MAX_ANSWER_BYTES).decode()
        return int(response.status_code), text

    def _decode(self, text: str, step: str) -> Any:
        try:
            return json.loads(text)
        except ValueError as error:
            raise NodeUnreachableError(
                'the answer is not JSON; check that the address and the port'
                ' are those of a node',
                step=step,
                peer=self._address,
            ) from error


def _make_refusal(
    answer: object, status: int, step: str, peer: str
) -> RefusedError:
    error = answer.get('error') if isinstance(answer, dict) else None
    fields = error if isinstance(error, dict) else {'message': error}
    code = str(fields.get('code', ''))
    details = ''.join(
        f'; {name}: {entry}'
        for name, entry in fields.items()
        if name not in _FIELDS_IN_MESSAGE and not _is_empty(entry)
    )
    message = fields.get('message') or 'the node gives no reason'
    return RefusedError(
        f'refused with {status} {code}: {message}{details}',
        code=code,
        status=status,
        step=step,
        peer=peer,
    )


def _is_empty(entry: object) -> bool:
    return entry is None or not str(entry)
