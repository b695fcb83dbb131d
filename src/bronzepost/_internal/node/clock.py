"""The monotonic clock that nodes use for timeouts and leases."""

import time


def read_clock() -> float:
    """Return the seconds of a monotonic clock that includes suspended time.

    After a pause of the process or a suspension of the VM, leases and
    deadlines have therefore expired as they should.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
