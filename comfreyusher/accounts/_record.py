"""Records of the accounts topic: compressed batches of entries."""

import base64
import dataclasses
import zlib

import msgspec

from comfreyusher.accounts._entry import AccountEntry
from comfreyusher.decoding import DecodingError, decode_json, decode_record
from comfreyusher.errors import ComfreyusherError

FORMAT = 1
COMPRESSION_LEVEL = 3
MAX_DECOMPRESSED_BYTES = 64 << 20


class AccountRecordError(ComfreyusherError):
    """A record of the accounts topic cannot be decoded."""


@dataclasses.dataclass(frozen=True)
class AccountRecord:
    """A batch of entries of one origin.

    ``closed`` is the last number of an origin that shut down, else -1.
    ``writer`` is the node that appended the record: the origin, or another node
    if the origin died or if the record is copied before the log drops it.
    ``packed`` is a compressed JSON array of entries in Base64.
    """

    format: int
    origin: str
    writer: str
    closed: int
    packed: str


def encode_account_record(origin, writer, entries, closed=-1):
    """Return the text of an account record with these entries."""
    data = zlib.compress(msgspec.json.encode(list(entries)), COMPRESSION_LEVEL)
    packed = base64.b64encode(data).decode()
    record = AccountRecord(FORMAT, origin, writer, closed, packed)
    return msgspec.json.encode(record).decode()


def decode_account_record(text):
    """Return the account record in a text, or raise ``AccountRecordError``."""
    try:
        return decode_record(text, AccountRecord, FORMAT)
    except DecodingError as error:
        raise AccountRecordError(f"unreadable account record: {error}") from error


def decompress_entries(record):
    """Return the entries of a record, or raise ``AccountRecordError``."""
    try:
        compressed = base64.b64decode(record.packed, validate=True)
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(compressed, MAX_DECOMPRESSED_BYTES)
        entries = decode_json(data, tuple[AccountEntry, ...])
    except (ValueError, zlib.error, DecodingError) as error:
        raise AccountRecordError(f"unreadable account entries: {error}") from error
    return entries
