"""Builders of requests in the form that the web application receives."""

import io
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import msgspec

from bronzepost._internal.node.callers.web import Request

NO_HEADERS: Mapping[str, str] = MappingProxyType({})


def build_request(
    body: Any, headers: Mapping[str, str] = NO_HEADERS
) -> Request:
    """Return a request; a body that is not bytes is encoded as JSON."""
    return Request(
        method='POST',
        path='/v1/chat/completions',
        query={},
        headers=headers,
        body=body if isinstance(body, bytes) else msgspec.json.encode(body),
        path_parameters={},
    )


def build_environ(path: str, query: str, content_length: str) -> dict[str, Any]:
    """Return the WSGI environment of a request with 200 bytes of input."""
    return {
        'REQUEST_METHOD': 'GET',
        'PATH_INFO': path,
        'QUERY_STRING': query,
        'CONTENT_LENGTH': content_length,
        'wsgi.input': io.BytesIO(b'x' * 200),
    }
