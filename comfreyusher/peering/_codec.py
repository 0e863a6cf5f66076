"""Encoding of messages between nodes: thrift's compact protocol.

An envelope is a struct with one field, whose number tells the class of the
message. Numbers are never used again for another class.
"""

import dataclasses
import struct

from thrift.Thrift import TException, TType
from thrift.transport.TTransport import TMemoryBuffer

from comfreyusher import messages
from comfreyusher.errors import ComfreyusherError
from comfreyusher.peering._handshake import Challenge, Hello, Ping
from comfreyusher.peering._struct import (
    FACTORY,
    WRITER,
    restore_enums,
    wire_struct,
)

MAX_FRAME_BYTES = 16 << 20
MAX_GREETING_BYTES = 4096
LENGTH = struct.Struct(">I")
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
    """Bytes from a peer that are no message."""


CLASS_OF = {
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
}
NUMBER_OF = {cls: number for number, cls in CLASS_OF.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class Sealed:
    """An envelope around one message."""

    body: object


class Opened:
    """An envelope that was read; the decoder sets the field it finds."""


def _envelope_spec(cls):
    """Return the specification of an envelope that holds one message class."""
    wire = wire_struct(cls)
    number = NUMBER_OF[cls]
    field = (number, TType.STRUCT, "body", [wire.cls, wire.spec], None)
    return (None,) * number + (field,)


def _read_spec():
    """Return the specification of an envelope with any message class."""
    spec = [None] * (max(CLASS_OF) + 1)
    for number, cls in CLASS_OF.items():
        wire = wire_struct(cls)
        details = [wire.cls, wire.spec]
        spec[number] = (number, TType.STRUCT, f"body_{number}", details, None)
    return tuple(spec)


SPEC_OF = {cls: _envelope_spec(cls) for cls in NUMBER_OF}
READ_SPEC = _read_spec()


def encode_datagram(body):
    """Return the bytes of a message, without the length of a frame."""
    return WRITER._fast_encode(Sealed(body), [Sealed, SPEC_OF[type(body)]])


def encode_message(body):
    """Return the frame of a message."""
    data = encode_datagram(body)
    return LENGTH.pack(len(data)) + data


def decode_message(data):
    """Return the message in a frame's bytes, or raise ``CodecError``."""
    reader = FACTORY.getProtocol(TMemoryBuffer(data))
    try:
        opened = reader._fast_decode(None, reader, [Opened, READ_SPEC])
        for body in vars(opened).values():
            return restore_enums(body, wire_struct(type(body)).enums)
    except DECODE_ERRORS as error:
        raise CodecError(f"unreadable message: {error}") from error
    raise CodecError("a frame without a known message")


class Frames:
    """Splits a byte stream into frames."""

    def __init__(self, max_bytes=MAX_GREETING_BYTES):
        self.buffer = bytearray()
        self.max_bytes = max_bytes

    def feed(self, data):
        """Return the complete frames; raise ``CodecError`` if one is too long."""
        self.buffer += data
        frames = []
        while len(self.buffer) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.buffer)
            if length > self.max_bytes:
                raise CodecError(f"a frame of {length} bytes is too long")
            end = LENGTH.size + length
            if len(self.buffer) < end:
                break
            frames.append(bytes(self.buffer[LENGTH.size : end]))
            del self.buffer[:end]
        return frames
