"""Progress of one program through its turns."""

import functools
from collections.abc import Callable

from bronzepost._internal.core.scheduling.actions import Retention
from bronzepost._internal.core.scheduling.events import PauseEnded, ProgramEnded
from bronzepost._internal.core.scheduling.tables import (
    CallRequest,
    ProgramPause,
)

from .clock import VirtualClock
from .cluster import MODEL, Cluster
from .dispatcher import Dispatcher, PendingCall
from .settings import Deployment, Shapes
from .traces import Program, Turn

SUB_AGENTS_TOOL = 'sub_agents'
RETENTION_INTERVAL_SECONDS = 2


class RunContext:
    """Clock, servers and settings that all programs of a replay share."""

    def __init__(
        self,
        *,
        clock: VirtualClock,
        cluster: Cluster,
        shapes: Shapes,
        deployment: Deployment,
    ) -> None:
        """Store the parts and find the tools that are routed calls."""
        self.clock = clock
        self.cluster = cluster
        self.shapes = shapes
        self.deployment = deployment
        self.routed_tools = {tool.name for tool in shapes.tools if tool.routed}


class ProgramRun:
    """Issue the calls of a program one after the other."""

    def __init__(
        self,
        *,
        context: RunContext,
        dispatcher: Dispatcher,
        zone: str,
        program: Program,
        on_end: Callable[[], None],
    ) -> None:
        """Prepare the run; ``issue_model_call`` starts it."""
        self._context = context
        self._dispatcher = dispatcher
        self._zone = zone
        self._program = program
        self._on_end = on_end
        self._history_tokens = 0
        self._turn_number = 0
        self._running_sub_agents = 0
        self._pause: ProgramPause | None = None

    def issue_model_call(self) -> None:
        """Issue the model call of the current turn."""
        turn = self._current_turn
        shape = self._context.shapes.shape
        self._history_tokens += turn.added_tokens
        call = CallRequest(
            program_id=self._program.program_id,
            service=self._context.deployment.engine_service,
            model=MODEL,
            prompt_tokens=self._history_tokens,
            max_output_tokens=shape.max_output_tokens,
            importance=self._program.importance,
            availability_zone=self._zone,
        )
        self._dispatcher.send(
            PendingCall(
                call=call,
                issued_at=self._context.clock.now,
                output_tokens=turn.output_tokens,
                on_done=self._finish_call,
            )
        )

    def _finish_call(self) -> None:
        turn = self._current_turn
        self._history_tokens += turn.output_tokens
        if self._turn_number + 1 == len(self._program.turns):
            self._end()
            return
        tool = turn.tool or SUB_AGENTS_TOOL
        self._pause = ProgramPause(
            program_id=self._program.program_id,
            tool=tool,
            paused_at=self._context.clock.now,
        )
        self._check_retention(self._pause)
        if turn.sub_agents:
            self._start_sub_agents(turn)
        elif tool in self._context.routed_tools:
            self._call_plain_service(turn)
        else:
            self._context.clock.call_later(turn.tool_seconds, self._resume)

    @property
    def _current_turn(self) -> Turn:
        return self._program.turns[self._turn_number]

    def _check_retention(self, pause: ProgramPause) -> None:
        """Decide on the prefix at intervals until its release or the resume."""
        if self._pause is not pause:
            return
        if self._dispatcher.decide_retention(pause) is Retention.KEEP:
            self._context.clock.call_later(
                RETENTION_INTERVAL_SECONDS,
                functools.partial(self._check_retention, pause),
            )

    def _start_sub_agents(self, turn: Turn) -> None:
        self._running_sub_agents = len(turn.sub_agents)
        for program in turn.sub_agents:
            ProgramRun(
                context=self._context,
                dispatcher=self._dispatcher,
                zone=self._zone,
                program=program,
                on_end=self._finish_sub_agent,
            ).issue_model_call()

    def _finish_sub_agent(self) -> None:
        self._running_sub_agents -= 1
        if not self._running_sub_agents:
            self._resume()

    def _call_plain_service(self, turn: Turn) -> None:
        call = CallRequest(
            program_id=self._program.program_id,
            service=self._context.deployment.plain_service,
            importance=self._program.importance,
            availability_zone=self._zone,
        )
        self._dispatcher.send(
            PendingCall(
                call=call,
                issued_at=self._context.clock.now,
                run_seconds=turn.tool_seconds,
                on_done=self._resume,
            )
        )

    def _resume(self) -> None:
        pause = self._pause
        if pause is not None:
            now = self._context.clock.now
            self._dispatcher.apply(
                PauseEnded(
                    at=now, tool=pause.tool, seconds=now - pause.paused_at
                )
            )
        self._pause = None
        self._turn_number += 1
        self.issue_model_call()

    def _end(self) -> None:
        program_id = self._program.program_id
        self._context.cluster.end_session(program_id)
        self._dispatcher.apply(
            ProgramEnded(at=self._context.clock.now, program_id=program_id)
        )
        self._on_end()
