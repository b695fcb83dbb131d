"""Send answers of backend servers to callers."""

import dataclasses
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from bronzepost._internal.core.gateway.held_bytes import HeldKind, Pressure
from bronzepost._internal.gateway.callers.caller_answer import (
    CallerAnswer,
)
from bronzepost._internal.gateway.callers.event_stream import EventSplitter
from bronzepost._internal.gateway.callers.header_names import drop_headers
from bronzepost._internal.gateway.callers.held_memory import (
    HeldBytes,
    HeldMemory,
)
from bronzepost._internal.gateway.callers.http_messages import (
    AnswerHead,
)
from bronzepost._internal.gateway.links.backend_exchange import BackendExchange
from bronzepost._internal.gateway.requests.pending_call import PendingCall

# An answer up to this size is buffered until it is complete, so that a caller
# does not get a part of an answer that breaks off.
MAX_BUFFERED_BODY_BYTES: Final = 262144
# A larger event is taken for bytes without end. Events have a few tokens.
MAX_EVENT_BYTES: Final = 262144
# The part of the memory that is left below the first mark of pressure which one stream
# may take for its history. All streams together stay below the mark then (dynamic
# thresholds, as of what is queued for callers), except for the minimum of each.
HISTORY_SHARE: Final = 0.5
MIN_HISTORY_BYTES: Final = 65536


def deliver_answer(
    answer: CallerAnswer, exchange: BackendExchange, head: AnswerHead
) -> None:
    """Send an answer when it is complete; send a large one as it arrives."""
    buffered = bytearray()
    blocks = exchange.read_blocks()
    with answer.memory.open(HeldKind.ANSWERS) as held:
        for block in blocks:
            buffered += block
            held.resize(len(buffered))
            if len(buffered) > MAX_BUFFERED_BODY_BYTES:
                held.close()
                deliver_blocks(answer, head, bytes(buffered), blocks)
                return
    answer.send_whole(head, bytes(buffered))


def deliver_blocks(
    answer: CallerAnswer,
    head: AnswerHead,
    buffered: bytes,
    blocks: Iterable[bytes],
) -> None:
    """Send an answer that has begun to arrive, and the rest as it arrives."""
    answer.start(head)
    answer.write(buffered)
    for block in blocks:
        answer.write(block)
    answer.finish()


def deliver_stream(
    pending: PendingCall,
    exchange: BackendExchange,
    head: AnswerHead,
    *,
    begin_stream: Callable[[PendingCall], None],
    save_turn: Callable[[PendingCall], None],
) -> None:
    """Send the events of a stream as they arrive, complete ones only.

    If the stream breaks off within an event, another server can continue it
    after the last complete one. ``begin_stream`` is called before the first event
    is sent, and ``save_turn`` before the end of the answer.

    Raises:
        ExchangeError: if the stream breaks off, or ends inside an event.
    """
    head = drop_length(head)
    answer = pending.answer
    events = pending.events
    events.drop_partial_event()
    with answer.memory.open(HeldKind.ANSWERS) as held:
        for complete_events in _read_events(events, exchange, held):
            if not may_keep(answer.memory, events.kept_bytes):
                raise exchange.break_off(
                    f'no memory for a history of {events.kept_bytes} bytes',
                    is_local=True,
                )
            if complete_events:
                if not answer.is_started:
                    begin_stream(pending)
                answer.ensure_started(head)
                answer.write(complete_events)
        answer.ensure_started(head)
        answer.write(events.pop_partial_event())
        save_turn(pending)
    answer.finish()


def may_keep(memory: HeldMemory, kept_bytes: int) -> bool:
    """Return whether the history of a stream may take so much of the memory."""
    if kept_bytes <= MIN_HISTORY_BYTES:
        return True
    mark = memory.budget.marks[Pressure.LARGE_BODIES]
    free_bytes = mark - memory.held_bytes
    return kept_bytes <= HISTORY_SHARE * free_bytes


def _read_events(
    events: EventSplitter, exchange: BackendExchange, held: HeldBytes
) -> Iterator[bytes]:
    """Yield the events that each block completes, and check the size of the next.

    Raises:
        ExchangeError: if the stream breaks off, or ends inside an event.
    """
    for block in exchange.read_blocks():
        complete_events = events.feed(block)
        held.resize(events.partial_bytes + events.kept_bytes)
        yield complete_events
        if events.partial_bytes > MAX_EVENT_BYTES:
            raise exchange.break_off(
                f'an event has more than {MAX_EVENT_BYTES} bytes'
            )
    # The connection or the last chunk may end a stream that its server has not
    # finished.
    if events.is_inside_event:
        raise exchange.break_off('the stream ends inside an event')


def drop_length(head: AnswerHead) -> AnswerHead:
    """Return the head without its length.

    If another server continues the stream, its length may differ.
    """
    headers = drop_headers(head.headers, (b'content-length',))
    return dataclasses.replace(head, headers=headers, length=None)
