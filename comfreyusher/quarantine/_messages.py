"""What other tasks of the node send to the quarantine task, and get from it."""

import dataclasses

import immutables

from comfreyusher.messages import CrashNotice


@dataclasses.dataclass(frozen=True, slots=True)
class CrashObserved:
    """This node sent a request to an upstream that crashed while it ran it."""

    notice: CrashNotice


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectAcquitted:
    """An upstream answered a request that this node's owner task suspected."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineBegun:
    """This node's owner task has quarantined a request for ``quarantine_ms``."""

    fingerprint: str
    quarantine_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantinesChanged:
    """The ends of all quarantines by fingerprint, in monotonic seconds."""

    quarantined: immutables.Map
