"""The two messages that open a tunnel through another VM.

A frame has the length of its message in two bytes, big-endian, and the message in
MessagePack. After an answer that the tunnel is open, both directions carry bytes of
the backend server's connection.
"""

import enum
import struct
from typing import Any, Final, TypeVar

import msgspec

from bronzepost._internal.exceptions import ProtocolError

_LENGTH: Final = struct.Struct('>H')
# Ids of servers have some ten bytes.
MAX_FRAME_BYTES: Final = 1024


class TunnelVerdict(enum.StrEnum):
    """Whether a VM opened a tunnel, and why not; it then passed nothing on."""

    OPEN = 'open'
    UNREACHED = 'unreached'
    UNKNOWN_SERVER = 'unknown_server'
    CUT_OFF = 'cut_off'
    BUSY = 'busy'


class OpenTunnel(msgspec.Struct, frozen=True, kw_only=True, tag='open'):
    """Ask a VM to connect to one start of a backend server."""

    server_id: str
    born: int


class TunnelAnswer(msgspec.Struct, frozen=True, kw_only=True, tag='answer'):
    """Answer to ``OpenTunnel``."""

    verdict: TunnelVerdict


FrameT = TypeVar('FrameT', OpenTunnel, TunnelAnswer)


def send_frame(sock: Any, message: OpenTunnel | TunnelAnswer) -> None:
    """Send a message.

    Raises:
        OSError: if the connection is broken.
    """
    content = msgspec.msgpack.encode(message)
    sock.sendall(_LENGTH.pack(len(content)) + content)


def receive_frame(sock: Any, message_type: type[FrameT]) -> FrameT:
    """Return the next message, and read no bytes after it.

    Raises:
        OSError: if the connection is broken or closed.
        ProtocolError: if the bytes are not a message of the type.
    """
    size = _LENGTH.unpack(_receive_exactly(sock, _LENGTH.size))[0]
    if size > MAX_FRAME_BYTES:
        raise ProtocolError(f'a frame of {size} bytes', step='open tunnel')
    try:
        return msgspec.msgpack.decode(
            _receive_exactly(sock, size), type=message_type
        )
    except msgspec.DecodeError as error:
        raise ProtocolError(str(error), step='open tunnel') from error


def _receive_exactly(sock: Any, size: int) -> bytes:
    received = b''
    while len(received) < size:
        block = sock.recv(size - len(received))
        if not block:
            raise ConnectionError('closed before the end of a frame')
        received += block
    return received
