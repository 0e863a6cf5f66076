"""Declarations of operators. Units are part of the field names."""

import dataclasses
import hashlib
from typing import Annotated

from msgspec import Meta

from comfreyusher.documents import build_instance
from comfreyusher.messages import WorkClass

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Fraction = Annotated[float, Meta(ge=0, le=1)]
PositiveInt = Annotated[int, Meta(gt=0)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))


def optional_field(default, doc):
    """Return a data class field with a default and its text for the reference."""
    if isinstance(default, dict):
        return dataclasses.field(default_factory=dict, metadata={"doc": doc})
    return dataclasses.field(default=default, metadata={"doc": doc})


def required_field(doc):
    """Return a data class field without a default, with its reference text."""
    return dataclasses.field(metadata={"doc": doc})


@dataclasses.dataclass(frozen=True, slots=True)
class Detection:
    """How a group's owner detects failing upstreams from their requests."""

    stall_factor: Annotated[float, Meta(gt=1, le=100)] = optional_field(
        8.0, "A request older than this many times the third quartile is a stall."
    )
    min_stall_ms: PositiveInt = optional_field(
        200, "A younger request is never a stall."
    )
    first_stall_ms: PositiveInt = optional_field(
        700, "Age of a stall until enough requests have completed."
    )
    evidence_to_eject: Annotated[float, Meta(gt=0, le=100)] = optional_field(
        6.9, "Sum of log likelihood ratios at which an upstream is ejected."
    )
    failing_share: Annotated[float, Meta(gt=0, lt=0.9)] = optional_field(
        0.3, "Assumed share of failing upstreams at any moment, before evidence."
    )
    odds_memory_ms: PositiveInt = optional_field(
        9000, "Time in which evidence from one response loses most of its weight."
    )
    ejection_ms: PositiveInt = optional_field(
        5000, "First ejection period; it doubles with each further ejection."
    )
    max_ejection_ms: PositiveInt = optional_field(60000, "Longest ejection period.")
    successes_to_return: PositiveInt = optional_field(
        3, "Successful responses on probation before an upstream returns."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Retries:
    """When the fleet itself retries idempotent requests."""

    max_attempts: Annotated[int, Meta(ge=1, le=10)] = optional_field(
        3, "Attempts of one request, the first one included."
    )
    budget_share: Fraction = optional_field(
        0.2, "Retries allowed per request, as a share of requests."
    )
    budget_slack: NonNegativeInt = optional_field(
        20, "Retries of a service allowed in a window in addition to that share."
    )
    window_ms: PositiveInt = optional_field(
        10000, "Window in which retries are counted."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """A named policy for the requests of services."""

    name: Name = required_field("Name of the profile.")
    floor_share: Fraction = optional_field(
        0.5, "Share of a service's slots that ejection must leave healthy."
    )
    max_wait_ms: PositiveInt = optional_field(4000, "Longest wait in a queue.")
    short_reserved_share: Fraction = optional_field(
        0.25, "Share of slots that long requests may not use."
    )
    slow_start_ms: NonNegativeInt = optional_field(
        2000, "Time until a new or returned upstream gets its full load."
    )
    poison_crashes: Annotated[int, Meta(ge=2, le=10)] = optional_field(
        3, "Crashes with the same request that quarantine it."
    )
    quarantine_ms: PositiveInt = optional_field(
        600000, "How long a request stays quarantined."
    )
    spill_bytes_per_s: NonNegativeInt = optional_field(
        250000, "Bytes per second that one node may send to the other region."
    )
    detection: Detection = optional_field(
        Detection(), "Detection of failing upstreams."
    )
    retries: Retries = optional_field(Retries(), "Retries by the fleet.")


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A service that gets a weighted share of a route's requests."""

    service: Name = required_field("Name of the service.")
    weight: NonNegativeInt = required_field("Its share, relative to the other parts.")


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which requests belong to a service, and how they are handled."""

    prefix: Annotated[str, Meta(pattern=r"^/[^?#\s]*$")] = required_field(
        "Path prefix, matched by whole segments; the longest wins."
    )
    host: str = optional_field("", "Host name of the request; empty for any.")
    methods: tuple[str, ...] = optional_field((), "Methods; empty for all.")
    work_class: WorkClass = optional_field(WorkClass.SHORT, "Short or long requests.")
    idempotent: bool = optional_field(
        True, "False: a request that may have been executed is not sent again."
    )
    deadline_ms: PositiveInt = optional_field(
        5000, "Time within which the response must start."
    )
    target_ms: NonNegativeInt = optional_field(
        0, "Time in which a response has its full value; 0: the whole deadline."
    )
    priority: NonNegativeInt = optional_field(
        0, "Priority among a service's routes; 0 is the highest."
    )
    max_attempts: NonNegativeInt = optional_field(
        0, "Upstreams that one request may be sent to; 0: as the profile says."
    )
    large: bool = optional_field(
        False, "Bodies are large, so they stay in their region."
    )
    parts: tuple[Part, ...] = optional_field(
        (), "Services that share the requests; empty: the declaring service."
    )
    public: bool = optional_field(
        False, "True: requests need no key of a client account."
    )

    def check(self):
        """Yield faults that need more than one field."""
        for method in self.methods:
            if method not in METHODS:
                yield "methods", f"{method!r} is not a known method"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A party that sends requests under its keys, within a rate of the whole fleet.

    ``priority`` goes before that of the route; 0 is the highest. A ``rate_per_s`` of 0
    means no limit; ``burst`` is how many requests may come at once beyond it. The
    text of an account has no keys, so that none is logged.
    """

    name: str
    keys: tuple[str, ...] = dataclasses.field(default=(), repr=False)
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformConfiguration:
    """Routes, limits and client accounts that the platform's operator published.

    ``idle_timeout_ms`` is how long a caller may keep an idle connection, 0 if
    the configuration does not set it. Without ``client_accounts`` no request needs a
    key of one.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[str, ...] = ()
    idle_timeout_ms: int = 0
    client_accounts: tuple[ClientAccount, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service: its profile, its routes and its slots in each region."""

    name: Name = required_field("Name of the service.")
    profile: Name = required_field("Profile that the service runs under.")
    routes: tuple[Route, ...] = optional_field(
        (), "Routes of the service; empty when the platform routes to it."
    )
    slots: dict[str, NonNegativeInt] = optional_field(
        {}, "Configured slots by region; floors are shares of them."
    )

    def check(self):
        """Yield faults that need more than one field."""
        seen = set()
        for route in self.routes:
            key = (route.host, route.prefix, route.methods)
            if key in seen:
                yield "routes", f"{route.prefix!r} stands twice"
            seen.add(key)


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer and the digests of its keys; a rotation needs two keys."""

    name: Name = required_field("Name of the customer.")
    key_digests: tuple[Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")], ...] = (
        optional_field((), "SHA-256 of each key, in hexadecimal.")
    )
    hosts: tuple[str, ...] = optional_field(
        (), "Hosts whose requests without a key belong to the customer."
    )
    closed: bool = optional_field(False, "True after the customer has left.")


KINDS = {"profile": Profile, "service": Service, "customer": Customer}


def parse_declaration(kind, data, source, text=""):
    """Return the declaration of a kind, or raise ``DocumentError``."""
    return build_instance(KINDS[kind], data, source, text)


def digest_key(key):
    """Return the digest under which a customer's key is declared."""
    return hashlib.sha256(key.encode()).hexdigest()
