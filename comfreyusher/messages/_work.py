"""Messages between the node that took a request and the owner of a group."""

import dataclasses

from comfreyusher.messages._heads import AnswerHead, RequestHead
from comfreyusher.messages._outcome import Outcome, WorkClass


@dataclasses.dataclass(frozen=True, slots=True)
class WorkKey:
    """Identity of forwarded work: entry node incarnation and its counter."""

    node: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Work offered to the owner of a group.

    ``remaining_ms`` is relative, so that clocks of VMs need not agree.
    ``fingerprint`` identifies equal requests for poison detection.
    """

    key: WorkKey
    group: str
    work_class: WorkClass
    remaining_ms: int
    idempotent: bool
    request_id: str
    fingerprint: str
    trace_parent: str
    head: RequestHead
    body: bytes = b""
    ended: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class OfferBody:
    """More request bytes."""

    key: WorkKey
    body: bytes
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OfferCredit:
    """The upstream's socket took request bytes."""

    key: WorkKey
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """The entry node gives the work up; the owner answers with a refusal."""

    key: WorkKey


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """No (complete) answer will come, and what is known of the execution."""

    key: WorkKey
    outcome: Outcome
    status: int
    reason: str
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Answer head and first bytes, and the upstream that gave them."""

    key: WorkKey
    upstream: str
    head: AnswerHead
    body: bytes = b""
    ended: bool = False
    queued_ms: float = 0.0
    attempts: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ResultBody:
    """More answer bytes."""

    key: WorkKey
    body: bytes
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ResultCredit:
    """The caller's socket took answer bytes."""

    key: WorkKey
    size_bytes: int
