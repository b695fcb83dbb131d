"""Blocking HTTP client for the launcher and tests."""

from typing import Any
from urllib.request import ProxyHandler, Request, build_opener

import msgspec

TIMEOUT_SECONDS = 10


def request_json(
    method: str,
    location: str,
    body: object = None,
    *,
    headers: dict[str, str] | None = None,
) -> Any:
    """Return the JSON answer of ``HOST:PORT/PATH``.

    Raise ``OSError`` (``urllib.error.URLError``) if nothing answers or the
    status is an error.
    """
    request = Request(
        f'http://{location}',
        method=method,
        data=None if body is None else msgspec.json.encode(body),
        headers={'Content-Type': 'application/json', **(headers or {})},
    )
    # Traffic to loopback addresses must not go through a configured proxy.
    opener = build_opener(ProxyHandler({}))
    with opener.open(request, timeout=TIMEOUT_SECONDS) as response:
        return msgspec.json.decode(response.read())
