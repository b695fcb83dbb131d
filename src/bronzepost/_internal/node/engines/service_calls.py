"""Run calls to plain services and tools, some of which must not be repeated."""

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
from bronzepost._internal.node.callers.answer_stream import AnswerStream
from bronzepost._internal.node.callers.call_settings import CallSettings
from bronzepost._internal.node.callers.caller_request import CallerFields
from bronzepost._internal.node.callers.refusals import refuse_deadline_passed
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.engines.backend_directory import BackendDirectory
from bronzepost._internal.node.engines.dispatch import (
    RetryLimits,
    check_retry,
    dispatch_call,
)
from bronzepost._internal.node.engines.service_client import (
    MAX_STORED_BODY_BYTES,
    ServiceAnswer,
    call_service,
)
from bronzepost._internal.node.ledger.ledger_request import build_ledger_request
from bronzepost._internal.node.programs.program_calls import (
    OwnedCall,
    ProgramCalls,
)
from bronzepost._internal.telemetry.spans import Span, Tracer

MAX_ATTEMPTS: Final = 2
MIN_TIMEOUT_SECONDS: Final = 0.001


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """A call to a plain service with the settings that apply to it."""

    path: str
    body: bytes
    fields: CallerFields
    settings: CallSettings
    arrived_at: float
    span: Span

    @property
    def deadline_at(self) -> float:
        """Return the deadline on the node's clock."""
        return self.arrived_at + self.settings.deadline_seconds


class ServiceCalls:
    """Runs calls to plain services."""

    def __init__(
        self,
        *,
        program_calls: ProgramCalls,
        directory: BackendDirectory,
        retry_budget: RetryBudget,
        tracer: Tracer,
        availability_zone: str,
    ) -> None:
        """Use the retry budget that all calls of the node share."""
        self._tracer = tracer
        self._program_calls = program_calls
        self._directory = directory
        self._retry_budget = retry_budget
        self._availability_zone = availability_zone

    def begin_owned(self, journal: Journal, call: ServiceCall) -> AnswerStream:
        """Start a call of a program that this node owns."""
        request = build_ledger_request(
            call.fields,
            call.settings,
            worst_case=call.settings.call_price,
            path=call.path,
        )
        stream = self._program_calls.begin(
            journal,
            request,
            deadline_at=call.deadline_at,
            run_call=lambda owned: self._run_owned(owned, call),
        )
        stream.when_finished(call.span.end)
        return stream

    def begin_without_program(
        self, call: ServiceCall, call_id: str
    ) -> AnswerStream:
        """Start a call without a program; it leaves no record on the log."""
        stream = AnswerStream()
        stream.when_finished(call.span.end)
        gevent.spawn(self._run_without_program, call, call_id, stream)
        return stream

    def _run_owned(self, owned: OwnedCall, call: ServiceCall) -> None:
        self._program_calls.wait_until_durable(owned)
        try:
            answer = self._send(call, owned.call_id)
        except RefusedError as refusal:
            self._program_calls.record_failure(owned, refusal)
            raise
        program = owned.journal.view.programs_by_id[owned.call.program]
        spent = (
            program.spent + call.settings.call_price + owned.unrecorded_units
        )
        record = records.Outcome(
            **owned.record_fields(),  # type: ignore[arg-type]
            intent_id=owned.proceed.intent_id,
            status=answer.status,
            body=answer.body[:MAX_STORED_BODY_BYTES].decode(errors='replace'),
            spent=spent,
            key=owned.call.key,
        )
        owned.stream.status = answer.status
        self._program_calls.settle(owned, record)
        owned.stream.append(answer.body)
        owned.stream.finish()

    def _run_without_program(
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
        self._retry_budget.credit_call()
        retry_limits = RetryLimits(
            may_repeat=not call.settings.non_idempotent,
            max_attempts=MAX_ATTEMPTS,
            deadline_at=call.deadline_at,
        )
        attempts = 0
        while True:
            attempts += 1
            try:
                return self._attempt(call, f'{request_id}:{attempts}')
            except ExchangeError as error:
                check_retry(self._retry_budget, retry_limits, attempts, error)

    def _attempt(self, call: ServiceCall, request_id: str) -> ServiceAnswer:
        request = CallRequest(
            program_id=call.fields.program or request_id,
            service=call.settings.service,
            availability_zone=self._availability_zone,
            importance=call.settings.importance,
        )
        dispatch_context = dispatch_call(
            self._directory,
            policy=call.settings.policy,
            request=request,
            call_id=request_id,
            tracer=self._tracer,
            traceparent=call.span.traceparent,
        )
        # A tool may send nothing for a long time, so only the deadline of the
        # call limits the wait.
        timeout = max(MIN_TIMEOUT_SECONDS, call.deadline_at - read_clock())
        deadline_refusal = refuse_deadline_passed(
            'service call', RunState.UNKNOWN
        )
        with (
            dispatch_context as dispatched,
            gevent.Timeout(timeout, deadline_refusal),
        ):
            return call_service(
                self._directory.client_for(dispatched.server_id, timeout),
                call.path,
                body=call.body,
                request_id=request_id,
                headers={'traceparent': dispatched.traceparent},
            )
