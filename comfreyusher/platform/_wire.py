"""Encoding of calls to the store, and decoding of its responses."""

import dataclasses
import re
import struct
from urllib.parse import quote

import msgspec

from comfreyusher.decoding import DecodingError, decode_json
from comfreyusher.messages import find_header
from comfreyusher.platform._calls import ANY_END_OFFSET, Record, Topic
from comfreyusher.platform._errors import DecodeError

RECORD_LENGTH = struct.Struct(">I")
END_AND_FIRST_OFFSET = struct.Struct(">QQ")
MAX_KB = 1024
ERA_HEADER = b"store-era"
ERA_PATTERN = re.compile(r"[0-9]{1,15}")
TOPIC_NAMES = {
    Topic.CONFIGURATION: "keyed.op",
    Topic.UPSTREAMS: "keyed.servers",
    Topic.DECLARATIONS: "keyed.comfreyusher.declarations",
    Topic.ACCOUNTS: "keyed.comfreyusher.accounts",
    Topic.NODES: "keyed.comfreyusher.nodes",
    Topic.QUARANTINES: "keyed.comfreyusher.quarantines",
}


class _Item(msgspec.Struct):
    """The newest record of a key; its value is sent in base64."""

    key: str
    value: bytes
    offset: int


class _Page(msgspec.Struct):
    """A page of newest records; ``end`` is the topic's next offset."""

    items: list[_Item]
    has_more: bool
    end: int


class _ExpiredResponse(msgspec.Struct):
    """The offset has expired; ``first`` is the oldest one that is kept."""

    first: int = 0


class _AppendResponse(msgspec.Struct):
    """``offset`` is that of the first appended record."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class NewestPage:
    """A page of newest records.

    ``after_key`` is the key that the next page starts after, or empty.
    """

    records: tuple
    end_offset: int
    after_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsPage:
    """Records of a log read.

    ``next_offset`` is where to continue reading, ``end_offset`` the next offset of
    the topic.
    """

    records: tuple
    next_offset: int
    end_offset: int


def build_append_target(append):
    """Return the request target of an append."""
    target = f"/log-append?topic={TOPIC_NAMES[append.topic]}&part=0"
    if append.expected_end_offset != ANY_END_OFFSET:
        target += f"&as_of={append.expected_end_offset}"
    return target


def build_append_body(append):
    """Return the request body of an append: one keyed record."""
    key = append.key.encode()
    record = bytes((len(key),)) + key + append.value
    return RECORD_LENGTH.pack(len(record)) + record


def build_read_target(read):
    """Return the request target of a log read."""
    return (
        f"/log-read?topic={TOPIC_NAMES[read.topic]}&part=0&from={read.start_offset}"
        f"&max_kb={MAX_KB}&wait_ms={read.wait_ms}"
    )


def build_newest_target(topic, after_key):
    """Return the request target of a page of newest records."""
    target = f"/log-newest?topic={TOPIC_NAMES[topic]}&part=0"
    return f"{target}&after={quote(after_key, safe='')}" if after_key else target


def decode_era(head):
    """Return the era that a response of any status names, or ``None``.

    A value that is no whole number counts as none.
    """
    value = find_header(head, ERA_HEADER)
    return int(value) if value and ERA_PATTERN.fullmatch(value) else None


def decode_append(body):
    """Return the offset in the response to an append.

    Raises ``DecodeError`` if the body is malformed.
    """
    return _decode(body, _AppendResponse).offset


def decode_newest(body):
    """Return the ``NewestPage`` in a response.

    Raises ``DecodeError`` if the body is malformed.
    """
    page = _decode(body, _Page)
    records = tuple(Record(item.key, item.value, item.offset) for item in page.items)
    after_key = page.items[-1].key if page.has_more and page.items else ""
    return NewestPage(records, page.end, after_key)


def decode_first_offset(body):
    """Return the oldest offset that the store keeps.

    Raises ``DecodeError`` if the body is malformed.
    """
    return _decode(body, _ExpiredResponse).first


def _decode(body, struct_type):
    try:
        return decode_json(body, struct_type)
    except DecodingError as error:
        raise DecodeError(f"unreadable answer of the store: {error}") from error


def decode_records(body, start_offset):
    """Return the ``RecordsPage`` in a response.

    Raises ``DecodeError`` if the body is malformed.
    """
    if len(body) < END_AND_FIRST_OFFSET.size:
        raise DecodeError("the store's answer is cut")
    end_offset, first_offset = END_AND_FIRST_OFFSET.unpack_from(body)
    if end_offset < first_offset:
        raise DecodeError("the store's answer ends before its first offset")
    records = []
    position = END_AND_FIRST_OFFSET.size
    while position < len(body):
        if position + RECORD_LENGTH.size > len(body):
            raise DecodeError("the store's answer is cut")
        (size,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        if position + size > len(body):
            raise DecodeError("the store's answer is cut")
        records.append(
            _decode_record(
                body[position : position + size], start_offset + len(records)
            )
        )
        position += size
    readable = tuple(record for record in records if record is not None)
    return RecordsPage(readable, start_offset + len(records), end_offset)


def _decode_record(data, offset):
    """Return the ``Record`` in the data, or ``None`` if it has no valid key."""
    if not data or len(data) < 1 + data[0]:
        return None
    key = data[1 : 1 + data[0]].decode("utf-8", "replace")
    return Record(key, bytes(data[1 + data[0] :]), offset)
