"""Tests of the choice of endpoints for callers."""

import dataclasses

import msgspec
from testtools import TestCase

from bronzepost._internal.core import endpoints, membership
from tests.builders_configuration import build_member

ZONES = ('hall-a', 'hall-b', 'hall-c')
MEMBERS = tuple(
    build_member(f'{zone}-{index}', zone=zone)
    for zone in ZONES
    for index in range(8)
)


def set_state(
    state: membership.MemberState, *names: str
) -> tuple[membership.Member, ...]:
    """Return the members, with those in ``names`` in another state."""
    return tuple(
        dataclasses.replace(member, state=state)
        if member.name in names
        else member
        for member in MEMBERS
    )


def list_addresses(
    members: tuple[membership.Member, ...] = MEMBERS,
    *,
    key: str = 'p-1',
    owner: str = '',
    zone: str = '',
) -> list[str]:
    """Return the addresses for a caller."""
    answer = endpoints.choose_endpoints(
        members, key=key, owner=owner, availability_zone=zone
    )
    return [endpoint.address for endpoint in answer.endpoints]


class ChooseEndpointsTest(TestCase):
    """Guard the choice of members for a caller."""

    def test_owner_then_zone_then_others(self) -> None:
        """Guard the order, and the addresses in other zones."""
        found = list_addresses(owner='hall-c-3', zone='hall-b')
        zones = [address[:6] for address in found]
        self.assertEqual('hall-c-3:8001', found[0])
        self.assertEqual(['hall-b', 'hall-b', 'hall-b'], zones[1:4])
        self.assertEqual({'hall-a', 'hall-c'}, set(zones[4:]))
        self.assertEqual(6, len(set(found)))

    def test_unknown_zone_spreads_over_zones(self) -> None:
        """Guard against answers with addresses in only one zone."""
        zones = [address[:6] for address in list_addresses()]
        self.assertEqual([2, 2, 2], [zones.count(zone) for zone in ZONES])

    def test_callers_are_spread(self) -> None:
        """Guard against all callers connecting to the same member."""
        first = {list_addresses(key=f'p-{key}')[0] for key in range(200)}
        self.assertGreater(len(first), 20)

    def test_drain_leaving_and_suspected_are_left_out(self) -> None:
        """Guard against sending new callers to an unavailable member."""
        for state in ('leaving', 'suspected', 'dead'):
            members = set_state(membership.MemberState(state), 'hall-a-0')
            for key in range(50):
                found = list_addresses(
                    members, key=str(key), owner='hall-a-0', zone='hall-a'
                )
                self.assertNotIn('hall-a-0:8001', found)
                self.assertEqual(6, len(found))

    def test_leaving_member_is_named_if_there_is_no_other(self) -> None:
        """Guard against an empty answer while a node can still forward."""
        names = [member.name for member in MEMBERS]
        members = set_state(membership.MemberState.DEAD, *names[1:])
        leaving_member = dataclasses.replace(
            members[0], state=membership.MemberState.LEAVING
        )
        found = list_addresses((leaving_member, *members[1:]))
        self.assertEqual(['hall-a-0:8001'], found)

    def test_answer_has_the_form_of_the_protocol(self) -> None:
        """Guard the JSON that callers read."""
        answer = endpoints.choose_endpoints(MEMBERS[:1], key='p-1')
        self.assertEqual(
            {
                'endpoints': [
                    {'address': 'hall-a-0:8001', 'availability_zone': 'hall-a'}
                ],
                'time_to_live_seconds': 5,
            },
            msgspec.json.decode(msgspec.json.encode(answer)),
        )
