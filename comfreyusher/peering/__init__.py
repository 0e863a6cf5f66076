"""Messages between nodes over TCP: thrift frames, authentication, liveness."""

from comfreyusher.peering._codec import (
    CodecError,
    Frames,
    decode_message,
    encode_message,
)
from comfreyusher.peering._struct import WireStruct, wire_struct
from comfreyusher.peering._task import PeerAddresses, PeerTask

__all__ = [
    "CodecError",
    "Frames",
    "PeerAddresses",
    "PeerTask",
    "WireStruct",
    "decode_message",
    "encode_message",
    "wire_struct",
]
