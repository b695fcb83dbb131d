"""Run a model call on a backend server; retry it on another if allowed."""

import dataclasses
from collections.abc import Iterator
from typing import Any, Final

import gevent

from bronzepost._internal.core.retry_budget import RetryBudget
from bronzepost._internal.core.scheduling.order import priority
from bronzepost._internal.core.scheduling.policies import Policy
from bronzepost._internal.core.scheduling.tables import CallRequest
from bronzepost._internal.exceptions import (
    BackendServerError,
    ExchangeError,
    RefusedError,
    RunState,
)
from bronzepost._internal.node.callers.answer_stream import AnswerStream
from bronzepost._internal.node.callers.http_exchange import ExchangeClient
from bronzepost._internal.node.callers.refusals import (
    refuse_failed_call,
    refuse_lost_stream,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.engines.backend_directory import BackendDirectory
from bronzepost._internal.node.engines.dispatch import (
    RetryLimits,
    check_retry,
    dispatch_call,
)
from bronzepost._internal.node.engines.engine_client import (
    EngineCall,
    EngineChunk,
    Usage,
    cancel_completion,
    resume_completion,
    stream_completion,
)
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.start import Telemetry

# Engines send a keep-alive line each second, so after this much silence the
# connection is treated as dead.
STREAM_IDLE_TIMEOUT_SECONDS: Final = 5.0
MILLISECONDS_PER_SECOND: Final = 1000
MAX_ATTEMPTS: Final = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ModelCall:
    """A model call whose budget is reserved.

    ``call_id`` is unique to the call. The retry limits allow no more attempts
    than the reserved budget covers. ``upstream`` names the engine's stream of
    an earlier run of this call; if it is set, that stream is read instead of
    running the call again.
    """

    call_id: str
    request: CallRequest
    policy: Policy
    body: dict[str, Any]
    retry_limits: RetryLimits
    upstream: str = ''
    traceparent: str = ''


@dataclasses.dataclass(kw_only=True, slots=True)
class ModelAnswer:
    """The output of a model call so far.

    Each of the ``attempts`` may have spent the worst case of the call.
    """

    text: str = ''
    tool_calls: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    final_chunk: bytes = b''
    usage: Usage = Usage()
    attempts: int = 0

    def build_message(self) -> dict[str, Any]:
        """Return the assistant's message for the program's history."""
        message: dict[str, Any] = {'role': 'assistant', 'content': self.text}
        if self.tool_calls:
            message['tool_calls'] = self.tool_calls
        return message


class ModelCallRunner:
    """Sends model calls to backend servers and appends chunks to answers."""

    def __init__(
        self,
        *,
        directory: BackendDirectory,
        retry_budget: RetryBudget,
        telemetry: Telemetry,
    ) -> None:
        """Use the retry budget that all calls of the node share."""
        self._directory = directory
        self._retry_budget = retry_budget
        self._metrics = telemetry.metrics
        self._tracer = telemetry.tracer

    def run(self, call: ModelCall, stream: AnswerStream) -> ModelAnswer:
        """Run the call and append all chunks but the last to the stream.

        Raises:
            RefusedError: if no backend server answered; its ``run`` states
                whether the call may have run.
        """
        self._retry_budget.credit_call()
        answer = ModelAnswer()
        if call.upstream:
            self._resume(call, answer, stream)
            return answer
        while True:
            answer.attempts += 1
            try:
                self._attempt(call, answer, stream)
            except (ExchangeError, BackendServerError) as error:
                check_retry(
                    self._retry_budget,
                    call.retry_limits,
                    answer.attempts,
                    error,
                )
                self._metrics.count(Metric.CALLS_RETRIED)
            else:
                self._count_tokens(answer.usage)
                return answer

    def _count_tokens(self, usage: Usage) -> None:
        self._metrics.count(Metric.TOKENS_PROMPT, usage.prompt_tokens)
        self._metrics.count(Metric.TOKENS_OUTPUT, usage.completion_tokens)
        self._metrics.count(Metric.TOKENS_CACHED, usage.cached_tokens or 0)

    def _resume(
        self, call: ModelCall, answer: ModelAnswer, stream: AnswerStream
    ) -> None:
        """Read the stream of an earlier run from its beginning."""
        answer.attempts = 1
        server_id, _, request_id = call.upstream.partition(' ')
        # A caller may only resume a stream of its own call.
        is_own = request_id.startswith(f'{call.call_id.rpartition(":")[0]}:')
        if not is_own or server_id not in self._directory.addresses_by_id:
            raise refuse_lost_stream('the runner is gone', call.upstream)
        client = self._directory.client_for(
            server_id, STREAM_IDLE_TIMEOUT_SECONDS
        )
        stream.upstream = call.upstream
        try:
            self._append_chunks(
                resume_completion(client, request_id), answer, stream
            )
        except (ExchangeError, BackendServerError) as error:
            raise refuse_lost_stream(error.message, server_id) from error

    def _attempt(
        self, call: ModelCall, answer: ModelAnswer, stream: AnswerStream
    ) -> None:
        tables = self._directory.tables
        request_priority = priority(
            call.policy, tables, call.request, read_clock()
        )
        request_id = f'{call.call_id}:{answer.attempts}'
        dispatch_context = dispatch_call(
            self._directory,
            policy=call.policy,
            request=call.request,
            call_id=request_id,
            tracer=self._tracer,
            traceparent=call.traceparent,
        )
        with dispatch_context as dispatched:
            engine_call = EngineCall(
                request_id=request_id,
                session=call.request.program_id,
                priority=request_priority,
                body=call.body,
                traceparent=dispatched.traceparent,
            )
            stream.upstream = f'{dispatched.server_id} {request_id}'
            client = self._directory.client_for(
                dispatched.server_id, STREAM_IDLE_TIMEOUT_SECONDS
            )
            self._append_or_cancel(client, engine_call, answer, stream)
            dispatched.output_tokens = answer.usage.completion_tokens
            dispatched.cached_tokens = answer.usage.cached_tokens

    def _append_or_cancel(
        self,
        client: ExchangeClient,
        engine_call: EngineCall,
        answer: ModelAnswer,
        stream: AnswerStream,
    ) -> None:
        chunks = stream_completion(client, engine_call)
        try:
            self._append_chunks(chunks, answer, stream)
        except RefusedError:
            # The deadline has passed, or a repeated run gave another answer:
            # nobody reads the rest.
            gevent.spawn(cancel_completion, client, engine_call.request_id)
            raise

    def _append_chunks(
        self,
        chunks: Iterator[EngineChunk],
        answer: ModelAnswer,
        stream: AnswerStream,
    ) -> None:
        started_at = read_clock()
        for chunk in _skip_repeated(chunks, answer, stream):
            if not stream.chunks:
                elapsed = (read_clock() - started_at) * MILLISECONDS_PER_SECOND
                self._metrics.timing(Metric.FIRST_TOKEN, elapsed)
            if chunk.finish_reason or chunk.usage:
                answer.final_chunk = chunk.raw
                answer.usage = chunk.usage or answer.usage
            else:
                stream.append(chunk.raw)


def _skip_repeated(
    chunks: Iterator[EngineChunk], answer: ModelAnswer, stream: AnswerStream
) -> Iterator[EngineChunk]:
    """Yield the chunks that the caller does not have from an earlier attempt.

    A caller must not see a token twice or a mix of two answers, so the text of
    a repeated run must begin with the text that was already delivered.
    """
    delivered = answer.text
    answer.text = ''
    answer.tool_calls = []
    for chunk in chunks:
        answer.text += chunk.content
        answer.tool_calls += chunk.tool_calls
        if len(answer.text) > len(delivered) or chunk.finish_reason:
            _check_same_prefix(answer, delivered, stream)
            yield chunk
        elif not stream.chunks:
            yield chunk


def _check_same_prefix(
    answer: ModelAnswer, delivered: str, stream: AnswerStream
) -> None:
    if not answer.text.startswith(delivered):
        error = BackendServerError(
            'the repeated call gave another answer than the one that broke off',
            step='repeat model call',
            peer=stream.upstream,
        )
        raise refuse_failed_call(error, RunState.RAN)
