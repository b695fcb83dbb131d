"""The clock of the node."""

import time


def read_clock() -> float:
    """Return seconds of a monotonic clock that counts suspended time.

    A process that was paused or a VM that was suspended sees the time that
    passed, so leases and deadlines end when they should.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
