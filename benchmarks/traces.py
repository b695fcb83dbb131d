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
    """One model call and what the program does after it.

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
    seconds: float


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
        """Seed the generator with the names and the seed."""
        names = f'{deployment.name}/{trace.name}'
        self.shapes = shapes
        self.deployment = deployment
        self.trace = trace
        self.generator = np.random.default_rng([
            seed,
            zlib.crc32(names.encode()),
        ])

    def draw(self) -> Trace:
        """Return the trace."""
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
        """Return arrival times of a Poisson process, by thinning."""
        trace = self.trace
        highest = rate * max(trace.crowd_factor, 1)
        arrivals: list[float] = []
        at = self.generator.exponential(1 / highest)
        while at < trace.seconds:
            in_crowd = trace.crowd_from <= at < trace.crowd_until
            factor = trace.crowd_factor if in_crowd else 1
            if self.generator.random() < rate * factor / highest:
                arrivals.append(float(at))
            at += self.generator.exponential(1 / highest)
        return arrivals

    def _draw_lookups(self) -> tuple[Lookup, ...]:
        tool = self.shapes.tools[0]
        arrivals = self._draw_arrivals(self.deployment.lookups_per_second)
        return tuple(
            Lookup(
                lookup_id=f'lookup-{number}',
                arrives_at=at,
                seconds=self._draw(tool.seconds),
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
        room = shape.context_limit_tokens
        turn = self._draw_call(first_tokens)
        turns: list[Turn] = []
        for number in range(1, count):
            room -= turn.added_tokens + turn.output_tokens
            growth = self._draw_count(shape.growth_tokens)
            if growth > room:
                break
            name = f'{program_id}.{number}' if with_sub_agents else ''
            turns.append(self._draw_after(turn, name))
            turn = self._draw_call(growth)
        return (*turns, turn)

    def _draw_call(self, added_tokens: int) -> Turn:
        return Turn(
            added_tokens=added_tokens,
            output_tokens=self._draw_count(self.shapes.shape.output_tokens),
        )

    def _draw_after(self, turn: Turn, name: str) -> Turn:
        """Return the turn with the tool or the sub-agents that follow it."""
        share = self.shapes.shape.sub_agent_share
        if name and self.generator.random() < share:
            return dataclasses.replace(
                turn,
                sub_agents=self._draw_sub_agents(name),
            )
        tools = self.shapes.tools
        shares = [tool.share for tool in tools]
        tool = tools[int(self.generator.choice(len(tools), p=shares))]
        return dataclasses.replace(
            turn,
            tool=tool.name,
            tool_seconds=self._draw(tool.seconds),
        )

    def _draw_sub_agents(self, name: str) -> tuple[Program, ...]:
        shape = self.shapes.shape
        count = int(self.generator.integers(1, shape.sub_agents_high + 1))
        return tuple(
            Program(
                program_id=f'{name}-{number}',
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

    def _draw(self, distribution: Lognormal) -> float:
        drawn = self.generator.lognormal(
            np.log(distribution.median), distribution.sigma
        )
        return float(np.clip(drawn, distribution.low, distribution.high))

    def _draw_count(self, distribution: Lognormal) -> int:
        return round(self._draw(distribution))
