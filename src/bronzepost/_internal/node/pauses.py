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
from bronzepost._internal.node.engines.engine_memory import EngineMemory

REVIEW_INTERVAL_SECONDS: Final = 2.0
# Callers seldom end their programs, so a program that pauses for this long must
# not keep engine memory from new ones. The ledger still knows it, so its next
# call is not subject to the admission of new programs.
DORMANT_AFTER_SECONDS: Final = 120.0

_RELEASE: Final = Retention.RELEASE


class Pauses:
    """Tracks the programs that pause between two calls."""

    def __init__(
        self, *, tables: SchedulingTables, engine_memory: EngineMemory
    ) -> None:
        """Start with no program paused."""
        self._tables = tables
        self._engine_memory = engine_memory
        self._pauses_by_program: dict[str, tuple[ProgramPause, Policy]] = {}

    def begin(
        self, program: str, message: dict[str, Any], policy: Policy
    ) -> None:
        """Start the pause of a program that has got its answer.

        ``message`` is the answer; its first tool call predicts the pause.
        """
        pause = ProgramPause(
            program_id=program,
            tool=_find_requested_tool(message),
            paused_at=read_clock(),
        )
        self._pauses_by_program[program] = (pause, policy)

    def end(self, program: str) -> None:
        """End the pause of a program that sends its next call."""
        pause, _ = self._pauses_by_program.pop(program, (None, None))
        if pause is None:
            return
        at = read_clock()
        pause_ended = events.PauseEnded(
            at=at, tool=pause.tool, seconds=at - pause.paused_at
        )
        apply_event(self._tables, pause_ended)

    def review(self) -> None:
        """Release prefixes that cost more to keep than to compute again."""
        for program, paused in list(self._pauses_by_program.items()):
            pause, policy = paused
            at = read_clock()
            if at - pause.paused_at >= DORMANT_AFTER_SECONDS:
                self._pauses_by_program.pop(program)
                self._engine_memory.release_ended(program)
            elif decide_retention(policy, self._tables, pause, at) is _RELEASE:
                self._engine_memory.release_session(program)


def _find_requested_tool(message: dict[str, Any]) -> str:
    """Return the first tool that an answer calls, empty if there is none."""
    for tool_call in message.get('tool_calls') or ():
        function = tool_call.get('function') or {}
        name = function.get('name')
        if name:
            return str(name)
    return ''
