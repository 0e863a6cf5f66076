"""State of an entry node's tokens. Times are monotonic seconds."""

import dataclasses
import math

import immutables


@dataclasses.dataclass(frozen=True, slots=True)
class Spent:
    """Requests that this node let run without a holder, or refused."""

    alone: int = 0
    refused: int = 0

    def add(self, other):
        """Return the sum with another count."""
        return Spent(self.alone + other.alone, self.refused + other.refused)


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Tokens that a member lent, and when they expire; no ``lender``: a reserve's."""

    lender: str
    count: int
    expires_s: float


@dataclasses.dataclass(frozen=True)
class Ask:
    """A request for tokens that is not answered yet.

    ``asked_s`` is when it was first sent, ``sent_s`` when it was last sent.
    ``followed`` tells that another member named ``first``; ``second`` is asked once
    the first one is silent.
    """

    number: int
    wanted: int
    first: str
    asked_s: float
    sent_s: float
    sends: int = 1
    second: str = ""
    followed: bool = False


@dataclasses.dataclass(frozen=True)
class AccountTokens:
    """What an entry node holds for one client account.

    ``waiting`` are the exchanges without a decision, ``backlog`` the refused requests
    that may come again. ``unused`` tokens go back to their ``lender``. ``alone`` are
    the tokens that may be spent without a holder since ``alone_since_s``, and
    ``first_s`` is when one more was spent by a node that hears no other.
    """

    waiting: tuple = ()
    leases: tuple = ()
    asks: tuple = ()
    unused: int = 0
    lender: str = ""
    quiet_until_s: float = -math.inf
    denied_s: float = -math.inf
    backlog: float = 0.0
    backlog_s: float = 0.0
    demand_per_s: float = 0.0
    demand_s: float = 0.0
    granted_per_s: float = 0.0
    granted_s: float = 0.0
    alone: float = 0.0
    alone_s: float | None = None
    alone_since_s: float | None = None
    alone_rate_per_s: float = 0.0
    first_s: float = -math.inf


@dataclasses.dataclass(frozen=True)
class TokensState:
    """Tokens by account, and which other nodes answer.

    ``active`` holds the accounts that need ticks. ``heard`` maps nodes to the time of
    their last message, ``silent`` those without an answer to the time of the last
    question, and ``heard_s`` is when any other node was heard last.
    """

    accounts: immutables.Map = immutables.Map()
    active: immutables.Map = immutables.Map()
    heard: immutables.Map = immutables.Map()
    silent: immutables.Map = immutables.Map()
    heard_s: float = -math.inf
    number: int = 0
