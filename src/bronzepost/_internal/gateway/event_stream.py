"""Split a stream of server-sent events at the ends of its events."""

from typing import Final

from bronzepost._internal.node.clock import read_clock

_EVENT_END: Final = b'\n\n'
_ID_FIELD: Final = b'id:'
_DATA_FIELD: Final = b'data:'


class EventSplitter:
    """Cut the blocks of an event stream into whole events.

    ``pace`` is the mean time between two events in seconds, 0 before the
    second event. ``last_id`` is the id of the last whole event, and ``events`` counts them.
    ``data_lines`` holds the data of each whole event, joined by line feeds.
    """

    def __init__(self) -> None:
        """Start before the first event."""
        self.last_id = b''
        self.events = 0
        self.data_lines: list[bytes] = []
        self._rest = b''
        self._first_at: float = 0
        self._last_at: float = 0

    @property
    def seconds_per_event(self) -> float:
        """Return the mean seconds between two events."""
        if self.events < 2:
            return 0
        return (self._last_at - self._first_at) / (self.events - 1)

    def feed(self, block: bytes) -> bytes:
        """Take a block and return the events that it completes."""
        content = self._rest + block
        end = content.rfind(_EVENT_END)
        if end < 0:
            self._rest = content
            return b''
        end += len(_EVENT_END)
        whole = content[:end]
        self._rest = content[end:]
        for event in whole.split(_EVENT_END):
            if event.strip():
                self._note(event)
        return whole

    def take_rest(self) -> bytes:
        """Return the bytes after the last whole event."""
        rest = self._rest
        self._rest = b''
        return rest

    def drop_rest(self) -> None:
        """Forget an event that was broken off."""
        self._rest = b''

    def _note(self, event: bytes) -> None:
        self._last_at = read_clock()
        if not self.events:
            self._first_at = self._last_at
        self.events += 1
        data = []
        for line in event.split(b'\n'):
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip()
            elif line.startswith(_DATA_FIELD):
                data.append(line[len(_DATA_FIELD) :].removeprefix(b' '))
        self.data_lines.append(b'\n'.join(data))
