"""Messages between nodes that are not part of a request's path."""

import dataclasses

from comfreyusher.messages._heads import RequestHead
from comfreyusher.messages._work import WorkKey


@dataclasses.dataclass(frozen=True, slots=True)
class OpinionAsked:
    """Ask another node whether it can connect to an upstream."""

    asker: str
    upstream: str
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class OpinionGiven:
    """Answer to ``OpinionAsked``."""

    upstream: str
    reachable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonHeard:
    """A fingerprint crashed upstreams; quarantine it for ``period_ms``."""

    fingerprint: str
    period_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsAsked:
    """Ask a peer for configuration records after an offset."""

    asker: str
    after_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsGiven:
    """A page of a peer's configuration.

    With ``whole`` the pages up to ``last`` hold all declarations in force at
    ``offset``; otherwise they hold the log records after ``after_offset``.
    """

    after_offset: int
    offset: int
    whole: bool
    last: bool
    declarations: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class CopyAsked:
    """Keep copies of account entries until the log has them.

    ``batch`` numbers the copies of one origin. ``entries`` are encoded account
    entries. Entries up to ``logged`` are in the log and may be dropped.
    """

    origin: str
    batch: int
    logged: int
    entries: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class CopyStored:
    """A peer holds all copies up to and with a batch."""

    holder: str
    batch: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAsked:
    """Claim a caller's key in the log for this incarnation."""

    key: str
    exchange: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettled:
    """Who holds the key; ``holder`` is empty when the log gave no answer."""

    key: str
    exchange: int
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class ToNode:
    """A message for the node with this incarnation id."""

    node: str
    body: object


@dataclasses.dataclass(frozen=True, slots=True)
class ToOthers:
    """A message for every live node."""

    body: object


@dataclasses.dataclass(frozen=True, slots=True)
class OpinionWanted:
    """Ask some other node whether it reaches an upstream."""

    upstream: str
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost:
    """The connection to a node is gone.

    ``sent`` is false when no message on it can have reached the node.
    """

    node: str
    sent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """A request for the node that holds its idempotency key."""

    key: WorkKey
    customer: str
    head: RequestHead
    body: bytes = b""
    ended: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverBody:
    """More bytes of a request that was handed over."""

    key: WorkKey
    body: bytes
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverGone:
    """The caller of a request that was handed over went away."""

    key: WorkKey


@dataclasses.dataclass(frozen=True, slots=True)
class OffsetHeard:
    """A peer's configuration offset, pushed when it grows."""

    node: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class OffsetAsked:
    """Ask a node for its configuration offset."""

    asker: str
