"""Workspaces of a soak, and their keys, which come and go."""

import dataclasses
import itertools
import math
import random
import time
from collections.abc import Iterator
from typing import Final

NAMES: Final = ('tarn', 'fell')
# By rule, no request that is sent later than this after the store has taken a
# version is handled as only an older one allows.
BOUND_SECONDS: Final = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyRecord:
    """When a key of a workspace was published and taken away.

    Times are in monotonic seconds.
    """

    workspace: str
    since: float
    gone_at: float = math.inf


class KeyRing:
    """The keys of each workspace: one that stays, and one that is replaced."""

    def __init__(self) -> None:
        """Create the first keys."""
        self.records_by_key: dict[str, KeyRecord] = {}
        self._numbers = itertools.count(1)
        for name in NAMES:
            self._add(name, find_lasting_key(name))
            self.replace(name)

    def replace(self, name: str) -> None:
        """Replace the second key of a workspace; publish the ring then."""
        lasting = find_lasting_key(name)
        for key in self._list_keys(name):
            if key != lasting:
                record = self.records_by_key[key]
                self.records_by_key[key] = dataclasses.replace(
                    record, gone_at=time.monotonic()
                )
        self._add(name, f'{name}-key-{next(self._numbers)}')

    def list_tenants(self) -> list[dict[str, object]]:
        """Return the workspaces as the operators publish them."""
        return [
            {'name': name, 'apiKeys': list(self._list_keys(name))}
            for name in NAMES
        ]

    def draw_replaced(self) -> str:
        """Return a key that is or was one of those that are replaced."""
        lasting = set(map(find_lasting_key, NAMES))
        return random.choice(  # noqa: S311 - not for secrets
            [key for key in self.records_by_key if key not in lasting]
        )

    def _add(self, name: str, key: str) -> None:
        self.records_by_key[key] = KeyRecord(
            workspace=name, since=time.monotonic()
        )

    def _list_keys(self, name: str) -> Iterator[str]:
        for key, record in tuple(self.records_by_key.items()):
            if record.workspace == name and record.gone_at == math.inf:
                yield key


def find_lasting_key(name: str) -> str:
    """Return the key of a workspace that is never taken away."""
    return f'{name}-lasting-key'


def draw_lasting_key() -> str:
    """Return such a key of a random workspace."""
    name = random.choice(NAMES)  # noqa: S311 - not for secrets
    return find_lasting_key(name)
