"""Addresses of nodes, asked for as callers are meant to."""

import math
import time
from collections.abc import Sequence
from typing import Protocol

from demo.exchange import exchange_json


class Endpoints(Protocol):
    """Where a caller sends its calls."""

    def choose(self) -> str:
        """Return the address for the next call."""

    def forget(self) -> None:
        """Note that an address did not answer."""


class EndpointCache:
    """Addresses for one program, kept for their time to live.

    The addresses take turns, so that calls also reach nodes that do not own
    the program and have to forward them.
    """

    def __init__(self, *, program: str, entry_addresses: Sequence[str]) -> None:
        """Start without an answer; any entry address may be asked."""
        self._program = program
        self._entry_addresses = entry_addresses
        self._addresses: list[str] = []
        self._expires_at = -math.inf
        self._turn = sum(program.encode())

    def choose(self) -> str:
        """Return the next address; ask for addresses if none is fresh.

        Raises:
            OSError: if no entry address answers.
        """
        if time.monotonic() >= self._expires_at:
            self._refresh()
        self._turn += 1
        return self._addresses[self._turn % len(self._addresses)]

    def forget(self) -> None:
        """Ask again before the next call."""
        self._expires_at = -math.inf

    def _refresh(self) -> None:
        count = len(self._entry_addresses)
        failures: list[OSError] = []
        for turn in range(count):
            address = self._entry_addresses[(self._turn + turn) % count]
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
            self._addresses = [it['address'] for it in answer['endpoints']]
            lifetime = answer['time_to_live_seconds']
            self._expires_at = time.monotonic() + lifetime
            return
        raise failures[-1]
