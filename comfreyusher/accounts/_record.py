"""Records of the accounts stream: compressed batches of entries."""

import base64
import dataclasses
import zlib

import msgspec

from comfreyusher.accounts._entry import AccountEntry
from comfreyusher.errors import ComfreyusherError

FORMAT = 1
COMPRESSION_LEVEL = 3
MAX_UNPACKED_BYTES = 64 << 20


class AccountRecordError(ComfreyusherError):
    """A record of the accounts stream that cannot be read."""


@dataclasses.dataclass(frozen=True)
class AccountRecord:
    """A batch of entries of one origin.

    ``closed`` is the last number of an origin that shut down, else -1.
    ``writer`` is another node when the origin died or the record is carried
    on before the log forgets it.
    """

    format: int
    origin: str
    writer: str
    closed: int
    packed: str


def encode_account(origin, writer, entries, closed=-1):
    """Return the text of a batch for the log."""
    data = zlib.compress(msgspec.json.encode(list(entries)), COMPRESSION_LEVEL)
    packed = base64.b64encode(data).decode()
    record = AccountRecord(FORMAT, origin, writer, closed, packed)
    return msgspec.json.encode(record).decode()


def decode_account(text):
    """Return the record in a text, or raise ``AccountRecordError``."""
    try:
        record = msgspec.json.decode(text, type=AccountRecord)
    except msgspec.MsgspecError as error:
        raise AccountRecordError(f"unreadable account record: {error}") from error
    if record.format != FORMAT:
        raise AccountRecordError(f"account record has format {record.format}")
    return record


def unpack_entries(record):
    """Return the entries of a record, or raise ``AccountRecordError``."""
    try:
        packed = base64.b64decode(record.packed, validate=True)
        unpacker = zlib.decompressobj()
        data = unpacker.decompress(packed, MAX_UNPACKED_BYTES)
        entries = msgspec.json.decode(data, type=tuple[AccountEntry, ...])
    except (ValueError, zlib.error, msgspec.MsgspecError) as error:
        raise AccountRecordError(f"unreadable account entries: {error}") from error
    return entries
