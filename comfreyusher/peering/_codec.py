"""Encoding of peer messages: thrift's compact protocol in length frames."""

import dataclasses
import re
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
from comfreyusher.peering.gen import ttypes

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
NUMBER_OF = {
    spec[2]: spec[0] for spec in ttypes.Envelope.thrift_spec if spec is not None
}


@dataclasses.dataclass(frozen=True, slots=True)
class Sealed:
    """An envelope around one message."""

    body: object


class Opened:
    """An envelope that was read; the decoder sets the fields it finds."""


def _envelope_spec(cls):
    """Return the specification of an envelope that holds one message class."""
    wire = wire_struct(cls)
    number = NUMBER_OF[FIELD_OF[cls]]
    field = (number, TType.STRUCT, "body", [wire.cls, wire.spec], None)
    return (None,) * number + (field,)


def encode_message(body):
    """Return the frame of a message."""
    cls = type(body)
    data = WRITER._fast_encode(Sealed(body), [Sealed, SPEC_OF[cls]])
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


SPEC_OF = {cls: _envelope_spec(cls) for cls in CLASSES}
READ_SPEC = tuple(
    None
    if spec is None
    else (
        spec[0],
        TType.STRUCT,
        spec[2],
        [CLASS_OF[spec[2]], wire_struct(CLASS_OF[spec[2]]).spec],
        None,
    )
    for spec in ttypes.Envelope.thrift_spec
)


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
