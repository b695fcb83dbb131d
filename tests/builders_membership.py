"""Several members in one process, over a simulated network."""

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
    """Return an entry whose addresses follow from the name."""
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
    """Members, the clock, and the messages on their way."""

    loss: float = 0
    duplication: float = 0
    delay_seconds: float = 0.01
    at: float = 0
    chance: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(7)
    )
    tables_by_name: dict[str, membership.MembershipTables] = dataclasses.field(
        default_factory=dict
    )
    paused: set[str] = dataclasses.field(default_factory=set)
    groups: dict[str, int] = dataclasses.field(default_factory=dict)
    actions: list[tuple[float, str, membership.MembershipAction]] = (
        dataclasses.field(default_factory=list)
    )
    boots: int = 0
    boot_by_name: dict[str, int] = dataclasses.field(default_factory=dict)
    in_flight: list[tuple[float, int, str, membership.MembershipMessage]] = (
        dataclasses.field(default_factory=list)
    )
    messages: int = 0
    held_by_name: dict[str, list[membership.MembershipMessage]] = (
        dataclasses.field(default_factory=dict)
    )

    def start(self, name: str, *, seeds: Iterable[str] = ('a',)) -> None:
        """Boot a member; a second boot of a name forgets the first."""
        self.stop(name)
        self.boots += 1
        self.boot_by_name[name] = self.boots
        self.tables_by_name[name] = membership.create_tables(
            build_entry(name, incarnation=1000 * self.boots),
            at=self.at,
            seeds=tuple(f'{seed}:7001' for seed in seeds),
            random_seed=self.boots,
        )
        self.paused.discard(name)

    def stop(self, name: str) -> None:
        """Kill a member."""
        self.tables_by_name.pop(name, None)
        self.held_by_name.pop(name, None)

    def run(self, seconds: float) -> None:
        """Let the time pass for all members that are not paused."""
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
        """Return what a member believes about another."""
        member = self.tables_by_name[viewer].members_by_name.get(name)
        return member.state.value if member else 'unknown'

    def states(self, name: str) -> set[str]:
        """Return what all running members believe about one."""
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
        is_cut = self.groups.get(sender, 0) != self.groups.get(target, 0)
        if is_cut or self.chance.random() < self.loss:
            return
        copies = 1 + (self.chance.random() < self.duplication)
        for _ in range(copies):
            due_at = self.at + self.chance.random() * self.delay_seconds
            self.messages += 1
            item = (due_at, self.messages, target, action.message)
            heapq.heappush(self.in_flight, item)

    def _deliver(self) -> None:
        while self.in_flight and self.in_flight[0][0] <= self.at:
            _, _, target, message = heapq.heappop(self.in_flight)
            if target in self.paused:
                # The socket of a paused process goes on to fill.
                self.held_by_name.setdefault(target, []).append(message)
            else:
                self._receive(target, message)
        for name in sorted(set(self.held_by_name) - self.paused):
            for message in self.held_by_name.pop(name):
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
