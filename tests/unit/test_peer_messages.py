"""Tests of encoding and decoding messages between nodes."""

from testtools import TestCase

from bronzepost._internal.core import configuration, membership
from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.node.peers import messages
from tests.builders_configuration import build_change
from tests.builders_membership import build_entry

RECEIVER = '127.0.0.1:7002'


def build_codec(
    *,
    name: str = 'a',
    boot: int = 1,
    keys: tuple[str, ...] = ('key',),
    limit_bytes: int = 1000,
) -> messages.MessageCodec:
    """Return the codec of a node at the receiver's address."""
    return messages.MessageCodec(
        name=name,
        peer_address=RECEIVER,
        boot=boot,
        keys=list(keys),
        limit_bytes=limit_bytes,
    )


def build_request(offset: int = 7) -> configuration.ConfigurationRequest:
    """Return a small message."""
    return configuration.ConfigurationRequest(
        peer_address='127.0.0.1:7001', from_offset=offset
    )


def encode(codec: messages.MessageCodec, *, counter: int = 1) -> bytes:
    """Return the bytes of a small message to the receiver's address."""
    return codec.encode(build_request(), receiver=RECEIVER, counter=counter)


class CodecTest(TestCase):
    """Guard what a node accepts from the network."""

    def test_every_message_is_decoded_unchanged(self) -> None:
        """Guard against a kind of message that peers cannot decode."""
        sender = build_entry('a')
        origin = membership.Origin(peer_address='x', sequence=3)
        record = configuration.RecordAtOffset(
            offset=4, record=build_change('r1')
        )
        unreadable = configuration.RecordAtOffset(
            offset=5, record=configuration.UnreadableRecord(reason='x')
        )
        tree = configuration.TreeAtOffset(
            next_offset=4, snapshot_next_offset=0, entries=()
        )
        every_message: tuple[messages.PeerMessage, ...] = (
            membership.Ping(sender=sender, sequence=1, configuration_offset=2),
            membership.Ack(
                sender=sender,
                sequence=1,
                configuration_offset=2,
                updates=(sender,),
                origin=origin,
            ),
            membership.PingRequest(
                sender=sender,
                sequence=1,
                configuration_offset=2,
                target_address='x',
            ),
            configuration.ConfigurationRecords(
                peer_address='x',
                next_offset=6,
                records=(record, unreadable),
                tree=tree,
            ),
            build_request(),
            messages.MirrorRecords(
                peer_address='x', partition=3, epoch=1, records=({'a': 1},)
            ),
            messages.MirrorAck(
                peer_address='x', partition=3, epoch=1, record_ids=('r1',)
            ),
        )
        sender_codec = build_codec()
        for message in every_message:
            content = sender_codec.encode(message, receiver=RECEIVER, counter=1)
            decoded = build_codec(name='b').decode(content)
            self.assertEqual(('a', message), (decoded.sender, decoded.message))

    def test_wrong_key_and_tampered_bytes_are_refused(self) -> None:
        """Guard against messages that were forged or tampered with."""
        content = encode(build_codec())
        receiver = build_codec()
        for index, byte in enumerate(content):
            tampered = bytearray(content)
            tampered[index] = byte ^ 1
            self.assertRaises(ProtocolError, receiver.decode, bytes(tampered))
        for bad in (b'', content[:32], encode(build_codec(keys=('other',)))):
            self.assertRaises(ProtocolError, receiver.decode, bad)
        self.assertEqual(build_request(), receiver.decode(content).message)

    def test_damage_is_found_without_keys(self) -> None:
        """Guard against damaged messages between nodes that have no keys."""
        content = encode(build_codec(keys=()))
        receiver = build_codec(keys=())
        for index, byte in enumerate(content):
            damaged = bytearray(content)
            damaged[index] = byte ^ 1
            self.assertRaises(ProtocolError, receiver.decode, bytes(damaged))
        self.assertEqual(build_request(), receiver.decode(content).message)

    def test_checksum_does_not_replace_a_key(self) -> None:
        """Guard nodes with keys against messages of nodes without keys."""
        for sender, receiver in (((), ('key',)), (('key',), ())):
            content = encode(build_codec(keys=sender))
            codec = build_codec(keys=receiver)
            self.assertRaises(ProtocolError, codec.decode, content)

    def test_both_keys_are_accepted_during_rotation(self) -> None:
        """Guard against nodes that refuse each other during a key rotation."""
        for sender, receiver in (
            (('old',), ('old', 'new')),
            (('old', 'new'), ('old',)),
            (('new', 'old'), ('old', 'new')),
            (('new',), ('new', 'old')),
        ):
            content = encode(build_codec(keys=sender))
            build_codec(keys=receiver).decode(content)

    def test_size_is_bounded_on_both_sides(self) -> None:
        """Guard against a message that exhausts the memory of a node."""
        big = 'x' * 2000
        message = configuration.ConfigurationRequest(
            peer_address=big, from_offset=0
        )
        content = build_codec(limit_bytes=5000).encode(
            message, receiver=RECEIVER, counter=1
        )
        codec = build_codec()
        self.assertRaises(ProtocolError, codec.decode, content)
        self.assertRaises(
            ProtocolError,
            codec.encode,
            message,
            receiver=RECEIVER,
            counter=1,
        )

    def test_replay_is_refused(self) -> None:
        """Guard against a recorded message that is replayed."""
        receiver = build_codec()
        contents = [
            encode(build_codec(), counter=count) for count in (1, 3, 2, 200)
        ]
        for content in contents:
            receiver.decode(content)
        for content in contents:
            self.assertRaises(ProtocolError, receiver.decode, content)
        old = encode(build_codec(), counter=4)
        self.assertRaises(ProtocolError, receiver.decode, old)
        receiver.decode(encode(build_codec(boot=2)))

    def test_message_for_another_node_is_refused(self) -> None:
        """Guard against a recorded message that is replayed to another node."""
        content = build_codec().encode(
            build_request(), receiver='127.0.0.1:7009', counter=1
        )
        self.assertRaises(ProtocolError, build_codec().decode, content)
