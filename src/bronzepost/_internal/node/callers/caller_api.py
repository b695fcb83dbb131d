"""Handlers of calls, which callers send or other nodes forward."""

import dataclasses
import itertools
from urllib.parse import urlencode

import xxhash

from bronzepost._internal.core.ownership import ForwardTo
from bronzepost._internal.core.session_sweep import name_call_session
from bronzepost._internal.node.callers.answer_stream import AnswerStream
from bronzepost._internal.node.callers.call_settings import (
    CallSettings,
    resolve_settings,
)
from bronzepost._internal.node.callers.caller_api_components import (
    CallerApiComponents,
)
from bronzepost._internal.node.callers.caller_request import (
    CallerFields,
    read_caller_fields,
)
from bronzepost._internal.node.callers.chat_calls import ChatCall
from bronzepost._internal.node.callers.chat_request import read_chat_request
from bronzepost._internal.node.callers.responses import (
    build_call_headers,
    build_completion_response,
    build_event_response,
    build_service_response,
)
from bronzepost._internal.node.callers.web import Request, Response, Route
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.engines.service_calls import ServiceCall
from bronzepost._internal.telemetry.spans import Span, parse_traceparent


class CallerApi:
    """Handles chat completions and calls of plain services."""

    def __init__(self, *, components: CallerApiComponents) -> None:
        """Use the node's components for calls."""
        self._components = components
        self._session_numbers = itertools.count(1)

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of these calls."""
        return (
            Route(
                method='POST',
                pattern='/v1/chat/completions',
                handler=self.complete_chat,
            ),
            Route(
                method='POST',
                pattern='/v1/services/(?P<service>[^/]+)/(?P<path>.+)',
                handler=self.call_service,
            ),
        )

    def complete_chat(self, request: Request) -> Response:
        """Run a chat completion or forward it to the program's owner.

        A call without a program runs on this node.
        """
        call = self._read_chat(request)
        program = call.fields.program
        if not program:
            stream = self._components.chat_calls.begin_without_program(
                call, self._make_session_name()
            )
            return _build_chat_response(call, stream)
        journal, route = self._components.partitions.find_route_for_new_call(
            program
        )
        if isinstance(route, ForwardTo):
            return self._forward(route, request, call.settings)
        stream = self._components.chat_calls.begin_owned(journal, call)
        return _build_chat_response(call, stream)

    def call_service(self, request: Request) -> Response:
        """Run a call of a plain service or tool, or forward it to its owner."""
        fields = read_caller_fields(request)
        settings = self._resolve_settings(
            fields, request.path_parameters['service']
        )
        if not fields.program and fields.key:
            # A program derived from the key sends all repeats of the call to
            # one owner.
            program = _derive_program_name(settings.organisation, fields.key)
            fields = dataclasses.replace(fields, program=program)
        call = ServiceCall(
            path=_read_service_path(request),
            body=request.body,
            fields=fields,
            settings=settings,
            arrived_at=read_clock(),
            span=self._start_span('service call', fields),
        )
        if not fields.program:
            stream = self._components.service_calls.begin_without_program(
                call, self._make_session_name()
            )
            return build_service_response(stream)
        journal, route = self._components.partitions.find_route_for_new_call(
            fields.program
        )
        if isinstance(route, ForwardTo):
            return self._forward(route, request, settings)
        stream = self._components.service_calls.begin_owned(journal, call)
        headers = build_call_headers(fields.program, stream)
        return build_service_response(stream, headers=headers)

    def _read_chat(self, request: Request) -> ChatCall:
        chat = read_chat_request(request)
        fields = read_caller_fields(request, chat.metadata)
        service = fields.service or self._components.find_service(chat.model)
        return ChatCall(
            chat=chat,
            fields=fields,
            settings=self._resolve_settings(fields, service),
            arrived_at=read_clock(),
            span=self._start_span('chat completion', fields),
        )

    def _start_span(self, name: str, fields: CallerFields) -> Span:
        parent = parse_traceparent(fields.traceparent)
        span = self._components.tracer.start_span(name, parent)
        span.attributes['program'] = fields.program
        return span

    def _resolve_settings(
        self, fields: CallerFields, service: str
    ) -> CallSettings:
        return resolve_settings(
            fields,
            self._components.lookup_setting,
            organisation=self._components.organisation,
            service=service,
        )

    def _forward(
        self, route: ForwardTo, request: Request, settings: CallSettings
    ) -> Response:
        # A response that is not streamed sends no byte until it is complete, so
        # the idle timeout is the deadline.
        return self._components.forwarder.forward(
            route.member,
            request,
            idle_timeout_seconds=settings.deadline_seconds,
        )

    def _make_session_name(self) -> str:
        number = next(self._session_numbers)
        return name_call_session(
            self._components.node, self._components.boot, number
        )


def _read_service_path(request: Request) -> str:
    path = request.path_parameters['path']
    return f'{path}?{urlencode(request.query)}' if request.query else path


def _derive_program_name(organisation: str, key: str) -> str:
    digest = xxhash.xxh3_128_hexdigest(f'{organisation}\n{key}'.encode())
    return f'key-{digest}'


def _build_chat_response(call: ChatCall, stream: AnswerStream) -> Response:
    headers = build_call_headers(call.fields.program, stream)
    if call.chat.is_streaming:
        return build_event_response(
            stream, offset=call.fields.offset, headers=headers
        )
    return build_completion_response(stream, headers=headers)
