"""Processor time and memory of a process, from /proc."""

import os
from pathlib import Path
from typing import Final

_TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
# Places of utime and stime behind the name of the program in /proc/PID/stat.
_USER_PLACE: Final = 11
_SYSTEM_PLACE: Final = 12


def read_cpu_seconds(process_id: int) -> float:
    """Return the processor seconds that a process has used."""
    text = Path(f'/proc/{process_id}/stat').read_text(encoding='utf-8')
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[_USER_PLACE]) + int(fields[_SYSTEM_PLACE])
    return ticks / _TICKS_PER_SECOND


def read_resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process."""
    text = Path(f'/proc/{process_id}/statm').read_text(encoding='utf-8')
    return int(text.split()[1]) * _PAGE_BYTES
