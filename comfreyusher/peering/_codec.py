"""Encoding of peer messages: thrift's compact protocol in length frames."""

import re
import struct

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer
from thrift.TSerialization import serialize

from comfreyusher import messages
from comfreyusher.errors import ComfreyusherError
from comfreyusher.peering._handshake import Challenge, Hello, Ping
from comfreyusher.peering._struct import wire_struct
from comfreyusher.peering.gen import ttypes

MAX_FRAME_BYTES = 16 << 20
MAX_GREETING_BYTES = 4096
LENGTH = struct.Struct(">I")
FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=1 << 20
)
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


def _snake(name):
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


CLASSES = (
    Challenge,
    Hello,
    Ping,
    messages.Offer,
    messages.OfferBody,
    messages.OfferCredit,
    messages.Withdraw,
    messages.Refusal,
    messages.Result,
    messages.ResultBody,
    messages.ResultCredit,
    messages.HandOver,
    messages.HandOverBody,
    messages.HandOverGone,
    messages.OpinionAsked,
    messages.OpinionGiven,
    messages.PoisonHeard,
    messages.OffsetAsked,
    messages.OffsetHeard,
    messages.RecordsAsked,
    messages.RecordsGiven,
    messages.CopyAsked,
    messages.CopyStored,
)
FIELD_OF = {cls: _snake(cls.__name__) for cls in CLASSES}
CLASS_OF = {field: cls for cls, field in FIELD_OF.items()}
FIELD_OF_NUMBER = {
    spec[0]: spec[2] for spec in ttypes.Envelope.thrift_spec if spec is not None
}


def encode_message(body):
    """Return the frame of a message."""
    envelope = ttypes.Envelope()
    setattr(envelope, FIELD_OF[type(body)], wire_struct(type(body)).to_struct(body))
    data = serialize(envelope, FACTORY)
    return LENGTH.pack(len(data)) + data


def decode_message(data):
    """Return the message in a frame's bytes, or raise ``CodecError``."""
    envelope = ttypes.Envelope()
    try:
        decode_struct(envelope, data)
        for field, cls in CLASS_OF.items():
            value = getattr(envelope, field)
            if value is not None:
                return wire_struct(cls).from_struct(value)
    except DECODE_ERRORS as error:
        raise CodecError(f"unreadable message: {error}") from error
    raise CodecError("a frame without a known message")


def decode_struct(target, data):
    """Fill a thrift struct from bytes."""
    target.read(FACTORY.getProtocol(TMemoryBuffer(data)))


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
