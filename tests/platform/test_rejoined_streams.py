"""Tests of streams that callers take up after a loss of all VMs.

The callers do not name the request that began their stream.
"""

from collections import Counter
from collections.abc import Sequence

import gevent

from tests.platform.builders_streams import (
    LIST_SECONDS,
    STREAM_COUNT,
    StreamVersionCase,
    kill,
)

# Two take-ups of a stream: at once and late.
PAUSE_SECONDS = 1.5
OK = 200
NOT_RUN = 503
# The delay of the store's answers while it is slow, as the platform states it.
SLOW_ANSWER_SECONDS = 0.25


class RejoinedStreamCase(StreamVersionCase):
    """All VMs are killed while streams are under way, and start again."""

    def lose_all_vms(self) -> list[str]:
        """Begin streams, kill all VMs and start them; return the streams."""
        request_ids = self.begin_streams(self.vms)
        self.change_servers()
        self.vms = self.start_vms()
        return request_ids

    def change_servers(self) -> None:
        """Change which servers are registered while no VM runs."""

    def remove_server(self, version: str) -> None:
        self.store.put('keyed.servers', f'i-{version}', b'')

    def take_up_unnamed(
        self, request_ids: Sequence[str], attempt: str
    ) -> dict[str, int]:
        """Take each stream up at one of the VMs; return the statuses."""
        statuses = {}
        for number, request_id in enumerate(request_ids):
            vm = self.vms[number % len(self.vms)]
            answer = vm.send_turn(f'{attempt}-{request_id}', 'Last-Event-Id: 1')
            assert answer.head is not None
            statuses[request_id] = answer.head.status
        return statuses

    def list_joined(self, request_ids: Sequence[str], attempt: str) -> set[str]:
        """Return the streams that went on at another version."""
        return {
            request_id
            for request_id in request_ids
            if self.find_version(f'{attempt}-{request_id}')
            not in {'', self.find_version(request_id)}
        }

    def take_up_twice(self, request_ids: Sequence[str]) -> Counter[int]:
        """Take streams up at once and again later; return the statuses."""
        statuses: Counter[int] = Counter()
        for attempt in ('at-once', 'late'):
            found = self.take_up_unnamed(request_ids, attempt)
            statuses.update(found.values())
            self.assertEqual(set(), self.list_joined(request_ids, attempt))
            gevent.sleep(PAUSE_SECONDS)
        return statuses


class TestOldVersionLeaves(RejoinedStreamCase):
    """The old version's servers leave while no VM runs."""

    def change_servers(self) -> None:
        """Remove the server of the old version."""
        self.remove_server('v1')

    def test_streams_are_not_joined(self) -> None:
        """Guard against a take-up at the only version that is left."""
        statuses = self.take_up_twice(self.lose_all_vms())
        self.assertEqual(Counter({NOT_RUN: STREAM_COUNT * 2}), statuses)


class TestBothVersionsStay(RejoinedStreamCase):
    """Servers of both versions are registered all the time."""

    def test_streams_are_not_joined(self) -> None:
        """Guard against a choice between two versions."""
        statuses = self.take_up_twice(self.lose_all_vms())
        self.assertEqual(Counter({NOT_RUN: STREAM_COUNT * 2}), statuses)


class TestOldVersionLeavesWithoutLoss(RejoinedStreamCase):
    """One VM is lost, and the old version's servers have just left."""

    def test_streams_are_not_joined(self) -> None:
        """Guard against the same take-ups at VMs that go on running."""
        request_ids = self.begin_streams(self.vms[:1])
        self.remove_server('v1')
        gevent.sleep(LIST_SECONDS)
        self.vms = self.vms[1:]
        statuses = self.take_up_twice(request_ids)
        self.assertEqual(Counter({NOT_RUN: STREAM_COUNT * 2}), statuses)


class TestSingleVersion(RejoinedStreamCase):
    """There has never been a second version."""

    versions: tuple[str, ...] = ('v1',)

    def test_streams_go_on(self) -> None:
        """Guard against refusals where no two versions can be joined."""
        statuses = self.take_up_twice(self.lose_all_vms())
        self.assertEqual(Counter({OK: STREAM_COUNT * 2}), statuses)

    def test_streams_are_refused_without_the_store(self) -> None:
        """Guard against going on by a list that is not read any more.

        The VMs lose the store after their start, before they have read which
        versions were in service.
        """
        request_ids = self.begin_streams(self.vms)
        self.vms = self.start_vms()
        self.store.is_down = True
        gevent.sleep(PAUSE_SECONDS * 2)
        statuses = self.take_up_unnamed(request_ids, 'away')
        self.assertEqual({NOT_RUN}, set(statuses.values()))
        self.assertEqual(set(), self.list_joined(request_ids, 'away'))
        self.store.is_down = False
        gevent.sleep(PAUSE_SECONDS)
        statuses = self.take_up_unnamed(request_ids, 'back')
        self.assertEqual({OK}, set(statuses.values()))

    def test_streams_go_on_while_the_store_is_slow(self) -> None:
        request_ids = self.lose_all_vms()
        self.store.delay_seconds = SLOW_ANSWER_SECONDS
        gevent.sleep(LIST_SECONDS)
        statuses = self.take_up_unnamed(request_ids, 'slow')
        self.assertEqual({OK}, set(statuses.values()))

    def test_two_losses(self) -> None:
        self.lose_all_vms()
        kill(self.vms)
        self.vms = self.start_vms()
        statuses = self.take_up_unnamed(['first-0', 'first-1'], 'again')
        self.assertEqual({OK}, set(statuses.values()))
