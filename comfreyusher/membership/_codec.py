"""Encoding of gossip datagrams with thrift's compact protocol."""

from comfreyusher.membership._state import GossipMessage
from comfreyusher.peering import (
    DECODE_ERRORS,
    CodecError,
    read_struct,
    write_struct,
)

MAX_MEMBERS = 64


def encode_gossip(message):
    """Return the bytes of a datagram."""
    return write_struct(message)


def decode_gossip(data):
    """Return the message in a datagram, or raise ``CodecError``."""
    try:
        message = read_struct(GossipMessage, data)
    except DECODE_ERRORS as error:
        raise CodecError(f"unreadable datagram: {error}") from error
    if len(message.members) > MAX_MEMBERS:
        raise CodecError("a datagram with too many members")
    return message
