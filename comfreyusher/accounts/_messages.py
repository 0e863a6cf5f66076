"""Messages between the entry task and the account task."""

import dataclasses

from comfreyusher.accounts._entry import AccountEntry


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAccepted:
    """A request was accepted; its entry has the number 0 and is numbered later."""

    exchange: int
    entry: AccountEntry


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request ended with this outcome."""

    exchange: int
    outcome: str
    status: int
    ended_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicationFinished:
    """The response of a request needs to wait no longer for its entry's replica.

    ``replicated`` is false when no node acknowledged the replica in time.
    """

    exchange: int
    replicated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FlushAccounts:
    """Append all ended entries now, since the node is shutting down."""
