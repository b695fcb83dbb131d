"""Handlers of the caller port for programs, endpoints and models."""

from http import HTTPStatus
from typing import Final

from bronzepost._internal.core.ledger import calls
from bronzepost._internal.core.ledger.journal import Journal
from bronzepost._internal.core.ownership import ForwardTo
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.node.callers.answer_stream import AnswerStream
from bronzepost._internal.node.callers.caller_api_components import (
    CallerApiComponents,
)
from bronzepost._internal.node.callers.caller_request import PROGRAM_PATTERN
from bronzepost._internal.node.callers.responses import (
    build_call_headers,
    build_event_response,
)
from bronzepost._internal.node.callers.web import (
    Request,
    Response,
    Route,
    build_json_response,
    refuse_parameter,
)
from bronzepost._internal.node.engines.forwarding import (
    FORWARD_IDLE_TIMEOUT_SECONDS,
)
from bronzepost._internal.node.programs.program_calls import find_answer

_PROGRAM_PATH: Final = '/v1/programs/(?P<program>[^/]+)'
ENDED_BY_CALLER: Final = 'ended by its caller'


class ProgramApi:
    """Handles requests of callers for programs, endpoints and models."""

    def __init__(self, *, components: CallerApiComponents) -> None:
        """Use the node's components for calls."""
        self._components = components

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of these requests."""
        return (
            Route(method='GET', pattern='/v1/models', handler=self.list_models),
            Route(
                method='GET',
                pattern='/v1/endpoints',
                handler=self.list_endpoints,
            ),
            Route(
                method='GET',
                pattern=f'{_PROGRAM_PATH}/calls/(?P<sequence>[0-9]{{1,9}})',
                handler=self.resume_stream,
            ),
            Route(
                method='POST',
                pattern=f'{_PROGRAM_PATH}/end',
                handler=self.end_program,
            ),
        )

    def resume_stream(self, request: Request) -> Response:
        """Return a call's event stream from an offset."""
        program = _read_program(request)
        offset = request.query.get('offset', '0')
        if not offset.isdecimal():
            raise refuse_parameter('offset', 'not a whole number')
        journal, route = self._components.partitions.find_route(program)
        if isinstance(route, ForwardTo):
            return self._components.forwarder.forward(
                route.member,
                request,
                idle_timeout_seconds=FORWARD_IDLE_TIMEOUT_SECONDS,
            )
        sequence = int(request.path_parameters['sequence'])
        stream = self._find_stream(journal, program, sequence)
        return build_event_response(
            stream,
            offset=int(offset),
            headers=build_call_headers(program, stream),
        )

    def end_program(self, request: Request) -> Response:
        """End a program and release its sessions in engines."""
        program = _read_program(request)
        journal, route = self._components.partitions.find_route(program)
        if isinstance(route, ForwardTo):
            return self._components.forwarder.forward(
                route.member,
                request,
                idle_timeout_seconds=FORWARD_IDLE_TIMEOUT_SECONDS,
            )
        ended = self._components.program_ends.end(
            journal, program, ENDED_BY_CALLER
        )
        if ended is None:
            self._components.program_calls.check_owner(journal, program)
            raise RefusedError(
                f'program {program} is not known',
                code='unknown_program',
                status=HTTPStatus.NOT_FOUND,
                step='end program',
            )
        return build_json_response(ended)

    def list_models(self, request: Request) -> Response:
        """Return the models that backend servers serve."""
        models = [
            {'id': model, 'object': 'model', 'created': 0, 'owned_by': service}
            for model, service in self._components.list_models()
        ]
        return build_json_response({'object': 'list', 'data': models})

    def list_endpoints(self, request: Request) -> Response:
        """Return the addresses that a caller should try, in this order."""
        return build_json_response(
            self._components.list_endpoints(request.query.get('program', ''))
        )

    def _find_stream(
        self, journal: Journal, program: str, sequence: int
    ) -> AnswerStream:
        cached = self._components.program_calls.answers.get(program, sequence)
        if cached is not None:
            return cached
        decision = calls.find_call(journal, program, sequence)
        if isinstance(decision, calls.Refuse):
            self._components.program_calls.check_owner(journal, program)
        request = calls.CallRequest(
            program=program,
            sequence=sequence,
            key='',
            organisation='',
            service='',
            worst_case=0,
            budget=0,
        )
        return find_answer(
            decision, self._components.program_calls, journal, request
        )


def _read_program(request: Request) -> str:
    program = request.path_parameters['program']
    if not PROGRAM_PATTERN.fullmatch(program):
        raise refuse_parameter('program', 'not the name of a program')
    return program
