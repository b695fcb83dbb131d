"""Split a stream of server-sent events into complete events."""

import array
import re
from collections.abc import Sequence
from typing import Final, overload

from bronzepost._internal.node.clock import read_clock

# An empty line ends an event; lines end with LF or CRLF (HTML, section 9.2.5).
_EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
_COMMENT: Final = b':'
_ID_FIELD: Final = b'id:'
_DATA_FIELD: Final = b'data:'
# An empty line has four bytes at most, so it may begin three bytes before a block.
_MAX_END_BYTES: Final = 4


class EventData(Sequence[bytes]):
    """The data of events, kept together.

    Tiny events would take many times their content as objects of their own.
    """

    def __init__(self) -> None:
        """Start without events."""
        self._content = bytearray()
        self._ends = array.array('Q')

    def __len__(self) -> int:
        """Return the number of events."""
        return len(self._ends)

    @overload
    def __getitem__(self, index: int) -> bytes: ...

    @overload
    def __getitem__(self, index: slice) -> list[bytes]: ...

    def __getitem__(self, index: int | slice) -> bytes | list[bytes]:
        """Return the data of one event, or of several."""
        if isinstance(index, slice):
            return [self[place] for place in range(*index.indices(len(self)))]
        place = range(len(self))[index]
        start = self._ends[place - 1] if place else 0
        return bytes(self._content[start : self._ends[place]])

    @property
    def size(self) -> int:
        """Return the bytes in memory."""
        return len(self._content) + self._ends.itemsize * len(self._ends)

    def add(self, event_data: bytes) -> None:
        """Add the data of an event."""
        self._content += event_data
        self._ends.append(len(self._content))


class EventSplitter:
    """Split the blocks of an event stream into complete events.

    ``event_count`` is the number of complete events, ``last_id`` the id of the
    last one. If ``keeps_data`` is true, ``event_data`` holds the data of each, with
    its lines joined by line feeds, in ``kept_bytes``. ``trailing_bytes`` is the
    number of bytes after the last complete event when the stream ended or broke off.
    The first event was complete at ``first_at``, in monotonic seconds.
    """

    def __init__(self) -> None:
        """Start with an empty stream."""
        self.last_id = b''
        self.event_count = 0
        self.keeps_data = True
        self.event_data = EventData()
        self.trailing_bytes = 0
        self._partial_event = bytearray()
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
        received = self._partial_event
        # What arrived earlier is not searched again.
        searched_bytes = max(len(received) - _MAX_END_BYTES + 1, 0)
        received += block
        start = 0
        for match in _EVENT_END.finditer(received, searched_bytes):
            event = bytes(received[start : match.start()])
            start = match.end()
            if event.strip():
                self._record_event(event)
        complete_events = bytes(received[:start])
        self._partial_event = received[start:]
        return complete_events

    @property
    def kept_bytes(self) -> int:
        """Return the size of the data that is kept."""
        return self.event_data.size

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
            for line in bytes(self._partial_event).splitlines()
        )

    def pop_partial_event(self) -> bytes:
        """Return and remove the bytes after the last complete event."""
        partial_event = bytes(self._partial_event)
        self.trailing_bytes = len(partial_event)
        self._partial_event = bytearray()
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
            self.event_data.add(b'\n'.join(data))
