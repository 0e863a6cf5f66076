"""Quarantine of requests that crash upstreams, for the whole fleet.

Entry nodes report crashes to a few nodes that count them for all groups. A
quarantine goes to every node, and to the store, so that it outlives them.
"""

from comfreyusher.quarantine._messages import (
    CrashObserved,
    QuarantineBegun,
    QuarantinesChanged,
    SuspectAcquitted,
)
from comfreyusher.quarantine._record import (
    QuarantineRecordError,
    decode_quarantine,
    encode_quarantine,
)
from comfreyusher.quarantine._state import (
    QuarantineState,
    acquit,
    choose_crash_holders,
    expire,
    quarantine,
    record_crash,
)
from comfreyusher.quarantine._task import QuarantineTask

__all__ = [
    "CrashObserved",
    "QuarantineBegun",
    "QuarantineRecordError",
    "QuarantineState",
    "QuarantineTask",
    "QuarantinesChanged",
    "SuspectAcquitted",
    "acquit",
    "choose_crash_holders",
    "decode_quarantine",
    "encode_quarantine",
    "expire",
    "quarantine",
    "record_crash",
]
