"""One request in an account."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class AccountEntry:
    """One request of a customer.

    ``number`` counts the requests of the node incarnation ``origin`` without
    gaps. ``outcome`` is empty while the request is under way. Times are Unix
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
    """Return the bytes of an entry."""
    return msgspec.json.encode(entry)


def decode_entry(data):
    """Return the entry in bytes; raises ``msgspec.MsgspecError``."""
    return msgspec.json.decode(data, type=AccountEntry)
