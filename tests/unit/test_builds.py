"""Tests of VMs of different builds side by side: messages and records."""

from typing import Any, Final
from unittest import mock

import msgspec
import testtools

from bronzepost._internal.core.gateway.entities import (
    CallerLimits,
    GatewayConfiguration,
    Workspace,
)
from bronzepost._internal.core.membership import MemberEntry
from bronzepost._internal.exceptions import ProtocolError, UnknownMessageError
from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.peers import other_builds
from bronzepost._internal.gateway.peers.message_parts import NamedLimit
from bronzepost._internal.gateway.peers.messages import (
    PROTOCOL,
    PROTOCOLS_BY_KIND,
    FindStream,
    GatewayCodec,
    LoadReport,
    SnapshotRequest,
)
from bronzepost._internal.gateway.peers.received_reports import ReceivedReports
from bronzepost._internal.gateway.peers.snapshots import decode_copy
from bronzepost._internal.gateway.programs.allowance_writer import (
    StoredAccount,
    decode_account,
    encode_account,
)
from bronzepost._internal.gateway.programs.home import decode_accounts
from bronzepost._internal.gateway.programs.keyed_store import KeyedRecord
from bronzepost._internal.gateway.programs.turn_store import decode_turn
from bronzepost._internal.gateway.servers.directory import Directory
from tests.builders_builds import (
    EARLIER_BUILDS,
    RECORDINGS,
    ROOT,
    check_recording,
    make_folder,
    read_recording,
    run_script,
    unpack_build,
)
from tests.builders_gateway import make_route

ADDRESS: Final = '127.0.0.1:7002'
# Records of tunnels, which 01a0da3 has not. Its VMs do not listen for them.
TUNNEL_FRAMES: Final = frozenset(('open_tunnel', 'tunnel_answer'))
NO_KINDS: Final[frozenset[str]] = frozenset()
# The kinds of this build that earlier builds do not have.
MISSING_KINDS: Final = (TUNNEL_FRAMES, NO_KINDS)
UNKNOWN: Final = 'unknown kind'


class TestRecordings(testtools.TestCase):
    """Each build decodes what the others send and store."""

    def test_this_build_decodes_earlier_ones(self) -> None:
        """Guard against a record or message that is lost by an upgrade."""
        paths = sorted(RECORDINGS.glob('*.json'))
        self.assertGreaterEqual(len(paths), len(EARLIER_BUILDS) + 1)
        for path in paths:
            self.assertEqual({}, check_recording(ROOT, path), path.name)

    def test_earlier_builds_decode_this_one(self) -> None:
        """Guard against a change that breaks VMs which are not replaced yet."""
        path = make_folder(self) / 'now.json'
        run_script(ROOT, 'record', path)
        newer = list_stated_kinds()
        for commit, missing in zip(EARLIER_BUILDS, MISSING_KINDS, strict=True):
            failures = check_recording(unpack_build(self, commit), path)
            self.assertEqual(missing | newer, set(failures), commit)
            is_known = [reason != UNKNOWN for reason in failures.values()]
            self.assertNotIn(True, is_known)

    def test_new_kinds_of_messages_have_a_protocol_version(self) -> None:
        """Guard against a kind that is sent to VMs which do not know it."""
        path = make_folder(self) / 'now.json'
        run_script(ROOT, 'record', path)
        earlier = read_recording(RECORDINGS / f'{EARLIER_BUILDS[-1]}.json')
        added = (
            read_recording(path)['examples'].keys() - earlier['examples'].keys()
        )
        stated = list_stated_kinds()
        self.assertEqual(set(), added - stated)
        self.assertTrue(
            all(0 < number <= PROTOCOL for number in PROTOCOLS_BY_KIND.values())
        )


class TestOtherFields(testtools.TestCase):
    """Fields that one of two builds does not have do not cost the rest."""

    def test_longer_array_of_a_newer_build(self) -> None:
        """Guard against accounts that an older VM cannot read."""
        content = msgspec.msgpack.encode([
            300,
            {'a': 1},
            {},
            {'a': 2},
            {},
            0,
            {},
            False,
            'new',
        ])
        account = decode_account(
            KeyedRecord(key='p', content=content, offset=0)
        )
        assert account is not None
        self.assertEqual(
            (300, {'a': 2}),
            (
                account.budget,
                account.spent_by_holder,
            ),
        )
        turn = decode_turn(
            msgspec.msgpack.encode(['t', [], b'p', b'a', 1.5, 7])
        )
        assert turn is not None
        self.assertEqual('t', turn.turn_id)
        limit = msgspec.msgpack.encode([2.5, 1.0, True, 'new'])
        self.assertEqual(
            NamedLimit(rate=2.5, age_seconds=1, is_ended=True),
            msgspec.msgpack.decode(limit, type=NamedLimit),
        )

    def test_shorter_array_of_an_older_build(self) -> None:
        content = msgspec.msgpack.encode([300, {'a': 1}])
        stored = msgspec.msgpack.decode(content, type=StoredAccount)
        self.assertEqual({}, stored.spent_by_holder)
        entry = ['a', ADDRESS, '', ADDRESS, 'hall-a', 'r', 5]
        member = msgspec.msgpack.decode(
            msgspec.msgpack.encode(entry), type=MemberEntry
        )
        self.assertEqual((5, ''), (member.incarnation, member.boot))

    def test_account_is_stored_as_it_was_read(self) -> None:
        content = msgspec.msgpack.encode(
            StoredAccount(budget=300, granted_by_holder={'a': 100})
        )
        record = KeyedRecord(key='p', content=content, offset=0)
        account = decode_account(record)
        assert account is not None
        self.assertEqual(content, encode_account(account).content)

    def test_unknown_fields_of_classes_with_names(self) -> None:
        account = {'program_id': 'p', 'budget': 300, 'new': [1]}
        found = decode_accounts(msgspec.msgpack.encode([account]))
        assert found is not None
        self.assertEqual(['p'], [item.program_id for item in found])
        report = {
            'type': 'load_report',
            'in_flight': {},
            'has_store': True,
            'is_ready': True,
            'version': 7,
        }
        for extra in ({}, {'new': 1}):
            decoded = msgspec.msgpack.decode(
                msgspec.msgpack.encode({**report, **extra}), type=LoadReport
            )
            self.assertEqual(0, decoded.protocol)

    def test_content_that_cannot_be_read(self) -> None:
        """Guard against an exception in the loop that takes snapshots."""
        self.assertIsNone(decode_copy(b'\x81\xa3new\x01'))
        self.assertIsNone(decode_accounts(b'\x81\xa3new\x01'))


