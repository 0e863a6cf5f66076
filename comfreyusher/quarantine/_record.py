"""Records of quarantines in the store, which outlive every node."""

import dataclasses
from typing import Annotated

import msgspec

from comfreyusher.decoding import DecodingError, decode_record
from comfreyusher.errors import ComfreyusherError

FORMAT = 1
MAX_UNIX_MS = 1 << 53


class QuarantineRecordError(ComfreyusherError):
    """A record of a quarantine cannot be used; it is skipped."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineRecord:
    """The end of a quarantine, in Unix milliseconds; its key is the fingerprint."""

    until_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
    format: int = FORMAT


def encode_quarantine(until_ms):
    """Return the value of a quarantine's record."""
    return msgspec.json.encode(QuarantineRecord(until_ms))


def decode_quarantine(value):
    """Return the ``QuarantineRecord`` in a value.

    Raises ``QuarantineRecordError`` if it cannot be read.
    """
    try:
        return decode_record(value, QuarantineRecord, FORMAT)
    except DecodingError as error:
        raise QuarantineRecordError(f"unreadable quarantine: {error}") from error
