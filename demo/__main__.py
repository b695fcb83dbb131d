"""Entry point of ``python -m demo``."""

import sys

from gevent import monkey

# The callers are greenlets; sockets have to be patched before any import.
monkey.patch_all()

from demo.command import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
