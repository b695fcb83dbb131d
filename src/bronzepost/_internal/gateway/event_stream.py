"""Split a stream of server-sent events into complete events."""

from typing import Final

from bronzepost._internal.node.clock import read_clock

_EVENT_END: Final = b'\n\n'
_ID_FIELD: Final = b'id:'
_DATA_FIELD: Final = b'data:'


class EventSplitter:
    """Split the blocks of an event stream into complete events.

    ``event_count`` is the number of complete events, ``last_id`` the id of the
    last one. ``event_data`` holds the data of each, with its lines joined by
    line feeds. ``trailing_bytes`` is the number of bytes after the last complete
    event when the stream ended. The first event was complete at ``first_at``, in monotonic
    seconds.
    """

    def __init__(self) -> None:
        """Start with an empty stream."""
        self.last_id = b''
        self.event_count = 0
        self.event_data: list[bytes] = []
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
        end = received.rfind(_EVENT_END)
        if end < 0:
            self._partial_event = received
            return b''
        end += len(_EVENT_END)
        complete = received[:end]
        self._partial_event = received[end:]
        for event in complete.split(_EVENT_END):
            if event.strip():
                self._record_event(event)
        return complete

    def pop_partial_event(self) -> bytes:
        """Return and remove the bytes after the last complete event."""
        partial_event = self._partial_event
        self.trailing_bytes = len(partial_event)
        self._partial_event = b''
        return partial_event

    def drop_partial_event(self) -> None:
        """Discard the bytes after the last complete event."""
        self._partial_event = b''

    def _record_event(self, event: bytes) -> None:
        self._last_at = read_clock()
        if not self.event_count:
            self.first_at = self._last_at
        self.event_count += 1
        data = []
        for line in event.split(b'\n'):
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip()
            elif line.startswith(_DATA_FIELD):
                data.append(line[len(_DATA_FIELD) :].removeprefix(b' '))
        self.event_data.append(b'\n'.join(data))
