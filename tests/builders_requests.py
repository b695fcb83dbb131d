"""Builders of requests as the web application sees them."""

import io
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import msgspec

from bronzepost._internal.node.web import Request

NO_HEADERS: Mapping[str, str] = MappingProxyType({})


def build_request(
    body: Any, headers: Mapping[str, str] = NO_HEADERS
) -> Request:
    """Return a request with a JSON body, or with bytes as they are."""
    return Request(
        method='POST',
        path='/v1/chat/completions',
        query={},
        headers=headers,
        body=body if isinstance(body, bytes) else msgspec.json.encode(body),
        path_parameters={},
    )


def build_environ(path: str, query: str, length: str) -> dict[str, Any]:
    """Return the environment that a WSGI server hands over."""
    return {
        'REQUEST_METHOD': 'GET',
        'PATH_INFO': path,
        'QUERY_STRING': query,
        'CONTENT_LENGTH': length,
        'wsgi.input': io.BytesIO(b'x' * 200),
    }
