"""Split a stream of server-sent events into complete events."""

import re
from typing import Final

from bronzepost._internal.node.clock import read_clock

# An empty line ends an event; lines end with LF or CRLF (HTML, section 9.2.5).
_EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
_COMMENT: Final = b':'
_ID_FIELD: Final = b'id:'
_DATA_FIELD: Final = b'data:'
# The size of the data of an event in memory beyond its content.
_DATA_OVERHEAD_BYTES: Final = 41


class EventSplitter:
    """Split the blocks of an event stream into complete events.

    ``event_count`` is the number of complete events, ``last_id`` the id of the
    last one. If ``keeps_data`` is true, ``event_data`` holds the data of each, with
    its lines joined by line feeds, in ``kept_bytes``. ``trailing_bytes`` is the number of bytes after the last complete
    event when the stream ended or broke off. The first event was complete at
    ``first_at``, in monotonic seconds.
    """

    def __init__(self) -> None:
        """Start with an empty stream."""
        self.last_id = b''
        self.event_count = 0
        self.keeps_data = True
        self.event_data: list[bytes] = []
        self.kept_bytes = 0
        self.trailing_bytes = 0
        self._partial_event = b''
        self.first_at: float = 0
        self._last_at: float = 0

    @property
    def seconds_per_event(self) -> float:
        """Return the mean interval of events, 0 before the second event."""
        if self.event_count < 2:
            return 0
        return (self._last_at - self.first_at) / (self.event_count - 1)

    def feed(self, block: bytes) -> bytes:
        """Add a block and return the bytes of the events that it completes."""
        received = self._partial_event + block
        start = 0
        for match in _EVENT_END.finditer(received):
            event = received[start : match.start()]
            start = match.end()
            if event.strip():
                self._record_event(event)
        self._partial_event = received[start:]
        return received[:start]

    @property
    def partial_bytes(self) -> int:
        """Return the size of the event that is not complete yet."""
        return len(self._partial_event)

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event has begun that is not complete.

        Comments and empty lines belong to no event.
        """
        return any(
            line and not line.startswith(_COMMENT)
            for line in self._partial_event.splitlines()
        )

    def pop_partial_event(self) -> bytes:
        """Return and remove the bytes after the last complete event."""
        partial_event = self._partial_event
        self.trailing_bytes = len(partial_event)
        self._partial_event = b''
        return partial_event

    def drop_partial_event(self) -> None:
        """Discard the bytes after the last complete event."""
        self.pop_partial_event()

    def _record_event(self, event: bytes) -> None:
        self._last_at = read_clock()
        if not self.event_count:
            self.first_at = self._last_at
        self.event_count += 1
        data = []
        for line in event.splitlines():
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip()
            elif line.startswith(_DATA_FIELD):
                data.append(line[len(_DATA_FIELD) :].removeprefix(b' '))
        if self.keeps_data:
            joined = b'\n'.join(data)
            self.event_data.append(joined)
            self.kept_bytes += len(joined) + _DATA_OVERHEAD_BYTES
