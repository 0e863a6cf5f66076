"""Settings of one node. Units are part of the field names."""

import dataclasses
import enum
import ipaddress
from typing import Annotated

from msgspec import Meta

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Port = Annotated[int, Meta(ge=0, le=65535)]
PositiveInt = Annotated[int, Meta(gt=0)]
PositiveSeconds = Annotated[float, Meta(gt=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Duration = Annotated[str, Meta(pattern=r"^\d+(\.\d+)?(ms|s)$")]
Path = Annotated[str, Meta(pattern=r"^/\S*$")]
PORT_PATTERN = r"(?:\d{1,4}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d{2}|655[0-2]\d|6553[0-5])"
Address = Annotated[str, Meta(pattern=rf"^\d+(\.\d+){{3}}:{PORT_PATTERN}$")]


def optional_field(default, doc):
    """Return a data class field with a default and its text for the reference."""
    if isinstance(default, dict):
        return dataclasses.field(default_factory=dict, metadata={"doc": doc})
    return dataclasses.field(default=default, metadata={"doc": doc})


def required_field(doc):
    """Return a data class field without a default, with its reference text."""
    return dataclasses.field(metadata={"doc": doc})


def check_ip_address(name, value):
    """Yield a fault unless the value is an IP address."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        yield name, f"{value!r} is not an IP number"


def check_address(name, value):
    """Yield a fault unless the host of an address is an IP address."""
    yield from check_ip_address(name, value.rpartition(":")[0])


def parse_duration_ms(text):
    """Return the milliseconds of a duration such as ``1500ms`` or ``2.5s``."""
    number, unit = (text[:-2], 1) if text.endswith("ms") else (text[:-1], 1000)
    return round(float(number) * unit)


class AddressMixin:
    """Adds the host and port of the ``address`` field to a settings class."""

    @property
    def host(self):
        """The IP address."""
        return self.address.rpartition(":")[0]

    @property
    def port(self):
        """The port."""
        return int(self.address.rpartition(":")[2])


class TlsMode(str, enum.Enum):
    """Whether a listener speaks TLS."""

    ON = "on"
    OFF = "off"


class HalfCloseMode(str, enum.Enum):
    """How to treat a caller that closes its sending side before the response."""

    WAITS = "waits"
    LEFT = "left"


class CustomerKeyMode(str, enum.Enum):
    """Whether callers must send a customer's key."""

    REQUIRED = "required"
    OPTIONAL = "optional"


class Switch(str, enum.Enum):
    """Whether a feature is in use."""

    ON = "on"
    OFF = "off"


@dataclasses.dataclass(frozen=True)
class TlsSettings:
    """TLS of one listener, on by default."""

    mode: TlsMode = optional_field(TlsMode.ON, "TLS is on unless this is set to off.")
    certificate_file: str = optional_field("", "PEM file with the certificate chain.")
    key_file: str = optional_field("", "PEM file with the private key.")
    authority_file: str = optional_field(
        "", "PEM file with the certificate authority of peers."
    )

    def check(self):
        """Yield faults that need more than one field."""
        if self.mode is TlsMode.OFF:
            return
        for name in ("certificate_file", "key_file"):
            if not getattr(self, name):
                yield name, "is missing; or set mode to 'off'"


@dataclasses.dataclass(frozen=True)
class SecretRef:
    """Source of a secret; exactly one of the two fields is set."""

    file: str = optional_field("", "Path of a file that holds the secret.")
    environment: str = optional_field("", "Name of an environment variable.")

    def check(self):
        """Yield faults that need more than one field."""
        if bool(self.file) == bool(self.environment):
            yield "file", "set either file or environment"


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Name and location of a node."""

    name: Name = required_field("Name of the VM, unique in the fleet.")
    data_centre: Name = required_field("Data centre of the VM.")
    region: Name = required_field("Region of the data centre.")


@dataclasses.dataclass(frozen=True)
class CallerSettings(AddressMixin):
    """The listener for callers."""

    address: Address = required_field(
        "IP address and TCP port; port 0 takes a free one."
    )
    tls: TlsSettings = optional_field(TlsSettings(), "TLS of callers' connections.")
    customer_keys: CustomerKeyMode = optional_field(
        CustomerKeyMode.REQUIRED,
        "Optional: a request without a key belongs to the customer of its host.",
    )
    half_close: HalfCloseMode = optional_field(
        HalfCloseMode.WAITS,
        "Left: a caller that closes its sending side is treated as disconnected.",
    )
    max_head_bytes: PositiveInt = optional_field(32768, "Largest request head.")
    max_body_bytes: PositiveInt = optional_field(1 << 40, "Largest request body.")
    head_timeout_s: PositiveSeconds = optional_field(
        10.0, "Time to send a request head."
    )
    body_timeout_s: PositiveSeconds = optional_field(
        30.0, "Longest pause within a body."
    )
    idle_timeout_s: PositiveSeconds = optional_field(
        75.0, "Longest pause between requests."
    )
    max_held_bytes: PositiveInt = optional_field(
        67108864,
        "Memory for what callers have sent and not yet read; beyond it connections "
        "that hold most and progress least are closed.",
    )
    max_unfinished_requests: PositiveInt = optional_field(
        1024, "Requests whose head or body is still being received."
    )
    max_concurrent_requests: PositiveInt = optional_field(
        8,
        "Pipelined requests of one connection that run side by side: only GET, HEAD "
        "and OPTIONS without a body; 1 runs them one by one.",
    )

    def check(self):
        """Yield faults of the address."""
        yield from check_address("address", self.address)


@dataclasses.dataclass(frozen=True)
class PeerSettings:
    """The listeners for other nodes."""

    host: str = required_field("IP address to listen on.")
    port: Port = required_field("TCP port for requests between nodes.")
    gossip_port: Port = required_field("UDP port for membership.")
    keys: tuple[SecretRef, ...] = required_field(
        "Shared keys of the fleet: the first one signs, all are accepted."
    )
    tls: TlsSettings = optional_field(TlsSettings(), "TLS between nodes.")
    advertised_host: str = optional_field(
        "", "IP address that peers use; host if empty."
    )
    advertised_port: Port = optional_field(0, "TCP port that peers use; port if 0.")
    advertised_gossip_port: Port = optional_field(0, "UDP port that peers use.")
    gossip_period_ms: PositiveInt = optional_field(
        1000, "Period of the membership protocol."
    )
    suspicion_ms: PositiveInt = optional_field(
        3000, "Time in which a suspect node can refute the suspicion."
    )

    def check(self):
        """Yield faults of addresses and keys."""
        yield from check_ip_address("host", self.host)
        if self.advertised_host:
            yield from check_ip_address("advertised_host", self.advertised_host)
        if not self.keys:
            yield "keys", "must not be empty"


@dataclasses.dataclass(frozen=True)
class OperatorSettings(AddressMixin):
    """The listener for operators."""

    address: Address = required_field(
        "IP address and TCP port; port 0 takes a free one."
    )
    keys: tuple[SecretRef, ...] = required_field("Keys of operators.")

    def check(self):
        """Yield faults of address and keys."""
        yield from check_address("address", self.address)
        if not self.keys:
            yield "keys", "must not be empty"


@dataclasses.dataclass(frozen=True)
class PlatformSettings(AddressMixin):
    """The platform's store."""

    address: Address = required_field(
        "IP address and TCP port of the platform's store."
    )
    terms: tuple[str, ...] = optional_field(
        (), "Names of the terms that the platform sets for this deployment."
    )

    def check(self):
        """Yield faults of the address."""
        yield from check_address("address", self.address)


@dataclasses.dataclass(frozen=True)
class PageSettings(AddressMixin):
    """A page that the platform reads: readiness or metrics."""

    address: Address | None = optional_field(
        None, "IP address and TCP port; null for none."
    )
    path: Path = optional_field("/", "Path of the page.")

    def check(self):
        """Yield faults of the address."""
        if self.address:
            yield from check_address("address", self.address)


@dataclasses.dataclass(frozen=True)
class FleetSettings:
    """Settings that are the same on every node of the fleet."""

    seeds: tuple[Address, ...] = optional_field(
        (),
        "Addresses of some nodes, any port; the gossip port of all nodes is the same.",
    )
    gossip_seeds: tuple[Address, ...] = optional_field(
        (), "Gossip addresses of some nodes."
    )
    regions: dict[str, str] = optional_field({}, "Region of each data centre.")
    upstream_drain: Duration = optional_field(
        "2500ms", "Time after which a leaving upstream gets no new requests."
    )
    configuration_apply: Duration = optional_field(
        "2500ms", "Time in which a configuration comes into force."
    )
    retry_share: Fraction = optional_field(
        0.2, "Retries as a share of a service's requests."
    )
    retry_slack: Annotated[float, Meta(ge=0)] = optional_field(
        20.0, "Retries of a service in a window in addition to that share."
    )
    retry_window: Duration = optional_field(
        "10s", "Window in which retries are counted."
    )
    floor_share: Fraction = optional_field(
        0.5, "Share of a service's slots that ejection must leave healthy."
    )
    fair_sharing: Switch = optional_field(
        Switch.OFF,
        "On: client accounts and routes of a rank share a service by their work "
        "when room is short.",
    )
    hedge_share: Fraction | None = optional_field(
        None,
        "Hedges of a group as a share of its idempotent requests; 0: none, null: "
        "limited by the retries only.",
    )
    hedge_burst: PositiveInt = optional_field(
        10, "Hedges of a group allowed at once beyond that share."
    )
    quota_window: Duration = optional_field(
        "5s", "Window in which the rate of a client account is counted."
    )
    quota_overshoot: Fraction = optional_field(
        0.1, "Requests beyond a client account's rate allowed in a window, as a share."
    )
    quota_slack: Annotated[float, Meta(ge=0)] = optional_field(
        20.0, "Requests beyond that rate and share allowed in a window."
    )

    def check(self):
        """Yield faults of the seeds."""
        for name in ("seeds", "gossip_seeds"):
            for seed in getattr(self, name):
                yield from check_address(name, seed)
        for name in ("retry_window", "quota_window"):
            if not parse_duration_ms(getattr(self, name)):
                yield name, "must be at least 1ms"


@dataclasses.dataclass(frozen=True)
class TelemetrySettings:
    """Metrics and traces."""

    otlp_endpoint: str = optional_field(
        "", "Base URL of an OTLP/HTTP receiver, or empty."
    )
    sampling_ratio: Fraction = optional_field(
        0.01, "Share of new traces that are kept."
    )
    export_period_s: PositiveSeconds = optional_field(10.0, "Period of metric exports.")
    kept_spans: PositiveInt = optional_field(
        2000, "Spans kept for the operators' address."
    )


@dataclasses.dataclass(frozen=True)
class ShutdownSettings:
    """Graceful shutdown."""

    grace: Duration | None = optional_field(
        None,
        "Time from SIGTERM until the platform kills the process; "
        "the phases below are cut to end before that.",
    )
    leave_delay_s: Annotated[float, Meta(ge=0)] = optional_field(
        1.0, "Time between the notice to peers and the closing of the listener."
    )
    drain_timeout_s: PositiveSeconds = optional_field(
        3600.0, "Longest wait for requests in flight."
    )
    flush_timeout_s: PositiveSeconds = optional_field(
        30.0, "Longest wait for account entries to be written to the log."
    )


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of a node."""

    node: NodeSettings = required_field("Name and location of this node.")
    callers: CallerSettings = required_field("The listener for callers.")
    peers: PeerSettings = required_field("The listeners for other nodes.")
    operators: OperatorSettings = required_field("The listener for operators.")
    platform: PlatformSettings = required_field("The platform's store.")
    fleet: FleetSettings = optional_field(
        FleetSettings(), "Settings that are the same on every node."
    )
    readiness: PageSettings = optional_field(
        PageSettings(path="/ready"),
        "The page that tells whether the node accepts callers.",
    )
    metrics: PageSettings = optional_field(
        PageSettings(path="/metrics"), "The page with the metrics as text."
    )
    telemetry: TelemetrySettings = optional_field(TelemetrySettings(), "Telemetry.")
    shutdown: ShutdownSettings = optional_field(
        ShutdownSettings(), "Graceful shutdown."
    )
