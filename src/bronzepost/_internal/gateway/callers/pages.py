"""Pages with the state of a gateway, each served at an address of its own."""

import dataclasses
import functools
from collections.abc import Callable, Mapping
from http import HTTPMethod, HTTPStatus
from typing import Final
from urllib.parse import parse_qsl

from bronzepost._internal.core.gateway.entities import CallerLimits
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.callers.caller_answer import (
    CallerAnswer,
)
from bronzepost._internal.gateway.callers.caller_server import (
    CallerServer,
    refuse_internal_error,
)
from bronzepost._internal.gateway.callers.http_messages import (
    AnswerHead,
    HttpRequest,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Health checks and monitoring send a request every few seconds on one
# connection. Without bytes for this long, the connection is closed.
READ_TIMEOUT_SECONDS: Final = 30.0
PAGE_LIMITS: Final = CallerLimits(
    body_bytes=0,
    header_seconds=READ_TIMEOUT_SECONDS,
    idle_seconds=READ_TIMEOUT_SECONDS,
)
JSON_TYPE: Final = 'application/json'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """The answer to a request for a page."""

    status: HTTPStatus = HTTPStatus.OK
    body: bytes = b''
    content_type: str = JSON_TYPE


RenderPage = Callable[[Mapping[str, str]], Page]


def start_page_server(
    address: str, path: str, render: RenderPage
) -> CallerServer:
    """Start to answer GET requests for ``path`` at ``IP:PORT``.

    ``render`` is called with the parameters of the query string.

    Raises:
        OSError: if the address cannot be bound.
    """
    return start_pages_server(address, {path: render})


def start_pages_server(
    address: str, pages: Mapping[str, RenderPage]
) -> CallerServer:
    """Start to answer GET requests for several pages, by their paths.

    Raises:
        OSError: if the address cannot be bound.
    """
    server = CallerServer(
        address=address,
        answer=functools.partial(_answer, pages),
        read_limits=lambda: PAGE_LIMITS,
    )
    server.start()
    return server


def _answer(
    pages: Mapping[str, RenderPage], request: HttpRequest, answer: CallerAnswer
) -> None:
    try:
        page = _render(pages, request)
    except RefusedError as error:
        emit(LogEvent.CALL_REFUSED, error=error, code=error.code)
        answer.refuse(error)
    except Exception as error:  # noqa: BLE001
        emit(
            LogEvent.GREENLET_FAILED,
            error=error,
            step=request.target.decode('latin-1'),
        )
        answer.refuse(refuse_internal_error())
    else:
        head = AnswerHead(
            status=page.status,
            reason=page.status.phrase.encode(),
            headers=((b'Content-Type', page.content_type.encode()),),
            length=len(page.body),
            is_chunked=False,
            keep_alive=request.keep_alive,
        )
        answer.send_whole(head, page.body)


def _render(pages: Mapping[str, RenderPage], request: HttpRequest) -> Page:
    target, _, query = request.target.decode('latin-1').partition('?')
    render = pages.get(target)
    if render is None:
        raise _refuse(HTTPStatus.NOT_FOUND, target)
    if request.method != HTTPMethod.GET.encode():
        raise _refuse(HTTPStatus.METHOD_NOT_ALLOWED, target)
    return render(dict(parse_qsl(query)))


def _refuse(status: HTTPStatus, target: str) -> RefusedError:
    return RefusedError(
        f'no page for this request of {target}',
        code=status.name.lower(),
        status=status,
        step='read request',
    )
