"""Encoding of gossip datagrams with thrift's compact protocol."""

from thrift.TSerialization import serialize

from comfreyusher.membership._state import (
    GossipKind,
    GossipMessage,
    MemberRecord,
    MemberStanding,
)
from comfreyusher.peering import CodecError
from comfreyusher.peering._codec import DECODE_ERRORS, FACTORY, decode_struct
from comfreyusher.peering.gen import ttypes

MAX_MEMBERS = 64


def encode_gossip(message):
    """Return the bytes of a datagram."""
    members = [_to_struct(record) for record in message.members]
    struct = ttypes.Gossip(
        message.sender,
        int(message.kind),
        message.sequence,
        message.target,
        members,
        message.offset,
    )
    return serialize(struct, FACTORY)


def decode_gossip(data):
    """Return the message in a datagram, or raise ``CodecError``."""
    struct = ttypes.Gossip()
    try:
        decode_struct(struct, data)
        if len(struct.members) > MAX_MEMBERS:
            raise CodecError("a datagram with too many members")
        return GossipMessage(
            _text(struct.sender),
            GossipKind(struct.kind),
            int(struct.sequence),
            _text(struct.target),
            tuple(_from_struct(member) for member in struct.members),
            int(struct.offset),
        )
    except DECODE_ERRORS as error:
        raise CodecError(f"unreadable datagram: {error}") from error


def _to_struct(record):
    return ttypes.MemberState(
        record.node,
        record.name,
        record.host,
        record.gossip_port,
        record.peer_port,
        record.data_centre,
        record.region,
        record.incarnation,
        int(record.standing),
        record.version,
        record.offset,
    )


def _from_struct(struct):
    return MemberRecord(
        _text(struct.node),
        _text(struct.name),
        _text(struct.host),
        int(struct.gossip_port),
        int(struct.peer_port),
        _text(struct.data_centre),
        _text(struct.region),
        int(struct.incarnation),
        MemberStanding(struct.standing),
        int(struct.version),
        int(struct.offset),
    )


def _text(value):
    if not isinstance(value, str):
        raise ValueError("a field is missing")
    return value
