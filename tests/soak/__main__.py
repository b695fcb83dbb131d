"""Entry point of ``python -m tests.soak``."""

import sys

from gevent import monkey

# Sockets and subprocesses are patched before other imports.
monkey.patch_all()

from tests.soak.command import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
