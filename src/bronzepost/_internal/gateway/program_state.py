"""What the gateway keeps of programs between their turns."""

import dataclasses
import time
from http import HTTPStatus

from bronzepost._internal.core.gateway.entities import CallRequest, Route
from bronzepost._internal.core.gateway.histories import (
    Turn,
    build_prompt,
    join_answer,
)
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.budget_keeper import (
    BudgetKeeper,
    Reservation,
)
from bronzepost._internal.gateway.event_stream import EventSplitter
from bronzepost._internal.gateway.turn_keeper import TurnKeeper


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OpenTurn:
    """A turn that may run: its whole prompt and its reserved tokens."""

    call: CallRequest
    prompt: bytes
    chain: tuple[str, ...]
    reservation: Reservation


class ProgramState:
    """Budgets and histories of programs."""

    def __init__(self, *, budgets: BudgetKeeper, turns: TurnKeeper) -> None:
        """Use the two keepers."""
        self._budgets = budgets
        self._turns = turns

    def open_turn(
        self, call: CallRequest, route: Route, prompt: bytes
    ) -> OpenTurn:
        """Put the prompt together and reserve the tokens of a turn.

        Raises:
            RefusedError: if the turn may not run; it has not run.
        """
        chain: tuple[str, ...] = ()
        if route.keeps_history:
            if call.resume_after:
                raise refuse_resume()
            chain = self._turns.find_chain(call)
            prompt = build_prompt(chain, self._turns.turns_by_id, prompt)
        return OpenTurn(
            call=call,
            prompt=prompt,
            chain=chain,
            reservation=self._budgets.reserve(
                call, needs_store=route.keeps_history
            ),
        )

    def keep_turn(
        self, turn: OpenTurn, route: Route, body: bytes, events: EventSplitter
    ) -> None:
        """Keep a turn whose answer is whole, before its end is sent.

        Returns once the store has the turn; the time of the request limits
        the wait.
        """
        if not route.keeps_history:
            return
        kept = Turn(
            turn_id=turn.call.request_id,
            ancestors=turn.chain,
            prompt=body,
            answer=join_answer(events.event_data),
            ends_at=time.time() + route.retention_seconds,
        )
        self._turns.keep(kept, turn.call.program_id)

    def close_turn(self, turn: OpenTurn, tokens: int, server_id: str) -> None:
        """Return the tokens that were reserved and not generated."""
        self._budgets.settle(turn.reservation, tokens, server_id)


def refuse_resume() -> RefusedError:
    """Return the refusal of a stream that goes on on a route with history.

    The turn could not be kept: this VM does not have the first part of its
    answer. The caller can send the turn again from its start.
    """
    return RefusedError(
        'a turn that is kept cannot be resumed',
        code='resume_refused',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='find history',
        retry_after_seconds=0,
    )
