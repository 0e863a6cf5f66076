"""Messages between the quota task, the entry task and the node task."""

import dataclasses

import immutables


@dataclasses.dataclass(frozen=True, slots=True)
class TokenWanted:
    """A request of a client account with a rate needs a token to run."""

    exchange: int
    account: str


@dataclasses.dataclass(frozen=True, slots=True)
class TokenDecision:
    """Whether a request has got a token, and else after which time one may be free.

    ``unanswered`` tells that no holder has answered, so that the rate may be kept.
    """

    exchange: int
    granted: bool
    retry_after_ms: int = 0
    account: str = ""
    unanswered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TokenReturned:
    """A request that had got a token has not run."""

    account: str


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaView:
    """The client accounts with a rate by name, the live members, and the limits.

    ``departed`` are names of members that left in an orderly way. While this node is
    ``leaving`` it lends no tokens. ``overshoot`` is a share of the rate and the burst,
    ``slack`` a number of requests. ``seeds`` are addresses of nodes in the settings.
    """

    accounts: immutables.Map
    members: tuple
    departed: frozenset = frozenset()
    leaving: bool = False
    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0
    seeds: tuple = ()
