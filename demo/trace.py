"""Lines of a trace; docs/traces.md describes the format."""

from pathlib import Path
from typing import Any

import msgspec


class Chat(msgspec.Struct, frozen=True, kw_only=True, tag='chat'):
    """A model call with one additional user message.

    With ``break_after`` the caller closes the connection of a stream after
    that many chunks and resumes the answer at another node.
    """

    text: str
    max_tokens: int = 24
    stream: bool = False
    break_after: int = 0


class Pause(msgspec.Struct, frozen=True, kw_only=True, tag='pause'):
    """A pause, such as the run time of a tool on the caller's side."""

    seconds: float


class Tool(msgspec.Struct, frozen=True, kw_only=True, tag='tool'):
    """A call of a plain service; its answer becomes the next message."""

    service: str
    path: str
    body: dict[str, Any] = {}


class NonIdempotentCall(msgspec.Struct, frozen=True, kw_only=True, tag='once'):
    """A non-idempotent call that is sent ``copies`` times at once."""

    service: str
    path: str
    key: str
    body: dict[str, Any] = {}
    copies: int = 1


class SubAgent(msgspec.Struct, frozen=True, kw_only=True, tag='sub_agent'):
    """A child program with a part of its parent's budget."""

    name: str
    budget: int
    steps: list[Chat | Pause | Tool | NonIdempotentCall]


Step = Chat | Pause | Tool | NonIdempotentCall | SubAgent


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """The refusal that ends a program."""

    code: str
    run: str = 'not_run'


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Expected outcome of the replay of a program.

    ``answers`` counts complete model answers with the expected text,
    including those of sub-agents. ``effects`` counts runs by idempotency key.
    """

    answers: int
    effects: dict[str, int] = {}
    refusal: Refusal | None = None
    spent_at_most: int | None = None


class Setting(msgspec.Struct, frozen=True, kw_only=True, tag='setting'):
    """A value that is set in the settings tree before the replay."""

    organisation: str
    path: str
    value: bool | int | float | str


class Program(msgspec.Struct, frozen=True, kw_only=True, tag='program'):
    """One agent program, or calls without a program."""

    name: str
    organisation: str
    steps: list[Step]
    outcome: Outcome
    start_seconds: float = 0
    budget: int | None = None
    importance: int | None = None
    is_alone: bool = False


class Trace(msgspec.Struct, frozen=True, kw_only=True):
    """All lines of a trace."""

    settings: list[Setting]
    programs: list[Program]


def read_trace(path: Path) -> Trace:
    """Return the lines of a file; empty lines are skipped.

    Raises:
        ValueError: if a line is invalid; the message has its number.
    """
    lines = [
        _read_line(number, line)
        for number, line in enumerate(path.read_bytes().splitlines(), start=1)
        if line.strip()
    ]
    return Trace(
        settings=[line for line in lines if isinstance(line, Setting)],
        programs=[line for line in lines if isinstance(line, Program)],
    )


def _read_line(number: int, line: bytes) -> Setting | Program:
    try:
        return msgspec.json.decode(line, type=Setting | Program)
    except msgspec.MsgspecError as error:
        raise ValueError(f'line {number} of the trace: {error}') from error
