"""Messages of other VMs, or of strangers, that never end."""

import time
from typing import Any

import testtools

from bronzepost._internal.gateway.peers.messages import GatewayCodec
from bronzepost._internal.node.peers.peers import PeerTransport

# Every turn of the loop is short enough that callers are answered in 0.5 s, which
# takes some ten turns.
TURN_SECONDS = 0.05
MESSAGE_SECONDS = 0.01


class EndlessReceiver:
    """A queue that always has a message, which takes long to decode."""

    def __init__(self) -> None:
        """Count no messages yet."""
        self.received = 0

    def receive(self) -> bytes:
        """Return a message that is refused."""
        self.received += 1
        time.sleep(MESSAGE_SECONDS)
        return b'x' * 100


class TestPeerBursts(testtools.TestCase):
    """The peer port cannot keep the loop."""

    def make_transport(self) -> PeerTransport[Any]:
        """Return a transport that has not started."""
        codec = GatewayCodec(
            name='a', peer_address='127.0.0.1:1', boot=1, keys=[]
        )
        return PeerTransport(codec=codec, receive=_ignore)

    def test_large_messages_without_end_do_not_keep_the_loop(self) -> None:
        """Guards against a batch that is bounded by a number only."""
        transport = self.make_transport()
        receiver: Any = EndlessReceiver()
        started_at = time.monotonic()
        transport._handle_batch(receiver)  # noqa: SLF001
        self.assertLess(time.monotonic() - started_at, TURN_SECONDS)
        self.assertEqual(receiver.received, transport.counts.rejected)


def _ignore(_sender: str, _message: Any) -> None:
    """Receive nothing."""
