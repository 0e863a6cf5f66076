"""State of a holder of buckets. Times are monotonic seconds."""

import dataclasses

import immutables

from comfreyusher.flow import replace
from comfreyusher.messages import TokenGrant

ANSWER_KEPT_S = 1.0
BUCKET_KEPT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Counted:
    """Tokens of an account that this node lent or refused as its holder."""

    account: str = ""
    lent: int = 0
    reserve: int = 0
    refused: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer that is given again when its request is repeated."""

    body: TokenGrant
    answered_s: float


@dataclasses.dataclass(frozen=True)
class Pull:
    """A request for the level of a bucket; ``requests`` wait for it."""

    target: str
    tries: int
    sent_s: float
    requests: tuple = ()


@dataclasses.dataclass(frozen=True)
class HolderState:
    """Buckets and answers of this node as a holder.

    ``successors`` maps accounts whose bucket was handed over to the node that has it
    and the time until which that holds, ``inherited`` accounts whose bucket this node
    was given to the time until which it lends whatever its view says. ``is_cut_off``
    tells that no other node answers this one.
    """

    buckets: immutables.Map = immutables.Map()
    answers: immutables.Map = immutables.Map()
    pulls: immutables.Map = immutables.Map()
    successors: immutables.Map = immutables.Map()
    inherited: immutables.Map = immutables.Map()
    is_cut_off: bool = False


def prune_holder(state, now):
    """Drop old answers, and the buckets that are not in use and full."""
    answers = state.answers
    for key, answer in answers.items():
        if now - answer.answered_s > ANSWER_KEPT_S:
            answers = answers.delete(key)
    successors, inherited, buckets = state.successors, state.inherited, state.buckets
    for name, successor in successors.items():
        if successor[1] <= now:
            successors = successors.delete(name)
    for name, until_s in inherited.items():
        if until_s <= now:
            inherited = inherited.delete(name)
    for name, bucket in buckets.items():
        filled_s = max(BUCKET_KEPT_S, bucket.capacity / bucket.rate_per_s)
        if now - bucket.used_s > filled_s:
            buckets = buckets.delete(name)
    return replace(
        state,
        answers=answers,
        successors=successors,
        inherited=inherited,
        buckets=buckets,
    )
