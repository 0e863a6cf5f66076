"""Messages between nodes about requests that crash the upstreams that run them.

They travel as datagrams. Each may be lost or arrive more than once, and changes
nothing when it is repeated.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNotice:
    """An upstream crashed while it ran a request.

    ``fingerprint`` identifies equal requests. ``started_ms`` is the Unix time of the
    upstream's start: an upstream that crashed and started again may crash again. After
    ``crash_limit`` crashes the request is quarantined for ``quarantine_ms``.
    """

    fingerprint: str
    upstream: str
    started_ms: int
    crash_limit: int
    quarantine_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AcquittalNotice:
    """An upstream answered a request that was suspected of a crash."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineNotice:
    """A request is quarantined for another ``remaining_ms``."""

    fingerprint: str
    remaining_ms: int
