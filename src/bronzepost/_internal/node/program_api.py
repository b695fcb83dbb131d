"""What callers can ask about programs, endpoints and models."""

from http import HTTPStatus
from typing import Final

from bronzepost._internal.core.ledger import calls
from bronzepost._internal.core.ledger.journal import Journal
from bronzepost._internal.core.ownership import ForwardTo
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.node.answer_stream import AnswerStream
from bronzepost._internal.node.caller_request import PROGRAM_PATTERN
from bronzepost._internal.node.forwarding import FORWARD_IDLE_TIMEOUT_SECONDS
from bronzepost._internal.node.parts import CallParts
from bronzepost._internal.node.program_calls import find_answer
from bronzepost._internal.node.responses import (
    build_call_headers,
    build_event_response,
)
from bronzepost._internal.node.web import (
    Request,
    Response,
    Route,
    answer_json,
    refuse_parameter,
)

_PROGRAM_PATH: Final = '/v1/programs/(?P<program>[^/]+)'
ENDED_BY_CALLER: Final = 'ended by its caller'


class ProgramApi:
    """Answer callers about programs, endpoints and models."""

    def __init__(self, *, parts: CallParts) -> None:
        """Use the parts of the node that calls go through."""
        self._parts = parts

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of this part of the caller port."""
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
                handler=self.resume,
            ),
            Route(
                method='POST',
                pattern=f'{_PROGRAM_PATH}/end',
                handler=self.end,
            ),
        )

    def resume(self, request: Request) -> Response:
        """Answer with a call's stream from an offset on."""
        program = _read_program(request)
        offset = request.query.get('offset', '0')
        if not offset.isdecimal():
            raise refuse_parameter('offset', 'not a whole number')
        journal, route = self._parts.partitions.find_route(program)
        if isinstance(route, ForwardTo):
            return self._parts.forwarder.forward(
                route.member,
                request,
                idle_timeout_seconds=FORWARD_IDLE_TIMEOUT_SECONDS,
            )
        sequence = int(request.path_parts['sequence'])
        stream = self._find_stream(journal, program, sequence)
        return build_event_response(
            stream,
            offset=int(offset),
            headers=build_call_headers(program, stream),
        )

    def end(self, request: Request) -> Response:
        """End a program and release its engine memory."""
        program = _read_program(request)
        journal, route = self._parts.partitions.find_route(program)
        if isinstance(route, ForwardTo):
            return self._parts.forwarder.forward(
                route.member,
                request,
                idle_timeout_seconds=FORWARD_IDLE_TIMEOUT_SECONDS,
            )
        ended = self._parts.ends.end(journal, program, ENDED_BY_CALLER)
        if ended is None:
            self._parts.programs.check_owner(journal, program)
            raise RefusedError(
                f'program {program} is not known',
                code='unknown_program',
                status=HTTPStatus.NOT_FOUND,
                step='end program',
            )
        return answer_json(ended)

    def list_models(self, request: Request) -> Response:
        """Answer with the models that runners serve."""
        models = [
            {'id': model, 'object': 'model', 'created': 0, 'owned_by': service}
            for model, service in self._parts.list_models()
        ]
        return answer_json({'object': 'list', 'data': models})

    def list_endpoints(self, request: Request) -> Response:
        """Answer with the addresses that a caller should use."""
        return answer_json(
            self._parts.list_endpoints(request.query.get('program', ''))
        )

    def _find_stream(
        self, journal: Journal, program: str, sequence: int
    ) -> AnswerStream:
        kept = self._parts.programs.answers.get(program, sequence)
        if kept is not None:
            return kept
        decision = calls.find_call(journal, program, sequence)
        if isinstance(decision, calls.Refuse):
            self._parts.programs.check_owner(journal, program)
        request = calls.CallRequest(
            program=program,
            sequence=sequence,
            key='',
            organisation='',
            service='',
            worst_case=0,
            budget=0,
        )
        return find_answer(decision, self._parts.programs, journal, request)


def _read_program(request: Request) -> str:
    program = request.path_parts['program']
    if not PROGRAM_PATTERN.fullmatch(program):
        raise refuse_parameter('program', 'not the name of a program')
    return program
