"""The state of programs between their turns: budgets and histories."""

import dataclasses
import math
import time
from http import HTTPStatus

from bronzepost._internal.core.gateway.entities import CallRequest, Route
from bronzepost._internal.core.gateway.histories import (
    Turn,
    build_prompt,
    join_answer,
)
from bronzepost._internal.exceptions import RefusedError, RunState
from bronzepost._internal.gateway.callers.event_stream import EventSplitter
from bronzepost._internal.gateway.programs.budget_keeper import (
    BudgetKeeper,
    Reservation,
)
from bronzepost._internal.gateway.programs.turn_keeper import TurnKeeper
from bronzepost._internal.node.clock import read_clock


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OpenTurn:
    """A turn that may run: its full prompt, ancestors and reserved tokens.

    The time of its request ends at ``deadline_at``, in monotonic seconds. The
    ancestors are held here, since a long turn may outlast their retention.
    """

    call: CallRequest
    prompt: bytes
    ancestors: tuple[Turn, ...]
    reservation: Reservation
    deadline_at: float


class ProgramState:
    """Open and close turns: reserve their tokens and save their histories."""

    def __init__(self, *, budgets: BudgetKeeper, turns: TurnKeeper) -> None:
        """Reserve tokens with ``budgets``; ``turns`` reads and saves turns."""
        self._budgets = budgets
        self._turns = turns

    def open_turn(
        self, call: CallRequest, route: Route, prompt: bytes
    ) -> OpenTurn:
        """Build the full prompt of a turn and reserve its tokens.

        Raises:
            RefusedError: if the turn may not run; it has not run.
        """
        seconds = call.deadline_seconds
        deadline_at = math.inf if seconds is None else read_clock() + seconds
        ancestors: tuple[Turn, ...] = ()
        if route.keeps_history:
            if call.resume_after:
                raise refuse_resume()
            chain = self._turns.find_chain(call)
            ancestors = self._turns.list_turns(chain)
            prompt = build_prompt(chain, self._turns.turns_by_id, prompt)
        return OpenTurn(
            call=call,
            prompt=prompt,
            ancestors=ancestors,
            reservation=self._budgets.reserve(
                call, needs_store=route.keeps_history
            ),
            deadline_at=deadline_at,
        )

    def begin_turn(self, turn: OpenTurn) -> OpenTurn:
        """Have the tokens of a turn granted before its first event is sent.

        Raises:
            RefusedError: if they are not granted. The turn has run, and its caller
                must get none of its events.
        """
        try:
            reservation = self._budgets.begin(turn.reservation, turn.call)
        except RefusedError as error:
            raise refuse_begun(error) from error
        return dataclasses.replace(turn, reservation=reservation)

    def save_turn(
        self, turn: OpenTurn, route: Route, body: bytes, events: EventSplitter
    ) -> None:
        """Save a turn with its complete answer, before the caller gets its end.

        Returns when the store has the turn. The deadline of the request limits
        the wait.
        """
        if not route.keeps_history:
            return
        completed = Turn(
            turn_id=turn.call.turn_id,
            ancestors=tuple(before.turn_id for before in turn.ancestors),
            prompt=body,
            answer=join_answer(events.event_data),
            ends_at=time.time() + route.retention_seconds,
        )
        self._turns.keep(
            completed,
            turn.call.program_id,
            chain=turn.ancestors,
            deadline_at=turn.deadline_at,
        )

    def close_turn(self, turn: OpenTurn, tokens: int, server_id: str) -> None:
        """Settle a turn: ``tokens`` were generated, the rest is freed."""
        self._budgets.settle(turn.reservation, tokens, server_id)


def refuse_begun(error: RefusedError) -> RefusedError:
    """Return the refusal of a turn that has run and may hand nothing out.

    It is no 402 or 503, which say that the turn has not run.
    """
    return RefusedError(
        f'the tokens of the turn were not granted: {error.message}',
        code=error.code,
        status=HTTPStatus.BAD_GATEWAY,
        run=RunState.UNKNOWN,
        step='begin turn',
        peer=error.peer,
    )


def refuse_resume() -> RefusedError:
    """Return the refusal to resume a stream on a route that keeps history.

    The turn could not be saved, because this VM lacks the first part of its
    answer. The caller can send the turn again from its start.
    """
    return RefusedError(
        'a turn that is kept cannot be resumed',
        code='resume_refused',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='find history',
        retry_after_seconds=0,
    )
