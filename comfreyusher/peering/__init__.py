"""Messages between nodes: encoding, authentication, connections and datagrams."""

from comfreyusher.peering._codec import (
    DECODE_ERRORS,
    CodecError,
    FrameDecoder,
    decode_message,
    encode_message,
)
from comfreyusher.peering._datagrams import PeerDatagramTask
from comfreyusher.peering._messages import PeerAddresses
from comfreyusher.peering._struct import read_struct, write_struct
from comfreyusher.peering._task import PeerTask

__all__ = [
    "DECODE_ERRORS",
    "CodecError",
    "FrameDecoder",
    "PeerAddresses",
    "PeerDatagramTask",
    "PeerTask",
    "decode_message",
    "encode_message",
    "read_struct",
    "write_struct",
]
