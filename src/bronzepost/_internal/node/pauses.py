"""Keep or release the prefixes of programs that wait for a tool."""

from typing import Any, Final

from bronzepost._internal.core.scheduling import events
from bronzepost._internal.core.scheduling.actions import Retention
from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.core.scheduling.policies import Policy
from bronzepost._internal.core.scheduling.prefix_retention import (
    decide_retention,
)
from bronzepost._internal.core.scheduling.tables import (
    ProgramPause,
    SchedulingTables,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.engine_memory import EngineMemory

REVIEW_SECONDS: Final = 2.0
# Callers seldom end their programs. One that has not come back for so long
# takes no part of the engines' memory away from new programs; the ledger still
# knows it, so it is not held back when it comes.
DORMANT_SECONDS: Final = 120.0

_RELEASE: Final = Retention.RELEASE


class Pauses:
    """The programs that are between two calls."""

    def __init__(
        self, *, tables: SchedulingTables, memory: EngineMemory
    ) -> None:
        """Start with no program paused."""
        self._tables = tables
        self._memory = memory
        self._pauses_by_program: dict[str, tuple[ProgramPause, Policy]] = {}

    def begin(
        self, program: str, message: dict[str, Any], policy: Policy
    ) -> None:
        """Start the pause of a program that has its answer.

        ``message`` is the answer; it names the tool that the program runs next.
        """
        pause = ProgramPause(
            program_id=program,
            tool=_name_tool(message),
            paused_at=read_clock(),
        )
        self._pauses_by_program[program] = (pause, policy)

    def end(self, program: str) -> None:
        """Record the duration of a pause, at the next call of a program."""
        pause, _ = self._pauses_by_program.pop(program, (None, None))
        if pause is None:
            return
        at = read_clock()
        seen = events.PauseEnded(
            at=at, tool=pause.tool, seconds=at - pause.paused_at
        )
        apply_event(self._tables, seen)

    def review(self) -> None:
        """Release the prefixes whose pause costs more than a refill."""
        for program, paused in list(self._pauses_by_program.items()):
            pause, policy = paused
            at = read_clock()
            if at - pause.paused_at >= DORMANT_SECONDS:
                self._pauses_by_program.pop(program)
                self._memory.release(program)
            elif decide_retention(policy, self._tables, pause, at) is _RELEASE:
                self._memory.release_prefix(program)


def _name_tool(message: dict[str, Any]) -> str:
    """Return the first tool that an answer asks for, empty if none."""
    for tool_call in message.get('tool_calls') or ():
        function = tool_call.get('function') or {}
        name = function.get('name')
        if name:
            return str(name)
    return ''
