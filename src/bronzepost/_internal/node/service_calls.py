"""Calls to plain services and tools, some of which must not be repeated."""

import dataclasses
from typing import Final

import gevent

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.journal import Journal
from bronzepost._internal.core.retry_budget import RetryBudget
from bronzepost._internal.core.scheduling.tables import CallRequest
from bronzepost._internal.exceptions import (
    ExchangeError,
    RefusedError,
    RunState,
)
from bronzepost._internal.node.answer_stream import AnswerStream
from bronzepost._internal.node.backend_directory import BackendDirectory
from bronzepost._internal.node.call_defaults import CallTerms
from bronzepost._internal.node.caller_request import CallerFields
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.dispatch import (
    RetryTerms,
    check_retry,
    dispatch_call,
)
from bronzepost._internal.node.owned_request import build_request
from bronzepost._internal.node.program_calls import OwnedCall, ProgramCalls
from bronzepost._internal.node.refusals import refuse_deadline_passed
from bronzepost._internal.node.service_client import (
    MAX_STORED_BODY,
    ServiceAnswer,
    call_service,
)
from bronzepost._internal.telemetry.spans import Span, Tracer

MAX_ATTEMPTS: Final = 2
MIN_SECONDS: Final = 0.001


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """A call to a plain service with the terms on which it runs."""

    path: str
    body: bytes
    fields: CallerFields
    terms: CallTerms
    arrived_at: float
    span: Span

    @property
    def deadline_at(self) -> float:
        """Return the deadline on the node's clock."""
        return self.arrived_at + self.terms.deadline_seconds


class ServiceCalls:
    """Run calls to plain services."""

    def __init__(
        self,
        *,
        programs: ProgramCalls,
        directory: BackendDirectory,
        retries: RetryBudget,
        tracer: Tracer,
        availability_zone: str,
    ) -> None:
        """Use the node's programs and backend servers."""
        self._tracer = tracer
        self._programs = programs
        self._directory = directory
        self._retries = retries
        self._availability_zone = availability_zone

    def begin_owned(self, journal: Journal, call: ServiceCall) -> AnswerStream:
        """Start a call of a program that this node owns."""
        request = build_request(
            call.fields,
            call.terms,
            worst_case=call.terms.call_price,
            path=call.path,
        )
        stream = self._programs.begin(
            journal,
            request,
            deadline_at=call.deadline_at,
            work=lambda owned: self._run_owned(owned, call),
        )
        stream.when_finished(call.span.end)
        return stream

    def begin_alone(self, call: ServiceCall, call_id: str) -> AnswerStream:
        """Start a call without a program; it is sent once if it must be."""
        stream = AnswerStream()
        stream.when_finished(call.span.end)
        gevent.spawn(self._run_alone, call, call_id, stream)
        return stream

    def _run_owned(self, owned: OwnedCall, call: ServiceCall) -> None:
        self._programs.wait_durable(owned)
        try:
            answer = self._send(call, owned.call_id)
        except RefusedError as refusal:
            self._programs.give_up(owned, refusal)
            raise
        program = owned.journal.view.programs_by_id[owned.call.program]
        spent = program.spent + call.terms.call_price + owned.lost_units
        record = records.Outcome(
            **owned.record_fields(),  # type: ignore[arg-type]
            intent_id=owned.proceed.intent_id,
            status=answer.status,
            body=answer.body[:MAX_STORED_BODY].decode(errors='replace'),
            spent=spent,
            key=owned.call.key,
        )
        owned.stream.status = answer.status
        self._programs.settle(owned, record)
        owned.stream.append(answer.body)
        owned.stream.finish()

    def _run_alone(
        self, call: ServiceCall, call_id: str, stream: AnswerStream
    ) -> None:
        try:
            answer = self._send(call, call_id)
        except RefusedError as refusal:
            stream.fail(refusal)
            return
        stream.status = answer.status
        stream.append(answer.body)
        stream.finish()

    def _send(self, call: ServiceCall, request_id: str) -> ServiceAnswer:
        self._retries.credit_call()
        terms = RetryTerms(
            may_repeat=not call.terms.non_idempotent,
            max_attempts=MAX_ATTEMPTS,
            deadline_at=call.deadline_at,
        )
        attempts = 0
        while True:
            attempts += 1
            try:
                return self._attempt(call, f'{request_id}:{attempts}')
            except ExchangeError as error:
                check_retry(self._retries, terms, attempts, error)

    def _attempt(self, call: ServiceCall, request_id: str) -> ServiceAnswer:
        request = CallRequest(
            program_id=call.fields.program or request_id,
            service=call.terms.service,
            availability_zone=self._availability_zone,
            importance=call.terms.importance,
        )
        dispatched_call = dispatch_call(
            self._directory,
            policy=call.terms.policy,
            request=request,
            call_id=request_id,
            tracer=self._tracer,
            traceparent=call.span.traceparent,
        )
        # A tool may take long and says nothing meanwhile, so only the
        # deadline bounds the silence.
        seconds = max(MIN_SECONDS, call.deadline_at - read_clock())
        late = refuse_deadline_passed('service call', RunState.UNKNOWN)
        with dispatched_call as dispatched, gevent.Timeout(seconds, late):
            return call_service(
                self._directory.peer_of(dispatched.server_id, seconds),
                call.path,
                body=call.body,
                request_id=request_id,
                headers={'traceparent': dispatched.traceparent},
            )
