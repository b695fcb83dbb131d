"""Messages between VMs of different builds."""

from collections.abc import Callable
from typing import Final

from bronzepost._internal.exceptions import ProtocolError, UnknownMessageError
from bronzepost._internal.gateway.peers.messages import (
    PROTOCOLS_BY_KIND,
    GatewayMessage,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.exposition import METRICS
from bronzepost._internal.telemetry.logs import emit

# Bounds what is remembered of members of other builds.
MAX_KINDS_REPORTED: Final = 256

FindProtocol = Callable[[str], int]


class OtherBuilds:
    """Decide what members of other builds get, and report what they send."""

    def __init__(self) -> None:
        """Take all members for a build that states no protocol version."""
        # Returns the protocol version of a member by its name.
        self.find_protocol: FindProtocol = _find_no_protocol
        self._reported_kinds: set[tuple[str, str]] = set()

    def understands(self, name: str, message: GatewayMessage) -> bool:
        """Return whether a member's build knows the kind of a message.

        Messages that it does not know are counted.
        """
        protocol = PROTOCOLS_BY_KIND.get(type(message), 0)
        if not protocol or self.find_protocol(name) >= protocol:
            return True
        METRICS.messages_held_back.labels(kind=type(message).__name__).inc()
        return False

    def report_error(self, error: Exception) -> None:
        """Log an error of the transport.

        A kind of message that this build does not know is logged once for each
        sender, since it may come many times a second.
        """
        if isinstance(error, UnknownMessageError):
            self._report_unknown(error)
        elif isinstance(error, ProtocolError):
            emit(LogEvent.PEER_REJECTED, error=error)
        else:
            emit(LogEvent.PEER_MESSAGE_DROPPED, error=error)

    def _report_unknown(self, error: UnknownMessageError) -> None:
        METRICS.messages_unknown.labels(kind=error.kind).inc()
        source = (error.sender, error.kind)
        if len(self._reported_kinds) < MAX_KINDS_REPORTED and (
            source not in self._reported_kinds
        ):
            self._reported_kinds.add(source)
            emit(
                LogEvent.PEER_KIND_UNKNOWN,
                peer=error.sender,
                kind=error.kind,
                error=error,
            )


def _find_no_protocol(_name: str) -> int:
    return 0
