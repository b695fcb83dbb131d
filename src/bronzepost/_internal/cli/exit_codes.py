"""Exit codes of all commands."""

import enum


class ExitCode(enum.IntEnum):
    """What a script can tell from a command's end."""

    # The command did what it says.
    OK = 0
    # The node refused the request, or what it names was not found.
    REFUSED = 1
    # The command line or the settings file is wrong.
    USAGE = 2
    # No node answers at the address.
    UNREACHABLE = 3
