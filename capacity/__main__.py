"""Entry point of ``scripts/capacity``."""

import sys

# Importing this module lets gevent patch the standard library, which must
# happen before anything else imports it.
from bronzepost import __main__ as _patched  # noqa: F401
from capacity.command import run_command_line

if __name__ == '__main__':
    sys.exit(run_command_line(sys.argv[1:]))
