"""Chat completions: of owned programs, and of callers without a program."""

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
from bronzepost._internal.node.answer_stream import AnswerStream
from bronzepost._internal.node.backend_directory import BackendDirectory
from bronzepost._internal.node.call_defaults import CallTerms
from bronzepost._internal.node.caller_request import CallerFields
from bronzepost._internal.node.chat_request import (
    ChatRequest,
    count_prompt_bound,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.dispatch import RetryTerms
from bronzepost._internal.node.engine_memory import EngineMemory
from bronzepost._internal.node.model_call import (
    MAX_ATTEMPTS,
    ModelAnswer,
    ModelCall,
    ModelCallRunner,
)
from bronzepost._internal.node.owned_request import build_request
from bronzepost._internal.node.pauses import Pauses
from bronzepost._internal.node.program_calls import OwnedCall, ProgramCalls
from bronzepost._internal.node.refusals import (
    refuse_admission,
    refuse_deadline_passed,
    refuse_history_mismatch,
    refuse_over_budget,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.spans import Span

# The scheduler compares prompts with the tokens that engines count. The bound
# for the budget, one token a byte by default, would be about four times that.
TYPICAL_BYTES_PER_TOKEN: Final = 4.0

_PASSED_OVER: Final = frozenset(('metadata', 'stream', 'stream_options'))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChatCall:
    """A chat completion with the terms on which it runs."""

    chat: ChatRequest
    fields: CallerFields
    terms: CallTerms
    arrived_at: float
    span: Span

    @property
    def deadline_at(self) -> float:
        """Return the deadline on the node's clock."""
        return self.arrived_at + self.terms.deadline_seconds

    @property
    def prompt_bound(self) -> int:
        """Return the most tokens that the prompt can be."""
        return count_prompt_bound(
            self.chat.messages, self.terms.bytes_per_token
        )

    @property
    def prompt_estimate(self) -> int:
        """Return about how many tokens the prompt is, for the scheduler."""
        return count_prompt_bound(self.chat.messages, TYPICAL_BYTES_PER_TOKEN)

    @property
    def worst_case(self) -> int:
        """Return the most units that one run can spend."""
        return self.prompt_bound + self.chat.max_output_tokens

    def engine_body(self) -> dict[str, Any]:
        """Return the body for the engine, with the output bounded."""
        body = {
            name: value
            for name, value in self.chat.body.items()
            if name not in _PASSED_OVER
        }
        body['stream'] = True
        body['stream_options'] = {'include_usage': True}
        limit = 'max_completion_tokens'
        if limit not in body:
            limit = 'max_tokens'
        body[limit] = self.chat.max_output_tokens
        return body


class ChatCalls:
    """Run chat completions."""

    def __init__(
        self,
        *,
        programs: ProgramCalls,
        runner: ModelCallRunner,
        directory: BackendDirectory,
        memory: EngineMemory,
        pauses: Pauses,
        find_memory_share: Callable[[], float],
        availability_zone: str,
    ) -> None:
        """Use the node's programs and runners."""
        self._programs = programs
        self._runner = runner
        self._directory = directory
        self._memory = memory
        self._pauses = pauses
        self._find_memory_share = find_memory_share
        self._availability_zone = availability_zone

    def begin_owned(self, journal: Journal, call: ChatCall) -> AnswerStream:
        """Start a call of a program that this node owns."""
        request = build_request(
            call.fields, call.terms, worst_case=call.worst_case
        )
        if not self._is_repeated(journal, request):
            self._pauses.end(request.program)
            is_live = _is_live(journal, request.program)
            self._admit(call, is_live=is_live)
            _check_history(journal, call)
        stream = self._programs.begin(
            journal,
            request,
            deadline_at=call.deadline_at,
            work=lambda owned: self._run_owned(owned, call),
        )
        stream.when_finished(call.span.end)
        return stream

    def begin_alone(self, call: ChatCall, call_id: str) -> AnswerStream:
        """Start a call without a program; it leaves no record.

        Nothing can refer to it later, so nothing about it has to last.
        """
        self._admit(call)
        if call.worst_case > call.terms.budget:
            raise refuse_over_budget(call.worst_case, call.terms.budget)
        stream = AnswerStream()
        stream.when_finished(call.span.end)
        gevent.spawn(self._run_alone, call, call_id, stream)
        return stream

    def _is_repeated(
        self, journal: Journal, request: calls.CallRequest
    ) -> bool:
        program = journal.view.programs_by_id.get(request.program)
        if program is None:
            return False
        if request.sequence and request.sequence <= program.sequence:
            return True
        running = self._programs.running_by_program.get(request.program)
        if running is not None:
            return True
        known = journal.view.find_call_by_key(request.program, request.key)
        return bool(request.key) and known is not None

    def _admit(self, call: ChatCall, *, is_live: bool = False) -> None:
        # A program that another node began is not in this node's tables, but
        # it is in progress: it only needs a runner, not a slot.
        policy = Policy() if is_live else call.terms.policy
        if isinstance(policy, ProgramAware):
            # Other nodes admit programs to the same runners.
            share = self._find_memory_share()
            policy = dataclasses.replace(policy, memory_share=share)
        request = self._scheduling_request(call)
        tables = self._directory.tables
        verdict = admit(policy, tables, request, read_clock())
        if isinstance(verdict, Admitted):
            return
        refused = ProgramRefused(
            at=read_clock(),
            program_id=request.program_id,
            service=request.service,
            retry_after_seconds=verdict.retry_after_seconds,
            prompt_tokens=request.prompt_tokens,
        )
        apply_event(tables, refused)
        raise refuse_admission(verdict, request.service, request.model)

    def _scheduling_request(
        self, call: ChatCall, session: str = ''
    ) -> CallRequest:
        return CallRequest(
            program_id=session or call.fields.program,
            service=call.terms.service,
            availability_zone=self._availability_zone,
            model=call.chat.model,
            prompt_tokens=call.prompt_estimate,
            max_output_tokens=call.chat.max_output_tokens,
            importance=call.terms.importance,
        )

    def _run_owned(self, owned: OwnedCall, call: ChatCall) -> None:
        # The messages are compared again: the call may have waited for the
        # one before it, which changed the history.
        try:
            new_messages, answer = self._check_and_run(owned, call)
        except RefusedError as refusal:
            self._programs.give_up(owned, refusal)
            raise
        record = _build_turn(owned, call, answer, new_messages)
        self._programs.settle(owned, record)
        self._pauses.begin(owned.call.program, record.answer, call.terms.policy)
        owned.stream.append(answer.final_chunk)
        owned.stream.finish()

    def _check_and_run(
        self, owned: OwnedCall, call: ChatCall
    ) -> tuple[list[Any], ModelAnswer]:
        new_messages = _check_history(owned.journal, call)
        self._programs.wait_durable(owned)
        return new_messages, self._run_model(owned, call)

    def _run_model(self, owned: OwnedCall, call: ChatCall) -> ModelAnswer:
        program = owned.journal.view.programs_by_id[owned.call.program]
        affordable = program.allowance // max(1, call.worst_case)
        model_call = ModelCall(
            call_id=owned.call_id,
            request=self._scheduling_request(call),
            policy=call.terms.policy,
            body=call.engine_body(),
            retry_terms=_retry_terms(call, affordable),
            upstream=call.fields.upstream,
            traceparent=call.span.traceparent,
        )
        return self._run_until_deadline(model_call, owned.stream)

    def _run_until_deadline(
        self, model_call: ModelCall, stream: AnswerStream
    ) -> ModelAnswer:
        seconds = max(0, model_call.retry_terms.deadline_at - read_clock())
        late = refuse_deadline_passed('model call', RunState.RAN)
        with gevent.Timeout(seconds, late):
            return self._runner.run(model_call, stream)

    def _run_alone(
        self, call: ChatCall, call_id: str, stream: AnswerStream
    ) -> None:
        model_call = ModelCall(
            call_id=call_id,
            request=self._scheduling_request(call, session=call_id),
            policy=call.terms.policy,
            body=call.engine_body(),
            retry_terms=_retry_terms(call, MAX_ATTEMPTS),
            traceparent=call.span.traceparent,
        )
        self._memory.live_calls.add(call_id)
        try:
            answer = self._run_until_deadline(model_call, stream)
        except RefusedError as refusal:
            stream.fail(refusal)
        else:
            stream.append(answer.final_chunk)
            stream.finish()
        self._memory.live_calls.discard(call_id)
        self._memory.release_ended(call_id)


def _is_live(journal: Journal, program: str) -> bool:
    root = journal.view.programs_by_id.get(find_root(program))
    return root is not None and not root.ended


def _check_history(journal: Journal, call: ChatCall) -> list[Any]:
    """Return the messages that are new, or refuse a call that lacks some."""
    program = journal.view.programs_by_id.get(call.fields.program)
    if program is None:
        return list(call.chat.messages)
    point = HistoryPoint(digest=program.digest, count=program.message_count)
    new_messages = find_new_messages(point, call.chat.messages)
    if new_messages is None:
        emit(LogEvent.HISTORY_MISMATCH, program=program.program)
        raise refuse_history_mismatch(program)
    return new_messages


def _retry_terms(call: ChatCall, affordable: int) -> RetryTerms:
    return RetryTerms(
        may_repeat=not call.terms.non_idempotent,
        max_attempts=min(MAX_ATTEMPTS, affordable),
        deadline_at=call.deadline_at,
    )


def _build_turn(
    owned: OwnedCall, call: ChatCall, answer: ModelAnswer, new: list[Any]
) -> records.TurnCompleted:
    program = owned.journal.view.programs_by_id[owned.call.program]
    message = answer.message()
    before = HistoryPoint(digest=program.digest, count=program.message_count)
    after = extend_history(before, [*new, message])
    usage = answer.usage
    repeated = (answer.attempts - 1) * call.worst_case
    spent = usage.prompt_tokens + usage.completion_tokens + repeated
    return records.TurnCompleted(
        **owned.record_fields(),  # type: ignore[arg-type]
        messages=new,
        answer=message,
        digest=after.digest,
        message_count=after.count,
        spent=program.spent + spent + owned.lost_units,
        key=owned.call.key,
        intent_id=owned.proceed.intent_id,
    )
