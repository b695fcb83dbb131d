"""Traces: programs and lookups drawn from seeded distributions.

The distributions are documented in ``shapes.toml``. The same seed, deployment
and trace always give the same programs, whatever the policy does.
"""

import dataclasses
import zlib

import numpy as np

from .settings import Deployment, Lognormal, Shapes, TraceShape


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Turn:
    """One model call and the tool or sub-agents that follow it.

    ``added_tokens`` are the new prompt tokens. ``tool`` is empty after the
    last turn and where ``sub_agents`` run instead of a tool.
    """

    added_tokens: int
    output_tokens: int
    tool: str = ''
    tool_seconds: float = 0
    sub_agents: tuple['Program', ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Program:
    """A program or sub-agent with all of its turns."""

    program_id: str
    arrives_at: float
    importance: int
    turns: tuple[Turn, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lookup:
    """One call to a plain service outside any program."""

    lookup_id: str
    arrives_at: float
    run_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Trace:
    """Programs and lookups in the order of their arrival."""

    shape: TraceShape
    programs: tuple[Program, ...]
    lookups: tuple[Lookup, ...]


class TraceSource:
    """Draw the trace of one deployment from one seed."""

    def __init__(
        self,
        *,
        shapes: Shapes,
        deployment: Deployment,
        trace: TraceShape,
        seed: int,
    ) -> None:
        """Seed the generator with the seed and the names of the case."""
        names = f'{deployment.name}/{trace.name}'
        self.shapes = shapes
        self.deployment = deployment
        self.trace = trace
        self.generator = np.random.default_rng([
            seed,
            zlib.crc32(names.encode()),
        ])

    def draw(self) -> Trace:
        """Return programs and, if the trace has them, lookups."""
        rate = self.deployment.programs_per_second
        programs = tuple(
            self._draw_program(f'program-{number}', at)
            for number, at in enumerate(self._draw_arrivals(rate))
        )
        lookups: tuple[Lookup, ...] = ()
        if self.trace.with_lookups:
            lookups = self._draw_lookups()
        return Trace(shape=self.trace, programs=programs, lookups=lookups)

    def _draw_arrivals(self, rate: float) -> list[float]:
        """Return arrival times of a Poisson process, drawn by thinning."""
        trace = self.trace
        max_rate = rate * max(trace.crowd_factor, 1)
        arrivals: list[float] = []
        at = self.generator.exponential(1 / max_rate)
        while at < trace.seconds:
            in_crowd = trace.crowd_from <= at < trace.crowd_until
            factor = trace.crowd_factor if in_crowd else 1
            if self.generator.random() < rate * factor / max_rate:
                arrivals.append(float(at))
            at += self.generator.exponential(1 / max_rate)
        return arrivals

    def _draw_lookups(self) -> tuple[Lookup, ...]:
        tool = self.shapes.tools[0]
        arrivals = self._draw_arrivals(self.deployment.lookups_per_second)
        return tuple(
            Lookup(
                lookup_id=f'lookup-{number}',
                arrives_at=at,
                run_seconds=self._draw_value(tool.seconds),
            )
            for number, at in enumerate(arrivals)
        )

    def _draw_program(self, program_id: str, at: float) -> Program:
        shape = self.shapes.shape
        is_important = self.generator.random() < shape.important_share
        return Program(
            program_id=program_id,
            arrives_at=at,
            importance=(
                shape.high_importance if is_important else shape.importance
            ),
            turns=self._draw_turns(
                program_id,
                self._draw_count(shape.turns),
                self._draw_count(shape.first_prompt_tokens),
                with_sub_agents=True,
            ),
        )

    def _draw_turns(
        self,
        program_id: str,
        count: int,
        first_tokens: int,
        *,
        with_sub_agents: bool,
    ) -> tuple[Turn, ...]:
        """Return at most ``count`` turns within the context limit."""
        shape = self.shapes.shape
        remaining_tokens = shape.context_limit_tokens
        turn = self._draw_model_call(first_tokens)
        turns: list[Turn] = []
        for number in range(1, count):
            remaining_tokens -= turn.added_tokens + turn.output_tokens
            growth = self._draw_count(shape.growth_tokens)
            if growth > remaining_tokens:
                break
            id_prefix = f'{program_id}.{number}' if with_sub_agents else ''
            turns.append(self._add_tool_or_sub_agents(turn, id_prefix))
            turn = self._draw_model_call(growth)
        return (*turns, turn)

    def _draw_model_call(self, added_tokens: int) -> Turn:
        return Turn(
            added_tokens=added_tokens,
            output_tokens=self._draw_count(self.shapes.shape.output_tokens),
        )

    def _add_tool_or_sub_agents(self, turn: Turn, id_prefix: str) -> Turn:
        """Return the turn with a tool or sub-agents after it.

        An empty ``id_prefix`` excludes sub-agents.
        """
        share = self.shapes.shape.sub_agent_share
        if id_prefix and self.generator.random() < share:
            return dataclasses.replace(
                turn,
                sub_agents=self._draw_sub_agents(id_prefix),
            )
        tools = self.shapes.tools
        shares = [tool.share for tool in tools]
        tool = tools[int(self.generator.choice(len(tools), p=shares))]
        return dataclasses.replace(
            turn,
            tool=tool.name,
            tool_seconds=self._draw_value(tool.seconds),
        )

    def _draw_sub_agents(self, id_prefix: str) -> tuple[Program, ...]:
        shape = self.shapes.shape
        count = int(self.generator.integers(1, shape.sub_agents_high + 1))
        return tuple(
            Program(
                program_id=f'{id_prefix}-{number}',
                arrives_at=0,
                importance=shape.importance,
                turns=self._draw_turns(
                    '',
                    self._draw_count(shape.sub_agent_turns),
                    self._draw_count(shape.sub_agent_prompt_tokens),
                    with_sub_agents=False,
                ),
            )
            for number in range(count)
        )

    def _draw_value(self, distribution: Lognormal) -> float:
        drawn = self.generator.lognormal(
            np.log(distribution.median), distribution.sigma
        )
        return float(np.clip(drawn, distribution.low, distribution.high))

    def _draw_count(self, distribution: Lognormal) -> int:
        return round(self._draw_value(distribution))
