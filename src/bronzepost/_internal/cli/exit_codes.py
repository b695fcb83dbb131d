"""Exit codes of all commands."""

import enum


class ExitCode(enum.IntEnum):
    """Outcome of a command, for scripts."""

    # The command succeeded.
    OK = 0
    # The node refused the request, or an item was not found.
    REFUSED = 1
    # The command line or the settings file is wrong.
    USAGE = 2
    # No node answered at the address.
    UNREACHABLE = 3
