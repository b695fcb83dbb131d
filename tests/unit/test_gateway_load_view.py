"""The loads of VMs that reports carry on in large fleets."""

import testtools

from bronzepost._internal.core.gateway.load_view import (
    MAX_RELAYED_LOADS,
    RELAY_SECONDS,
    STALE_LOAD_SECONDS,
    LoadView,
)

NOW = 100.0


class TestLoadView(testtools.TestCase):
    """Of two loads of a VM the newer one counts, whichever way it came."""

    def make_view(self, **loads: tuple[float, dict[str, int]]) -> LoadView:
        view = LoadView()
        for name, (age_seconds, in_flight) in loads.items():
            view.put(name, in_flight, at=NOW - age_seconds)
        return view

    def test_newer_relayed_load_replaces_a_direct_one(self) -> None:
        view = self.make_view(a=(1.0, {'i-1': 3}), b=(0.5, {'i-1': 1}))
        view.put_relayed({'a': (200, {'i-2': 2})}, own_name='me', at=NOW)
        self.assertEqual((1, 2), (view.in_flight['i-1'], view.in_flight['i-2']))

    def test_older_relayed_load_is_ignored(self) -> None:
        """Guard against loads that return by a longer way and count again."""
        view = self.make_view(a=(0.1, {'i-1': 3}))
        view.put_relayed({'a': (200, {'i-1': 7})}, own_name='me', at=NOW)
        self.assertEqual(3, view.in_flight['i-1'])

    def test_own_load_is_not_taken_from_a_peer(self) -> None:
        """A VM counts its own requests itself; they would count twice."""
        view = self.make_view()
        view.put_relayed({'me': (0, {'i-1': 7})}, own_name='me', at=NOW)
        self.assertEqual(0, view.in_flight['i-1'])

    def test_load_of_an_impossible_age_is_ignored(self) -> None:
        """A load from the future would hide all later ones of its VM."""
        view = self.make_view()
        stale = round(STALE_LOAD_SECONDS * 1000)
        loads = {'a': (-5, {'i-1': 7}), 'b': (stale, {'i-1': 7})}
        view.put_relayed(loads, own_name='me', at=NOW)
        self.assertEqual(0, view.in_flight['i-1'])

    def test_stale_loads_leave_the_sum_and_the_memory(self) -> None:
        """A VM that is gone sends no load that replaces its last one."""
        view = self.make_view(
            a=(STALE_LOAD_SECONDS + 0.1, {'i-1': 3}), b=(0.1, {'i-1': 1})
        )
        view.recount(at=NOW)
        self.assertEqual({'i-1': 1}, dict(view.in_flight))
        view.put('a', {}, at=NOW)
        self.assertEqual(1, view.in_flight['i-1'])

    def test_requests_that_ended_are_carried_on_too(self) -> None:
        """Otherwise peers would count them until they are stale."""
        view = self.make_view(a=(0.1, {}))
        self.assertEqual({'a': (100, {})}, view.list_relayed(at=NOW))

    def test_newest_loads_are_carried_on(self) -> None:
        loads = {
            f'vm-{number}': (number / 1000, {'i-1': 1}) for number in range(90)
        }
        relayed = self.make_view(**loads).list_relayed(at=NOW)
        expected = {f'vm-{number}' for number in range(MAX_RELAYED_LOADS)}
        self.assertEqual(expected, set(relayed))

    def test_old_loads_are_not_carried_on(self) -> None:
        view = self.make_view(a=(RELAY_SECONDS + 0.1, {'i-1': 3}))
        self.assertEqual({}, view.list_relayed(at=NOW))
