"""Addresses of nodes, requested from ``/v1/endpoints`` and cached."""

import math
import time
from collections.abc import Sequence
from typing import Protocol

from demo.exchange import exchange_json


class Endpoints(Protocol):
    """Source of the addresses to which a caller sends its calls."""

    def choose(self) -> str:
        """Return the address for the next call."""

    def invalidate(self) -> None:
        """Discard the known addresses after one did not answer."""


class EndpointCache:
    """Addresses for one program, cached for their time to live.

    Addresses are chosen in rotation, so that calls also reach nodes that do
    not own the program and have to forward them.
    """

    def __init__(self, *, program: str, entry_addresses: Sequence[str]) -> None:
        """Start with an empty cache.

        The addresses are requested from any of ``entry_addresses``.
        """
        self._program = program
        self._entry_addresses = entry_addresses
        self._addresses: list[str] = []
        self._expires_at = -math.inf
        self._next_index = sum(program.encode())

    def choose(self) -> str:
        """Return the next address; refresh the cache if it has expired.

        Raises:
            OSError: if no entry address answers.
        """
        if time.monotonic() >= self._expires_at:
            self._refresh()
        self._next_index += 1
        return self._addresses[self._next_index % len(self._addresses)]

    def invalidate(self) -> None:
        """Refresh the cache before the next call."""
        self._expires_at = -math.inf

    def _refresh(self) -> None:
        count = len(self._entry_addresses)
        failures: list[OSError] = []
        for index in range(count):
            address = self._entry_addresses[(self._next_index + index) % count]
            try:
                answer = exchange_json(
                    'GET',
                    address,
                    f'/v1/endpoints?program={self._program}',
                    headers={},
                )
            except OSError as error:
                failures.append(error)
                continue
            self._addresses = [
                endpoint['address'] for endpoint in answer['endpoints']
            ]
            lifetime = answer['time_to_live_seconds']
            self._expires_at = time.monotonic() + lifetime
            return
        raise failures[-1]
