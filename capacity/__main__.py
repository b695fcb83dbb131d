"""Entry point of ``scripts/capacity``."""

import sys

# This patches the standard library before anything else imports it.
from bronzepost import __main__ as _patched  # noqa: F401
from capacity.command import run_command_line

if __name__ == '__main__':
    sys.exit(run_command_line(sys.argv[1:]))
