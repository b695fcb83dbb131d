"""Turns that a home has admitted and that have handed nothing out yet."""

import dataclasses
from collections.abc import Callable, Iterator

from bronzepost._internal.gateway.peers.messages import ReserveTokens


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdmittedTurn:
    """The tokens of a turn, and the boot of the VM that serves it.

    The turn has ended at ``expires_at``, in monotonic seconds.
    """

    tokens: int
    owner: str
    expires_at: float


class AdmittedTurns:
    """Admitted turns by program and reservation.

    They are granted nothing before their first event, so nothing is lost with a
    VM that served one, and their tokens are free again once that VM is gone. A
    VM that was wrongly taken for gone has to be granted its tokens all the same
    before it hands any out.
    """

    def __init__(self) -> None:
        """Start without turns."""
        self._turns_by_program: dict[str, dict[str, AdmittedTurn]] = {}

    def add(self, request: ReserveTokens, *, at: float) -> None:
        """Add the turn of a request that was admitted at a time."""
        turns = self._turns_by_program.setdefault(request.program_id, {})
        turns[request.reservation_id] = AdmittedTurn(
            tokens=request.tokens,
            owner=request.owner,
            expires_at=at + request.expires_seconds,
        )

    def remove(self, program_id: str, reservation_id: str) -> bool:
        """Remove a turn that has begun or ended; return whether it was known."""
        turns = self._turns_by_program.get(program_id, {})
        is_known = turns.pop(reservation_id, None) is not None
        if is_known and not turns:
            self._turns_by_program.pop(program_id)
        return is_known

    def count_others(self, request: ReserveTokens) -> int:
        """Return the tokens of the other admitted turns of a program."""
        turns = self._turns_by_program.get(request.program_id, {})
        return sum(
            turn.tokens
            for reservation_id, turn in turns.items()
            if reservation_id != request.reservation_id
        )

    def drop_gone(self, is_running: Callable[[str], bool], *, at: float) -> int:
        """Remove the turns of VMs that are gone, and those that have expired.

        Return their number.
        """
        gone = [
            (program_id, reservation_id)
            for program_id, reservation_id, turn in self._list()
            if turn.expires_at <= at or not is_running(turn.owner)
        ]
        for program_id, reservation_id in gone:
            self.remove(program_id, reservation_id)
        return len(gone)

    def _list(self) -> Iterator[tuple[str, str, AdmittedTurn]]:
        for program_id, turns in self._turns_by_program.items():
            for reservation_id, turn in turns.items():
                yield program_id, reservation_id, turn
