"""Claims: which node incarnation runs a non-idempotent request, and its answer.

Only the holder of a key runs it, and its memory is the only table. A claim is
kept until its key is too old to be accepted.
"""

import dataclasses
import enum

from comfreyusher.flow import change
from comfreyusher.messages import AnswerHead

MAX_KEPT_ANSWER_BYTES = 65536


class ClaimState(str, enum.Enum):
    """State of a claim on its holder."""

    FREE = "free"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A key in use; ``waiters`` are exchanges with the same key."""

    name: str
    made_ms: int
    state: ClaimState
    exchange: int = 0
    waiters: tuple = ()
    head: AnswerHead | None = None
    body: bytes = b""
    kept: bool = False


def claim_name(customer, service, key):
    """Return the name under which a customer's key is claimed."""
    return f"{customer}/{service}/{key.text}"


def start_claim(claims, name, made_ms, exchange):
    """Return the claims with this one running."""
    claim = Claim(name, made_ms, ClaimState.RUNNING, exchange)
    return claims.set(name, claim)


def add_waiter(claims, name, exchange):
    """Return the claims with one more exchange waiting for the answer."""
    claim = claims[name]
    waiting = change(claim, waiters=claim.waiters + (exchange,))
    return claims.set(name, waiting)


def settle_claim(claims, name, state, head=None, body=b"", kept=False):
    """Return the claims after the holder's run has ended."""
    claim = claims[name]
    settled = change(claim, state=state, waiters=(), head=head, body=body, kept=kept)
    return claims.set(name, settled)


def expire_claims(claims, now_ms, window_ms):
    """Return the claims without those whose keys are refused as too old."""
    old = [
        name
        for name, claim in claims.items()
        if claim.made_ms < now_ms - window_ms and claim.state is not ClaimState.RUNNING
    ]
    for name in old:
        claims = claims.delete(name)
    return claims
