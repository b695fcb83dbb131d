"""Calls to plain services and tools."""

import dataclasses
from collections.abc import Mapping
from typing import Final

from bronzepost._internal.node.http_exchange import HttpPeer, quote_path

MAX_STORED_BODY: Final = 65536


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceAnswer:
    """What a service answered."""

    status: int
    body: bytes


def call_service(
    peer: HttpPeer,
    path: str,
    *,
    body: bytes,
    request_id: str,
    headers: Mapping[str, str],
) -> ServiceAnswer:
    """Send one call and return its answer, whatever the status.

    Raises:
        ExchangeError: if there is no whole answer.
    """
    stream = peer.open_stream(
        'POST',
        quote_path(f'/{path}'),
        step='service call',
        body=body,
        headers={'X-Request-Id': request_id, **headers},
    )
    with stream:
        return ServiceAnswer(status=stream.status, body=stream.read_all())
