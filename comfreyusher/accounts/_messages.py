"""Messages between the entry task and the account task."""

import dataclasses

from comfreyusher.accounts._entry import AccountEntry


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """A request was accepted; the entry's number is still 0."""

    exchange: int
    entry: AccountEntry


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A request's outcome is known."""

    exchange: int
    outcome: str
    status: int
    ended_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CopyConfirmed:
    """Another node holds the entry, or none could be found in time."""

    exchange: int
    copied: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FlushAccounts:
    """Append all that is ended now; the node is shutting down."""
