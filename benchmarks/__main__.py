"""Entry point of ``scripts/bench``."""

import sys

from .command import run_command_line

if __name__ == '__main__':
    sys.exit(run_command_line(sys.argv[1:]))
