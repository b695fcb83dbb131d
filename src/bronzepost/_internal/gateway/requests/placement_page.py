"""The page that explains where a request would go now."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

import msgspec

from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.callers.header_names import Headers
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from bronzepost._internal.gateway.callers.pages import Page
from bronzepost._internal.gateway.requests.caller_access import CallerAccess
from bronzepost._internal.gateway.requests.forwarding import (
    DecodeCall,
    Forwarder,
)
from bronzepost._internal.gateway.servers.placement_explainer import (
    PlacementExplainer,
)
from bronzepost._internal.node.clock import read_clock

PLACEMENT_PATH: Final = '/placement'


class PlacementPage:
    """Explain the request that the parameters of a query describe.

    ``host``, ``path`` and ``method`` are those of the request, ``headers`` has its
    headers as lines. ``workspace`` names that of the caller, whose key is not
    needed. ``service`` chooses among the services of the route; without it, that
    of the largest weight is explained.
    """

    def __init__(
        self,
        *,
        forwarder: Forwarder,
        access: CallerAccess,
        explainer: PlacementExplainer,
        decode_call: DecodeCall,
    ) -> None:
        """Explain requests that ``forwarder`` would get."""
        self._forwarder = forwarder
        self._access = access
        self._explainer = explainer
        self._decode_call = decode_call

    def render(self, query: Mapping[str, str]) -> Page:
        """Return the explanation as JSON.

        Raises:
            RefusedError: if the request has no route, or no such service.
        """
        request = read_request(query)
        pending = self._forwarder.create_pending_call(
            request,
            self._access.preview(
                request,
                self._decode_call(request.headers),
                query.get('workspace', ''),
            ),
            # It is never answered.
            None,  # type: ignore[arg-type]
            read_clock(),
        )
        weights = dict(pending.route.services)
        heaviest = max(weights, key=weights.__getitem__)
        pending.service = query.get('service', heaviest)
        if pending.service not in weights:
            raise RefusedError(
                f'the route has the services {sorted(weights)}',
                code='no_service',
                status=HTTPStatus.NOT_FOUND,
                step='explain placement',
            )
        explanation = self._explainer.explain(pending)
        return Page(
            body=msgspec.json.encode({**explanation, 'services': weights})
        )


def read_header(line: str) -> tuple[bytes, bytes]:
    """Return name and value of a header line.

    >>> read_header('Subject: o-7')
    (b'Subject', b'o-7')
    """
    name, _, text = line.partition(':')
    return name.strip().encode('latin-1'), text.strip().encode('latin-1')


def read_request(query: Mapping[str, str]) -> HttpRequest:
    """Return the request that a query describes."""
    headers: Headers = tuple(
        map(read_header, query.get('headers', '').splitlines())
    )
    host = query.get('host', '').encode('latin-1')
    return HttpRequest(
        method=query.get('method', 'GET').encode('latin-1'),
        target=query.get('path', '/').encode('latin-1'),
        headers=(*headers, (b'Host', host)),
        body=b'',
        keep_alive=False,
    )