class TestOtherKinds(testtools.TestCase):
    """A kind of message that one of two builds does not know."""

    def make_codec(self) -> GatewayCodec:
        return GatewayCodec(name='a', peer_address=ADDRESS, boot=1, keys=[])

    def encode(self, message: Any, counter: int = 1) -> bytes:
        return self.make_codec().encode(
            message, receiver=ADDRESS, counter=counter
        )

    def test_unknown_kind_names_its_sender(self) -> None:
        content = self.encode({'type': 'of_a_newer_build', 'call_id': 1})
        error = self.assertRaises(
            UnknownMessageError, self.make_codec().decode, content
        )
        self.assertEqual(('a', 'of_a_newer_build'), (error.sender, error.kind))

    def test_known_messages_are_decoded_after_an_unknown_kind(self) -> None:
        codec = self.make_codec()
        self.assertRaises(
            UnknownMessageError, codec.decode, self.encode({'type': 'new'}, 1)
        )
        message = FindStream(call_id=1, request_id='q')
        envelope = codec.decode(self.encode(message, 2))
        self.assertEqual(message, envelope.message)

    def test_bytes_without_an_envelope(self) -> None:
        content = self.encode({'type': 'new'})
        with mock.patch.object(GatewayCodec, '_is_authentic') as is_authentic:
            is_authentic.return_value = True
            error = self.assertRaises(
                ProtocolError, self.make_codec().decode, content[:-5]
            )
        self.assertNotIsInstance(error, UnknownMessageError)

    def test_unknown_kind_is_logged_once_for_each_sender(self) -> None:
        """Guard against a line for each of many messages a second."""
        builds = other_builds.OtherBuilds()
        with mock.patch.object(other_builds, 'emit') as emit:
            for sender in ('a', 'b', 'a', 'b', 'a'):
                builds.report_error(
                    UnknownMessageError('x', step='x', sender=sender, kind='k')
                )
        self.assertEqual(2, emit.call_count)

    def test_new_kind_goes_to_new_builds_only(self) -> None:
        """Guard against messages that an older build logs as errors."""
        reports = ReceivedReports(own_name='own')
        for name, protocol in (('new', PROTOCOL), ('old', PROTOCOL - 1)):
            reports.put(name, make_report(protocol))
        reports.forget('new')
        builds = other_builds.OtherBuilds()
        builds.find_protocol = reports.find_protocol
        message = SnapshotRequest(call_id=1)
        with mock.patch.object(
            other_builds, 'PROTOCOLS_BY_KIND', {SnapshotRequest: PROTOCOL}
        ):
            sent = [
                name
                for name in ('new', 'old', 'not reported yet')
                if builds.understands(name, message)
            ]
        self.assertEqual(['new'], sent)
        self.assertTrue(builds.understands('old', message))


class TestConfigurationOfAnOlderBuild(testtools.TestCase):
    """A configuration copied from a VM that does not know all its fields."""

    def test_same_version_completes_it(self) -> None:
        """Guard against workspaces that are ignored until the next version."""
        directory = Directory(pool=ConnectionPool())
        directory.put_configuration(make_configuration(None), is_partial=True)
        directory.put_configuration(make_configuration(None), is_partial=True)
        workspaces = (Workspace(name='w', key_digests=('d',)),)
        directory.put_configuration(make_configuration(workspaces))
        for is_partial in (True, False):
            directory.put_configuration(
                make_configuration(None), is_partial=is_partial
            )
        assert directory.configuration is not None
        self.assertEqual(workspaces, directory.configuration.workspaces)


def list_stated_kinds() -> set[str]:
    """Return the kinds of messages that have a protocol version."""
    return {str(kind.__struct_config__.tag) for kind in PROTOCOLS_BY_KIND}


def make_report(protocol: int) -> LoadReport:
    """Return the report of a build with a protocol version."""
    return LoadReport(
        in_flight={},
        has_store=True,
        is_ready=True,
        version=1,
        protocol=protocol,
    )


def make_configuration(
    workspaces: tuple[Workspace, ...] | None,
) -> GatewayConfiguration:
    """Return a configuration of one version with some workspaces."""
    return GatewayConfiguration(
        version=7,
        routes=(make_route(),),
        services_by_name={},
        limits=CallerLimits(),
        workspaces=workspaces,
    )
