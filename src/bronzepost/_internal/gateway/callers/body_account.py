"""The account of the body that is read or answered on a caller's connection."""

from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.gateway.callers.held_memory import (
    HeldMemory,
    MemoryShortError,
)


class BodyAccount:
    """Count a request, from its first byte to the end of the answer."""

    def __init__(self, memory: HeldMemory) -> None:
        """Count in ``memory``; nothing has arrived yet."""
        self._memory = memory
        self._arrived = memory.open(HeldKind.REQUESTS)
        self._announced = memory.open(HeldKind.ANNOUNCED)
        self._beside = memory.open(HeldKind.CONNECTIONS)

    def reserve(self, body_bytes: int) -> None:
        """Make room for a body of which not all bytes have arrived.

        Raises:
            MemoryShortError: if this VM holds too much to read the body.
        """
        own_bytes = self._arrived.size + self._announced.size
        if not self._memory.has_room_for_body(body_bytes, own_bytes):
            raise MemoryShortError(
                f'no memory for a body of {body_bytes} bytes',
                step='read request',
            )
        self._announced.resize(max(body_bytes - self._arrived.size, 0))

    def count_arrived(self, arrived_bytes: int) -> None:
        """Count so many bytes of the body as held."""
        rest = self._announced.size - (arrived_bytes - self._arrived.size)
        self._announced.resize(max(rest, 0))
        self._arrived.resize(arrived_bytes)

    def count_beside(self, beside_bytes: int) -> None:
        """Count heads, and what has arrived of later requests."""
        self._beside.resize(beside_bytes)

    def complete(self, body_bytes: int) -> None:
        """Count a whole body."""
        self._announced.close()
        self._arrived.resize(body_bytes)

    def close(self) -> None:
        """Count nothing any more."""
        self._beside.close()
        self._announced.close()
        self._arrived.close()
