"""Messages between nodes over TCP: thrift frames, authentication, liveness."""

from comfreyusher.peering._codec import (
    DECODE_ERRORS,
    CodecError,
    Frames,
    decode_message,
    encode_message,
)
from comfreyusher.peering._handshake import open_datagram, tag_datagram
from comfreyusher.peering._struct import read_struct, write_struct
from comfreyusher.peering._task import PeerAddresses, PeerTask

__all__ = [
    "DECODE_ERRORS",
    "CodecError",
    "Frames",
    "PeerAddresses",
    "PeerTask",
    "decode_message",
    "encode_message",
    "open_datagram",
    "read_struct",
    "tag_datagram",
    "write_struct",
]
