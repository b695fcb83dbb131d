"""Processor time and memory of a process, from /proc."""

import dataclasses
import os
from pathlib import Path
from typing import Final

_TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
# Indexes of utime and stime in /proc/PID/stat, counted from the field after the
# program name.
_USER_TIME_FIELD: Final = 11
_SYSTEM_TIME_FIELD: Final = 12
_NANOSECONDS_PER_SECOND: Final = 1_000_000_000


def read_cpu_seconds(process_id: int) -> float:
    """Return the processor seconds that a process has used."""
    text = Path(f'/proc/{process_id}/stat').read_text(encoding='utf-8')
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    return ticks / _TICKS_PER_SECOND


def read_resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process."""
    text = Path(f'/proc/{process_id}/statm').read_text(encoding='utf-8')
    return int(text.split()[1]) * _PAGE_BYTES


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ThreadTimes:
    """Processor seconds of a process and switches to its threads."""

    main_seconds: float
    other_seconds: float
    switches: float


def read_thread_times(process_id: int) -> ThreadTimes:
    """Return the times of the main thread and the sum of all other threads.

    Reads schedstat, whose times are in nanoseconds, while /proc/PID/stat has
    ticks of 10 ms.
    """
    seconds_by_thread: dict[str, float] = {}
    switches = 0
    for thread_directory in Path(f'/proc/{process_id}/task').iterdir():
        text = (thread_directory / 'schedstat').read_text(encoding='utf-8')
        running, _, timeslices = text.split()
        seconds_by_thread[thread_directory.name] = (
            int(running) / _NANOSECONDS_PER_SECOND
        )
        switches += int(timeslices)
    main_seconds = seconds_by_thread.pop(str(process_id))
    return ThreadTimes(
        main_seconds=main_seconds,
        other_seconds=sum(seconds_by_thread.values()),
        switches=switches,
    )
