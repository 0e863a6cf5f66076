"""The entry of one request in an account."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class AccountEntry:
    """One request of a customer.

    ``number`` counts the requests of the node incarnation ``origin`` without
    gaps. ``outcome`` is empty while the request is in flight. Times are Unix
    milliseconds of the entry node.
    """

    origin: str
    number: int
    time_ms: int
    request_id: str
    customer: str
    service: str
    method: str
    target: str
    outcome: str = ""
    status: int = 0
    ended_ms: int = 0


def encode_entry(entry):
    """Return an entry as bytes of JSON."""
    return msgspec.json.encode(entry)


def decode_entry(data):
    """Return the entry in bytes of JSON, or raise ``msgspec.MsgspecError``."""
    return msgspec.json.decode(data, type=AccountEntry)
