"""Run chat completions, with or without a program."""

import dataclasses
from collections.abc import Callable
from typing import Any, Final

import gevent

from bronzepost._internal.core.history import (
    HistoryPoint,
    extend_history,
    find_new_messages,
)
from bronzepost._internal.core.ledger import calls, records
from bronzepost._internal.core.ledger.journal import Journal
from bronzepost._internal.core.scheduling.actions import Admitted
from bronzepost._internal.core.scheduling.admission import admit
from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.core.scheduling.events import ProgramRefused
from bronzepost._internal.core.scheduling.policies import (
    Policy,
    ProgramAware,
)
from bronzepost._internal.core.scheduling.tables import (
    CallRequest,
    find_root,
)
from bronzepost._internal.exceptions import RefusedError, RunState
from bronzepost._internal.node.callers.answer_stream import AnswerStream
from bronzepost._internal.node.callers.call_settings import CallSettings
from bronzepost._internal.node.callers.caller_request import CallerFields
from bronzepost._internal.node.callers.chat_request import (
    ChatRequest,
    count_prompt_tokens,
)
from bronzepost._internal.node.callers.refusals import (
    refuse_admission,
    refuse_deadline_passed,
    refuse_history_mismatch,
    refuse_over_budget,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.engines.backend_directory import BackendDirectory
from bronzepost._internal.node.engines.dispatch import RetryLimits
from bronzepost._internal.node.engines.engine_memory import EngineMemory
from bronzepost._internal.node.engines.model_call import (
    MAX_ATTEMPTS,
    ModelAnswer,
    ModelCall,
    ModelCallRunner,
)
from bronzepost._internal.node.ledger.ledger_request import build_ledger_request
from bronzepost._internal.node.pauses import Pauses
from bronzepost._internal.node.programs.program_calls import (
    OwnedCall,
    ProgramCalls,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.spans import Span

# The scheduler compares prompt sizes with the token counts of the engines. The
# upper bound for the budget, by default one token per byte, is about four
# times as high.
TYPICAL_BYTES_PER_TOKEN: Final = 4.0

_REMOVED_FIELDS: Final = frozenset(('metadata', 'stream', 'stream_options'))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChatCall:
    """A chat completion with the settings that apply to it."""

    chat: ChatRequest
    fields: CallerFields
    settings: CallSettings
    arrived_at: float
    span: Span

    @property
    def deadline_at(self) -> float:
        """Return the deadline on the node's clock."""
        return self.arrived_at + self.settings.deadline_seconds

    @property
    def max_prompt_tokens(self) -> int:
        """Return an upper bound of the prompt's tokens, for the budget."""
        return count_prompt_tokens(
            self.chat.messages, self.settings.bytes_per_token
        )

    @property
    def estimated_prompt_tokens(self) -> int:
        """Return an estimate of the prompt's tokens, for the scheduler."""
        return count_prompt_tokens(self.chat.messages, TYPICAL_BYTES_PER_TOKEN)

    @property
    def worst_case(self) -> int:
        """Return the maximum number of units that one run can spend."""
        return self.max_prompt_tokens + self.chat.max_output_tokens

    def build_engine_body(self) -> dict[str, Any]:
        """Return the body for the engine, with a limit on the output."""
        body = {
            name: value
            for name, value in self.chat.body.items()
            if name not in _REMOVED_FIELDS
        }
        body['stream'] = True
        body['stream_options'] = {'include_usage': True}
        limit_field = 'max_completion_tokens'
        if limit_field not in body:
            limit_field = 'max_tokens'
        body[limit_field] = self.chat.max_output_tokens
        return body


class ChatCalls:
    """Runs chat completions."""

    def __init__(
        self,
        *,
        program_calls: ProgramCalls,
        model_call_runner: ModelCallRunner,
        directory: BackendDirectory,
        engine_memory: EngineMemory,
        pauses: Pauses,
        find_memory_share: Callable[[], float],
        availability_zone: str,
    ) -> None:
        """Use the components that admit, run and record calls.

        ``find_memory_share`` returns the share of the engines' memory that
        this node may use.
        """
        self._program_calls = program_calls
        self._model_call_runner = model_call_runner
        self._directory = directory
        self._engine_memory = engine_memory
        self._pauses = pauses
        self._find_memory_share = find_memory_share
        self._availability_zone = availability_zone

    def begin_owned(self, journal: Journal, call: ChatCall) -> AnswerStream:
        """Start a call of a program that this node owns."""
        request = build_ledger_request(
            call.fields, call.settings, worst_case=call.worst_case
        )
        if not self._is_repeated(journal, request):
            self._pauses.end(request.program)
            is_live = _is_live(journal, request.program)
            self._admit(call, is_live=is_live)
            _check_history(journal, call)
        stream = self._program_calls.begin(
            journal,
            request,
            deadline_at=call.deadline_at,
            run_call=lambda owned: self._run_owned(owned, call),
        )
        stream.when_finished(call.span.end)
        return stream

    def begin_without_program(
        self, call: ChatCall, call_id: str
    ) -> AnswerStream:
        """Start a call without a program.

        It leaves no record on the log, since no later call can refer to it.
        """
        self._admit(call)
        if call.worst_case > call.settings.budget:
            raise refuse_over_budget(call.worst_case, call.settings.budget)
        stream = AnswerStream()
        stream.when_finished(call.span.end)
        gevent.spawn(self._run_without_program, call, call_id, stream)
        return stream

    def _is_repeated(
        self, journal: Journal, request: calls.CallRequest
    ) -> bool:
        program = journal.view.programs_by_id.get(request.program)
        if program is None:
            return False
        if request.sequence and request.sequence <= program.sequence:
            return True
        running = self._program_calls.running_by_program.get(request.program)
        if running is not None:
            return True
        known = journal.view.find_call_by_key(request.program, request.key)
        return bool(request.key) and known is not None

    def _admit(self, call: ChatCall, *, is_live: bool = False) -> None:
        # A program that started on another node is not in this node's tables,
        # but it has been admitted: its call needs a backend server, no new
        # slot.
        policy = Policy() if is_live else call.settings.policy
        if isinstance(policy, ProgramAware):
            # Other nodes admit programs to the same backend servers.
            memory_share = self._find_memory_share()
            policy = dataclasses.replace(policy, memory_share=memory_share)
        request = self._scheduling_request(call)
        tables = self._directory.tables
        verdict = admit(policy, tables, request, read_clock())
        if isinstance(verdict, Admitted):
            return
        refused_event = ProgramRefused(
            at=read_clock(),
            program_id=request.program_id,
            service=request.service,
            retry_after_seconds=verdict.retry_after_seconds,
            prompt_tokens=request.prompt_tokens,
        )
        apply_event(tables, refused_event)
        raise refuse_admission(verdict, request.service, request.model)

    def _scheduling_request(
        self, call: ChatCall, session: str = ''
    ) -> CallRequest:
        return CallRequest(
            program_id=session or call.fields.program,
            service=call.settings.service,
            availability_zone=self._availability_zone,
            model=call.chat.model,
            prompt_tokens=call.estimated_prompt_tokens,
            max_output_tokens=call.chat.max_output_tokens,
            importance=call.settings.importance,
        )

    def _run_owned(self, owned: OwnedCall, call: ChatCall) -> None:
        # Check the history again: the call may have waited for the previous
        # one, which changed it.
        try:
            new_messages, answer = self._check_and_run(owned, call)
        except RefusedError as refusal:
            self._program_calls.record_failure(owned, refusal)
            raise
        record = _build_turn(owned, call, answer, new_messages)
        self._program_calls.settle(owned, record)
        self._pauses.begin(
            owned.call.program, record.answer, call.settings.policy
        )
        owned.stream.append(answer.final_chunk)
        owned.stream.finish()

    def _check_and_run(
        self, owned: OwnedCall, call: ChatCall
    ) -> tuple[list[Any], ModelAnswer]:
        new_messages = _check_history(owned.journal, call)
        self._program_calls.wait_until_durable(owned)
        return new_messages, self._run_model(owned, call)

    def _run_model(self, owned: OwnedCall, call: ChatCall) -> ModelAnswer:
        program = owned.journal.view.programs_by_id[owned.call.program]
        affordable_attempts = program.allowance // max(1, call.worst_case)
        model_call = ModelCall(
            call_id=owned.call_id,
            request=self._scheduling_request(call),
            policy=call.settings.policy,
            body=call.build_engine_body(),
            retry_limits=_build_retry_limits(call, affordable_attempts),
            upstream=call.fields.upstream,
            traceparent=call.span.traceparent,
        )
        return self._run_until_deadline(model_call, owned.stream)

    def _run_until_deadline(
        self, model_call: ModelCall, stream: AnswerStream
    ) -> ModelAnswer:
        timeout = max(0, model_call.retry_limits.deadline_at - read_clock())
        deadline_refusal = refuse_deadline_passed('model call', RunState.RAN)
        with gevent.Timeout(timeout, deadline_refusal):
            return self._model_call_runner.run(model_call, stream)

    def _run_without_program(
        self, call: ChatCall, call_id: str, stream: AnswerStream
    ) -> None:
        model_call = ModelCall(
            call_id=call_id,
            request=self._scheduling_request(call, session=call_id),
            policy=call.settings.policy,
            body=call.build_engine_body(),
            retry_limits=_build_retry_limits(call, MAX_ATTEMPTS),
            traceparent=call.span.traceparent,
        )
        self._engine_memory.live_calls.add(call_id)
        try:
            answer = self._run_until_deadline(model_call, stream)
        except RefusedError as refusal:
            stream.fail(refusal)
        else:
            stream.append(answer.final_chunk)
            stream.finish()
        self._engine_memory.live_calls.discard(call_id)
        self._engine_memory.release_ended(call_id)


def _is_live(journal: Journal, program: str) -> bool:
    root = journal.view.programs_by_id.get(find_root(program))
    return root is not None and not root.ended


def _check_history(journal: Journal, call: ChatCall) -> list[Any]:
    """Return the new messages; refuse a call that lacks earlier ones."""
    program = journal.view.programs_by_id.get(call.fields.program)
    if program is None:
        return list(call.chat.messages)
    point = HistoryPoint(digest=program.digest, count=program.message_count)
    new_messages = find_new_messages(point, call.chat.messages)
    if new_messages is None:
        emit(LogEvent.HISTORY_MISMATCH, program=program.program)
        raise refuse_history_mismatch(program)
    return new_messages


def _build_retry_limits(
    call: ChatCall, affordable_attempts: int
) -> RetryLimits:
    return RetryLimits(
        may_repeat=not call.settings.non_idempotent,
        max_attempts=min(MAX_ATTEMPTS, affordable_attempts),
        deadline_at=call.deadline_at,
    )


def _build_turn(
    owned: OwnedCall,
    call: ChatCall,
    answer: ModelAnswer,
    new_messages: list[Any],
) -> records.TurnCompleted:
    program = owned.journal.view.programs_by_id[owned.call.program]
    message = answer.build_message()
    before = HistoryPoint(digest=program.digest, count=program.message_count)
    after = extend_history(before, [*new_messages, message])
    usage = answer.usage
    failed_attempts_units = (answer.attempts - 1) * call.worst_case
    spent = (
        usage.prompt_tokens + usage.completion_tokens + failed_attempts_units
    )
    return records.TurnCompleted(
        **owned.record_fields(),  # type: ignore[arg-type]
        messages=new_messages,
        answer=message,
        digest=after.digest,
        message_count=after.count,
        spent=program.spent + spent + owned.unrecorded_units,
        key=owned.call.key,
        intent_id=owned.proceed.intent_id,
    )
