"""Send calls to plain services and tools."""

import dataclasses
from collections.abc import Mapping
from typing import Final

from bronzepost._internal.node.callers.http_exchange import ExchangeClient

MAX_STORED_BODY_BYTES: Final = 65536


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceAnswer:
    """The answer of a service, with the body as bytes."""

    status: int
    body: bytes


def call_service(
    client: ExchangeClient,
    path: str,
    *,
    body: bytes,
    request_id: str,
    headers: Mapping[str, str],
) -> ServiceAnswer:
    """Send one call and return its answer, with any HTTP status.

    Raises:
        ExchangeError: if the answer is missing or incomplete.
    """
    stream = client.open_stream(
        'POST',
        f'/{path}',
        step='service call',
        body=body,
        headers={'X-Request-Id': request_id, **headers},
    )
    with stream:
        return ServiceAnswer(status=stream.status, body=stream.read_all())
