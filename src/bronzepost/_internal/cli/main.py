"""Parse the command line and run its command."""

import dataclasses
import sys
from collections.abc import Sequence

import cappa

from bronzepost._internal.cli.commands.check import CheckCommand
from bronzepost._internal.cli.commands.config import ConfigCommand
from bronzepost._internal.cli.commands.drain import DrainCommand
from bronzepost._internal.cli.commands.endpoints import EndpointsCommand
from bronzepost._internal.cli.commands.explain import ExplainCommand
from bronzepost._internal.cli.commands.placement import PlacementCommand
from bronzepost._internal.cli.commands.programs import ProgramsCommand
from bronzepost._internal.cli.commands.replay import ReplayCommand
from bronzepost._internal.cli.commands.runners import RunnersCommand
from bronzepost._internal.cli.commands.serve import ServeCommand
from bronzepost._internal.cli.commands.status import StatusCommand
from bronzepost._internal.cli.commands.version import VersionCommand
from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.exceptions import (
    BronzepostError,
    NodeUnreachableError,
    SettingsError,
    SettingsErrorGroup,
)


@cappa.command(
    name='bronzepost',
    help='Schedule agent programs over model engines and plain services.',
    description='Example: `bronzepost check node.toml`',
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class CommandLine:
    """The command line, with one command."""

    command: cappa.Subcommands[
        ServeCommand
        | CheckCommand
        | ConfigCommand
        | ProgramsCommand
        | RunnersCommand
        | EndpointsCommand
        | DrainCommand
        | StatusCommand
        | ReplayCommand
        | ExplainCommand
        | PlacementCommand
        | VersionCommand
    ]


def run_command_line(arguments: Sequence[str]) -> int:
    """Run the command in ``arguments`` and return its exit code."""
    try:
        parsed = cappa.parse(
            CommandLine, argv=list(arguments), completion=False
        )
    except cappa.Exit as parser_exit:
        return get_parser_exit_code(parser_exit)
    return run_command(parsed)


def get_parser_exit_code(parser_exit: cappa.Exit) -> int:
    """Return the exit code of the parser: 0 after a help text."""
    return ExitCode.USAGE if parser_exit.code else ExitCode.OK


def run_command(parsed: CommandLine) -> int:
    """Run a parsed command; print its errors and return its exit code."""
    try:
        return parsed.command.run()
    except SettingsErrorGroup as group:
        for problem in group.exceptions:
            print_error(problem)
        return ExitCode.USAGE
    except BronzepostError as error:
        print_error(error)
        return choose_exit_code(error)


def choose_exit_code(error: BronzepostError) -> int:
    """Return the exit code for an error."""
    if isinstance(error, NodeUnreachableError):
        return ExitCode.UNREACHABLE
    if isinstance(error, SettingsError):
        return ExitCode.USAGE
    return ExitCode.REFUSED


def print_error(error: Exception) -> None:
    """Print an error to standard error."""
    print(f'bronzepost: {error}', file=sys.stderr)
