"""Pass answers of backend servers on to callers."""

import dataclasses
from collections.abc import Callable
from typing import Final

from bronzepost._internal.gateway.backend_exchange import BackendExchange
from bronzepost._internal.gateway.caller_connections import CallerAnswer
from bronzepost._internal.gateway.header_names import drop_headers
from bronzepost._internal.gateway.http_messages import AnswerHead
from bronzepost._internal.gateway.pending_call import PendingCall

# An answer up to this size is held until it is complete, so that one that
# breaks off does not leave the caller with a part of it.
HELD_BODY_BYTES: Final = 262144


def deliver_whole(
    answer: CallerAnswer, exchange: BackendExchange, head: AnswerHead
) -> None:
    """Pass on an answer once it is complete, or while it comes if large."""
    held = b''
    blocks = exchange.read_blocks()
    for block in blocks:
        held += block
        if len(held) > HELD_BODY_BYTES:
            answer.start(head)
            answer.write(held)
            for later in blocks:
                answer.write(later)
            answer.finish()
            return
    answer.send_whole(head, held)


def deliver_stream(
    pending: PendingCall,
    exchange: BackendExchange,
    head: AnswerHead,
    keep: Callable[[PendingCall], None],
) -> None:
    """Pass on the events of a stream as they arrive, each as a whole.

    A stream that breaks off in an event can then go on after the last whole
    one at another server. ``keep`` is called before the end is sent.
    """
    head = drop_length(head)
    answer = pending.answer
    pending.events.drop_partial_event()
    for block in exchange.read_blocks():
        whole = pending.events.feed(block)
        if whole:
            answer.ensure_started(head)
            answer.write(whole)
    answer.ensure_started(head)
    answer.write(pending.events.take_partial_event())
    keep(pending)
    answer.finish()


def drop_length(head: AnswerHead) -> AnswerHead:
    """Return the head of a stream whose length another server may change."""
    headers = drop_headers(head.headers, (b'content-length',))
    return dataclasses.replace(head, headers=headers, length=None)
