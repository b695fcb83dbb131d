"""Members in one process, connected by a simulated network."""

import dataclasses
import heapq
import random
from collections.abc import Iterable

from bronzepost._internal.core import membership

TICK_SECONDS = 0.05


def build_entry(
    name: str,
    *,
    incarnation: int = 1,
    state: membership.MemberState = membership.MemberState.ALIVE,
) -> membership.MemberEntry:
    """Return an entry with addresses built from the name."""
    return membership.MemberEntry(
        name=name,
        peer_address=f'{name}:7001',
        forward_address=f'{name}:7101',
        caller_address=f'{name}:8001',
        availability_zone='hall-a',
        region='pl-central',
        incarnation=incarnation,
        state=state,
    )


@dataclasses.dataclass(kw_only=True)
class Network:
    """Members, a clock and the messages in flight.

    ``partition_by_name`` assigns members to sides of a network partition (0
    by default); messages between two sides are lost.
    """

    loss: float = 0
    duplication: float = 0
    delay_seconds: float = 0.01
    at: float = 0
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(7)
    )
    tables_by_name: dict[str, membership.MembershipTables] = dataclasses.field(
        default_factory=dict
    )
    paused: set[str] = dataclasses.field(default_factory=set)
    partition_by_name: dict[str, int] = dataclasses.field(default_factory=dict)
    actions: list[tuple[float, str, membership.MembershipAction]] = (
        dataclasses.field(default_factory=list)
    )
    boot_count: int = 0
    boot_by_name: dict[str, int] = dataclasses.field(default_factory=dict)
    in_flight: list[tuple[float, int, str, membership.MembershipMessage]] = (
        dataclasses.field(default_factory=list)
    )
    message_count: int = 0
    undelivered_by_name: dict[str, list[membership.MembershipMessage]] = (
        dataclasses.field(default_factory=dict)
    )

    def start(self, name: str, *, seeds: Iterable[str] = ('a',)) -> None:
        """Boot a member; a second boot of a name replaces the first."""
        self.stop(name)
        self.boot_count += 1
        self.boot_by_name[name] = self.boot_count
        self.tables_by_name[name] = membership.create_tables(
            build_entry(name, incarnation=1000 * self.boot_count),
            at=self.at,
            seeds=tuple(f'{seed}:7001' for seed in seeds),
            random_seed=self.boot_count,
        )
        self.paused.discard(name)

    def stop(self, name: str) -> None:
        """Kill a member."""
        self.tables_by_name.pop(name, None)
        self.undelivered_by_name.pop(name, None)

    def run(self, seconds: float) -> None:
        """Advance the clock and tick all members that are not paused."""
        end = self.at + seconds
        while self.at < end:
            self.at += TICK_SECONDS
            self._deliver()
            for name in sorted(self.tables_by_name):
                self._apply(name, membership.Tick(at=self.at))

    def leave(self, name: str) -> None:
        """Begin a graceful shutdown of a member."""
        membership.leave(self.tables_by_name[name], self.at)

    def state(self, viewer: str, name: str) -> str:
        """Return a member's state in another one's view, or ``unknown``."""
        member = self.tables_by_name[viewer].members_by_name.get(name)
        return member.state.value if member else 'unknown'

    def states(self, name: str) -> set[str]:
        """Return the states of a member in the views of all running members."""
        return {self.state(viewer, name) for viewer in self.tables_by_name}

    def _apply(self, name: str, event: membership.MembershipEvent) -> None:
        if name in self.paused or name not in self.tables_by_name:
            return
        tables = self.tables_by_name[name]
        for action in membership.apply_event(tables, event):
            self.actions.append((self.at, name, action))
            if isinstance(action, membership.Send):
                self._send(name, action)

    def _send(self, sender: str, action: membership.Send) -> None:
        target = action.peer_address.partition(':')[0]
        is_partitioned = self.partition_by_name.get(
            sender, 0
        ) != self.partition_by_name.get(target, 0)
        if is_partitioned or self.rng.random() < self.loss:
            return
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            due_at = self.at + self.rng.random() * self.delay_seconds
            self.message_count += 1
            item = (due_at, self.message_count, target, action.message)
            heapq.heappush(self.in_flight, item)

    def _deliver(self) -> None:
        while self.in_flight and self.in_flight[0][0] <= self.at:
            _, _, target, message = heapq.heappop(self.in_flight)
            if target in self.paused:
                # The socket of a paused process still buffers messages.
                self.undelivered_by_name.setdefault(target, []).append(message)
            else:
                self._receive(target, message)
        for name in sorted(set(self.undelivered_by_name) - self.paused):
            for message in self.undelivered_by_name.pop(name):
                self._receive(name, message)

    def _receive(
        self, name: str, message: membership.MembershipMessage
    ) -> None:
        event = membership.MessageReceived(at=self.at, message=message)
        self._apply(name, event)


def build_group(size: int) -> Network:
    """Return a network whose members ``a``, ``b`` and so on have joined."""
    network = Network()
    for index in range(size):
        network.start(chr(ord('a') + index))
    network.run(seconds=3)
    return network
