"""The bytes of messages between processes, and their authentication.

A message is sent as an HMAC-SHA256 followed by an envelope in MessagePack. If
there are no keys, a checksum replaces the HMAC.
The envelope names the sender, its boot, the receiver and a counter, so that a
recorded message can be replayed neither to its receiver nor to another one.
"""

import collections
import hashlib
import hmac
from typing import Any, ClassVar, Final, Generic, TypeVar

import msgspec
import xxhash

from bronzepost._internal.exceptions import (
    ProtocolError,
    UnknownMessageError,
)

# The settings tree of 2,700 workspaces with all settings takes about 3 MB.
DEFAULT_LIMIT_BYTES = 4_194_304

_DIGEST_BYTES = 32
# The key in use and, during a rotation, the new one.
_MAX_KEYS = 2
_WINDOW_MESSAGES = 64
_MAX_WINDOWS = 2048
_STEP = 'receive peer message'

MessageT = TypeVar('MessageT')


class Envelope(
    msgspec.Struct,
    Generic[MessageT],
    frozen=True,
    kw_only=True,
    array_like=True,
):
    """A message with the fields that allow its receiver to detect replays.

    ``boot`` is a number that differs for every process, unlike the boot
    identifier of a member entry. ``counter`` rises with each message
    from one process to one receiver. ``receiver`` is a peer address.
    """

    sender: str
    boot: int
    counter: int
    receiver: str
    message: MessageT


class ReplayGuard:
    """Detects messages that have arrived before.

    Messages can overtake each other when a connection is replaced, so a
    message is accepted, once, while it is less than 64 behind the newest. The
    number of remembered processes is bounded. A message of a forgotten one
    may be accepted again, which is harmless: member entries are ordered by
    incarnation, configuration by offset, and mirrored records by record id.
    """

    def __init__(self) -> None:
        """Start without any message received."""
        # By sender and boot: the highest counter received, and a bit for each
        # of the 64 counters up to it that was received.
        self._windows_by_process: collections.OrderedDict[
            tuple[str, int], tuple[int, int]
        ] = collections.OrderedDict()

    def accept(self, envelope: Envelope[Any]) -> bool:
        """Return whether a message is new, and remember it."""
        key = (envelope.sender, envelope.boot)
        highest, received_bits = self._windows_by_process.get(key, (0, 0))
        advance = max(0, envelope.counter - highest)
        highest += advance
        age = highest - envelope.counter
        # The sender may choose any counter, so the shift is bounded.
        received_bits <<= min(advance, _WINDOW_MESSAGES)
        bit = 1 << min(age, _WINDOW_MESSAGES)
        if age >= _WINDOW_MESSAGES or received_bits & bit:
            return False
        mask = (1 << _WINDOW_MESSAGES) - 1
        self._windows_by_process[key] = (highest, (received_bits | bit) & mask)
        self._windows_by_process.move_to_end(key)
        if len(self._windows_by_process) > _MAX_WINDOWS:
            self._windows_by_process.popitem(last=False)
        return True


