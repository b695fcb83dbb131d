"""Dispatch of the command line."""

from collections.abc import Sequence


def run_command_line(arguments: Sequence[str]) -> int:
    """Run the command that ``arguments`` name and return its exit code."""
    print(f'bronzepost: no command {" ".join(arguments)}')
    return 2
