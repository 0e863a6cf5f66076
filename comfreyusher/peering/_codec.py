"""Encoding of messages between nodes: thrift's compact protocol.

A message is wrapped in a union: a struct with one field, whose number tells the
class of the message. A number is never reused for another class.
"""

import dataclasses
import struct

from thrift.Thrift import TException, TType
from thrift.transport.TTransport import TMemoryBuffer

from comfreyusher import messages
from comfreyusher.errors import ComfreyusherError
from comfreyusher.peering._handshake import Challenge, Hello, Ping
from comfreyusher.peering._struct import (
    PROTOCOL_FACTORY,
    WRITER,
    restore_enums,
    wire_struct,
)

MAX_FRAME_BYTES = 16 << 20
MAX_HANDSHAKE_BYTES = 4096
FRAME_LENGTH = struct.Struct(">I")
DECODE_ERRORS = (
    TException,
    EOFError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    MemoryError,
    struct.error,
)


class CodecError(ComfreyusherError):
    """Bytes from a peer that can't be decoded."""


CLASS_BY_NUMBER = {
    1: Challenge,
    2: Hello,
    3: Ping,
    4: messages.GossipMessage,
    10: messages.GrantRequest,
    11: messages.QueuedAck,
    12: messages.Grant,
    13: messages.Denial,
    14: messages.AttemptReport,
    15: messages.ReportAck,
    20: messages.FeedWatermarks,
    21: messages.UpstreamDelta,
    30: messages.OffsetRequest,
    31: messages.OffsetUpdate,
    22: messages.SnapshotRequest,
    23: messages.SnapshotResponse,
    40: messages.ReplicationRequest,
    41: messages.ReplicationAck,
    50: messages.CrashNotice,
    51: messages.AcquittalNotice,
    52: messages.QuarantineNotice,
    53: messages.DepartureNotice,
    60: messages.TokenRequest,
    61: messages.TokenGrant,
    62: messages.BucketHandover,
}
NUMBER_BY_CLASS = {cls: number for number, cls in CLASS_BY_NUMBER.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingUnion:
    """A union to encode, with its message."""

    body: object


class IncomingUnion:
    """A decoded union; the decoder sets the field that it finds as an attribute."""


def _write_spec(cls):
    """Return the specification of a union that holds one message class."""
    wire = wire_struct(cls)
    number = NUMBER_BY_CLASS[cls]
    field = (number, TType.STRUCT, "body", [wire.cls, wire.spec], None)
    return (None,) * number + (field,)


def _read_spec():
    """Return the specification of a union that holds any message class."""
    spec = [None] * (max(CLASS_BY_NUMBER) + 1)
    for number, cls in CLASS_BY_NUMBER.items():
        wire = wire_struct(cls)
        details = [wire.cls, wire.spec]
        spec[number] = (number, TType.STRUCT, f"body_{number}", details, None)
    return tuple(spec)


WRITE_SPEC_BY_CLASS = {cls: _write_spec(cls) for cls in NUMBER_BY_CLASS}
READ_SPEC = _read_spec()


def encode_datagram(body):
    """Return the bytes of a message, without the length prefix of a frame."""
    return WRITER._fast_encode(
        OutgoingUnion(body), [OutgoingUnion, WRITE_SPEC_BY_CLASS[type(body)]]
    )


def encode_message(body):
    """Return a message as a frame: the length of its bytes, then the bytes."""
    data = encode_datagram(body)
    return FRAME_LENGTH.pack(len(data)) + data


def decode_message(data):
    """Return the message in the bytes of a frame or a datagram.

    Raises ``CodecError`` if the bytes hold no known message.
    """
    reader = PROTOCOL_FACTORY.getProtocol(TMemoryBuffer(data))
    try:
        union = reader._fast_decode(None, reader, [IncomingUnion, READ_SPEC])
        for body in vars(union).values():
            return restore_enums(body, wire_struct(type(body)).enums)
    except DECODE_ERRORS as error:
        raise CodecError(f"message cannot be decoded: {error}") from error
    raise CodecError("message has no known class number")


class FrameDecoder:
    """Splits a byte stream into frames of at most ``max_bytes`` bytes."""

    def __init__(self, max_bytes=MAX_HANDSHAKE_BYTES):
        self.buffer = bytearray()
        self.max_bytes = max_bytes

    def feed(self, data):
        """Add bytes and return the payloads of the frames that are complete.

        Raises ``CodecError`` if a frame is longer than ``max_bytes``.
        """
        self.buffer += data
        frames = []
        while len(self.buffer) >= FRAME_LENGTH.size:
            (length,) = FRAME_LENGTH.unpack_from(self.buffer)
            if length > self.max_bytes:
                raise CodecError(f"frame of {length} bytes is too long")
            end = FRAME_LENGTH.size + length
            if len(self.buffer) < end:
                break
            frames.append(bytes(self.buffer[FRAME_LENGTH.size : end]))
            del self.buffer[:end]
        return frames