class EnvelopeCodec(Generic[MessageT]):
    """Encodes messages as authenticated bytes, and decodes them.

    A subclass sets ``envelope_type`` to the messages that it accepts. The
    first key signs, and every key is accepted. To rotate a key, add the new
    one as second key on all nodes, then make it the first, then remove the
    old one.
    """

    envelope_type: ClassVar[Any]

    def __init__(
        self,
        *,
        name: str,
        peer_address: str,
        boot: int,
        keys: list[str],
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
    ) -> None:
        """Use the identity and the keys of a process.

        Without keys, messages are only protected against damage. The node's
        settings allow that on loopback addresses only.
        """
        self.name = name
        self.peer_address = peer_address
        self.boot = boot
        self.limit_bytes = limit_bytes
        self._keys = _encode_keys(keys)
        self._guard = ReplayGuard()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(self.envelope_type)

    def replace_keys(self, keys: list[str]) -> None:
        """Sign with the first of the new keys and accept only the new keys."""
        self._keys = _encode_keys(keys)

    def encode(
        self, message: MessageT, *, receiver: str, counter: int
    ) -> bytes:
        """Return the bytes of a message to the peer address ``receiver``.

        Raises ``ProtocolError`` if the message is over the size limit.
        """
        envelope = Envelope(
            sender=self.name,
            boot=self.boot,
            counter=counter,
            receiver=receiver,
            message=message,
        )
        body = self._encoder.encode(envelope)
        if len(body) + _DIGEST_BYTES > self.limit_bytes:
            raise ProtocolError(
                f'message of {len(body)} bytes is over the limit of'
                f' {self.limit_bytes}: send less at a time',
                step='send peer message',
                peer=receiver,
            )
        return _sign(self._keys[0], body) + body

    def decode(self, content: bytes) -> Envelope[MessageT]:
        """Return the envelope in ``content`` if it is authentic and new.

        Raises ``ProtocolError`` if it is not. Size and authentication are
        checked before anything is decoded.
        """
        if not _DIGEST_BYTES < len(content) <= self.limit_bytes:
            raise ProtocolError(
                f'message of {len(content)} bytes refused: the limit is'
                f' {self.limit_bytes}',
                step=_STEP,
            )
        digest = content[:_DIGEST_BYTES]
        body = content[_DIGEST_BYTES:]
        if not self._is_authentic(digest, body):
            raise ProtocolError(
                'message refused: no valid key; check [peers] keys on both'
                ' nodes',
                step=_STEP,
            )
        envelope = self._decode_body(body)
        self._check_receiver_and_replay(envelope)
        return envelope

    def _is_authentic(self, digest: bytes, body: bytes) -> bool:
        # Every key is tried, so that the time does not reveal which one fits.
        matches = [
            hmac.compare_digest(digest, _sign(key, body)) for key in self._keys
        ]
        return any(matches)

    def _decode_body(self, body: bytes) -> Envelope[MessageT]:
        try:
            envelope: Envelope[MessageT] = self._decoder.decode(body)
        except msgspec.DecodeError as error:
            raise _build_decode_error(body, error) from error
        return envelope

    def _check_receiver_and_replay(self, envelope: Envelope[MessageT]) -> None:
        if envelope.receiver != self.peer_address:
            raise ProtocolError(
                f'message for {envelope.receiver} refused: this is'
                f' {self.peer_address}',
                step=_STEP,
                peer=envelope.sender,
            )
        if not self._guard.accept(envelope):
            raise ProtocolError(
                f'message {envelope.counter} refused: it has arrived before',
                step=_STEP,
                peer=envelope.sender,
            )


class _Kind(msgspec.Struct, frozen=True):
    type: str = ''


# Decodes what all builds have in common: the envelope and the tag of a message.
_DECODER_OF_KINDS: Final = msgspec.msgpack.Decoder(Envelope[_Kind])


def _build_decode_error(body: bytes, error: Exception) -> ProtocolError:
    """Return an error that names the sender and the kind, if they are legible."""
    reason = f'message refused: {error}; the sender may run another version'
    try:
        envelope = _DECODER_OF_KINDS.decode(body)
    except msgspec.DecodeError:
        return ProtocolError(reason, step=_STEP)
    return UnknownMessageError(
        reason,
        step=_STEP,
        sender=envelope.sender,
        kind=envelope.message.type,
    )


def _encode_keys(keys: list[str]) -> list[bytes]:
    return [key.encode() for key in keys[:_MAX_KEYS]] or [b'']


def _sign(key: bytes, body: bytes) -> bytes:
    if not key:
        # Without a key only damage can be detected, and a checksum does that
        # at a tenth of the cost of the HMAC.
        return xxhash.xxh3_128_digest(body).ljust(_DIGEST_BYTES, b'\0')
    return hmac.digest(key, body, hashlib.sha256)
