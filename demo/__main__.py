"""Entry point of ``python -m demo``."""

import sys

from gevent import monkey

# The callers are greenlets, so sockets are patched before other imports.
monkey.patch_all()

from demo.command import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
