"""Records in the topic of declarations."""

import dataclasses
import sys
import time
import uuid
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from comfreyusher import decoding
from comfreyusher.errors import ComfreyusherError

FORMAT = 1


class RecordError(ComfreyusherError):
    """An invalid record, which every node skips."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One publication of a declaration.

    ``based_on`` is the revision that the operator saw; 0 for a new name.
    ``time_ms`` is the Unix time at which a node accepted it. ``body`` is kept
    as JSON, which takes a quarter of the memory of a dictionary.
    """

    format: Annotated[int, Meta(ge=1)]
    publish_id: Annotated[str, Meta(min_length=8, max_length=64)]
    kind: str
    name: str
    revision: Annotated[int, Meta(ge=1)]
    based_on: Annotated[int, Meta(ge=0)]
    body: msgspec.Raw
    author: str = ""
    time_ms: int = 0


def new_record(kind, name, based_on, body, author):
    """Return a new record with a decoded body, based on a revision."""
    raw = msgspec.Raw(msgspec.json.encode(body))
    return Record(
        FORMAT,
        uuid.uuid4().hex,
        kind,
        name,
        based_on + 1,
        based_on,
        raw,
        author,
        int(time.time() * 1000),
    )


def encode_record(record):
    """Return the record as JSON text for the topic."""
    return msgspec.json.encode(record).decode()


def decode_record(text):
    """Return the record in a JSON text, or raise ``RecordError``."""
    try:
        record = decoding.decode_record(text, Record, FORMAT)
    except decoding.DecodingError as error:
        raise RecordError(f"unreadable record: {error}") from error
    if record.revision != record.based_on + 1:
        raise RecordError("record's revision does not follow its base")
    return compact_record(record)


def compact_record(record):
    """Return a record that holds no reference to the text it was decoded from.

    Kinds and authors are interned: the same few occur in tens of thousands of
    records.
    """
    return dataclasses.replace(
        record,
        kind=sys.intern(record.kind),
        author=sys.intern(record.author),
        body=record.body.copy(),
    )


def read_body(record):
    """Return the decoded body of a record, or raise ``RecordError``."""
    try:
        return decoding.decode_json(record.body, Any)
    except decoding.DecodingError as error:
        raise RecordError(f"unreadable body: {error}") from error
