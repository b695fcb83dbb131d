"""Entry point of the ``bronzepost`` command."""

import os
import sys

# The event loop is set explicitly: libev with epoll (flag 4) makes no io_uring
# calls. The variables must be set before gevent is first imported.
os.environ.setdefault('GEVENT_LOOP', 'libev-cext')
os.environ.setdefault('LIBEV_FLAGS', '4')

from gevent import monkey  # noqa: E402

monkey.patch_all()


def main() -> int:
    """Run the command line and return its exit code."""
    from bronzepost._internal.cli.main import (  # noqa: PLC0415
        run_command_line,
    )

    return run_command_line(sys.argv[1:])


if __name__ == '__main__':
    sys.exit(main())
