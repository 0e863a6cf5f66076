"""Decoding of the platform's documents into this project's types."""

import ipaddress
import re
from typing import Annotated

import msgspec
from msgspec import Meta

from comfreyusher.declarations import Part, PlatformConfiguration, Route
from comfreyusher.decoding import DecodingError, decode_json
from comfreyusher.messages import RegisteredUpstream
from comfreyusher.platform._client_accounts import AccountDecoder
from comfreyusher.platform._errors import DecodeError

CONFIGURATION_KEY = "config"
DURATION_PATTERN = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,9})?)(ms|s)")
PORT_PATTERN = re.compile(r"[0-9]{1,5}")
VERSION_PATTERN = re.compile(r"[0-9a-fA-F]{8}")
NAME_PATTERN = re.compile(r"[!-~]{1,255}")  # fits into a header
MILLISECONDS_PER_UNIT = {"ms": 1, "s": 1000}
DEFAULT_TIMEOUT_MS = 60_000
UPSTREAM_STATES = ("ready", "draining")
IDEMPOTENT_KINDS = ("safe", "download")
LARGE_KINDS = ("upload", "download")
MAX_PORT = 65535
MAX_UNIX_MS = 1 << 53
SLICE_RESOURCES = 1000
WEIGHT_SCALE = 1000  # the smallest share of a weight that counts
ShortText = Annotated[str, Meta(max_length=255)]
Slots = Annotated[int, Meta(ge=1, le=100_000)]
UnixMs = Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)]
Weight = Annotated[float, Meta(ge=0, le=1e9)]
Rank = Annotated[int, Meta(le=1_000_000)]


class _Upstream(msgspec.Struct):
    """The entry of an upstream.

    ``zone`` is its data centre, ``born`` the time when it started, in milliseconds.
    The fields ``version`` (of its software) and ``seq`` (a count of its heartbeats)
    are not decoded, since neither tells which of two entries is newer.
    """

    service: ShortText
    address: ShortText
    zone: ShortText
    slots: Slots
    state: str
    warmup_left: str = "0ms"
    born: UnixMs = 0


class _Part(msgspec.Struct):
    """A service with its share of the traffic of a route."""

    service: str
    weight: Weight


class _Spec(msgspec.Struct):
    """The operator's settings of a route, a service or the limits.

    ``timeout`` is the limit for a whole request of a caller. A response within
    ``target_latency`` has its full value for the caller. Requests of ``priority`` 0
    go first. Requests of a ``public`` route need no key of a client account.
    """

    hostname: str = ""
    path_prefix: str = ""
    kind: str = ""
    timeout: str | None = None
    target_latency: str | None = None
    priority: Rank = 0
    service: str | None = None
    traffic_split: list[_Part] | None = None
    max_attempts: Rank = 0
    idle_timeout: str | None = None
    public: bool | None = None


class _Metadata(msgspec.Struct):
    """The name of a resource."""

    name: str = ""


class _Resource(msgspec.Struct):
    """One entry; ``entry_kind`` is what it configures.

    The other fields are decoded only for the kinds that this project knows.
    """

    entry_kind: str
    spec: msgspec.Raw = msgspec.Raw(b"{}")
    metadata: msgspec.Raw = msgspec.Raw(b"{}")


class _Configuration(msgspec.Struct):
    """The operator's whole configuration; ``version`` is a hexadecimal number."""

    version: str
    resources: list[_Resource]


def decode_duration(text):
    """Return the milliseconds in a text such as ``1500ms`` or ``2.5s``.

    Raises ``DecodeError`` for any other text.
    """
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise DecodeError(f"{text!r} is not a duration in ms or s")
    return round(float(match[1]) * MILLISECONDS_PER_UNIT[match[2]])


def decode_upstream(record):
    """Return the ``RegisteredUpstream`` of a record.

    A removed key gives an upstream that is marked as removed. Raises ``DecodeError``
    if the entry is malformed or has values that cannot be used.
    """
    if not record.value:
        return RegisteredUpstream(record.key, removed=True)
    if not NAME_PATTERN.fullmatch(record.key):
        raise DecodeError(f"upstream {record.key!r} has no usable name")
    entry = _decode(record.value, _Upstream, f"upstream {record.key}")
    host, port = _parse_address(entry.address)
    if entry.state not in UPSTREAM_STATES:
        raise DecodeError(f"upstream {record.key} has an unknown state")
    return RegisteredUpstream(
        record.key,
        entry.service,
        host,
        port,
        entry.zone,
        entry.slots,
        entry.state == "draining",
        decode_duration(entry.warmup_left),
        entry.born,
    )


def decode_configuration(value):
    """Return the ``PlatformConfiguration`` in a value.

    Raises ``DecodeError`` for the whole configuration if a part of it is malformed.
    """
    return ConfigurationDecoder().decode(value)


class ConfigurationDecoder:
    """Decodes one configuration after another, on request in slices.

    A large one takes some 0.3 s of a core, for which an event loop must not stop. The
    last value and what it decoded to are kept, and its client accounts for the next.
    """

    def __init__(self):
        self.accounts = AccountDecoder()
        self.value = None
        self.slices = None
        self.result = None
        self.error = None

    def start(self, value):
        """Begin to decode a value."""
        self.value, self.result, self.error = value, None, None
        self.slices = _decode_in_slices(value, self.accounts)

    def advance(self):
        """Decode the next slice; return whether the value is decoded."""
        if self.slices is None:
            return True
        try:
            next(self.slices)
            return False
        except StopIteration as end:
            self.result = end.value
        except DecodeError as error:
            self.error = error
        self.slices = None
        return True

    def decode(self, value):
        """Return the ``PlatformConfiguration`` in a value, or raise ``DecodeError``.

        Nothing is left to do if the value was decoded in slices before.
        """
        if value != self.value:
            self.start(value)
        while not self.advance():
            pass
        if self.error is not None:
            raise self.error
        return self.result


def _decode_in_slices(value, account_decoder):
    """Return the configuration; a generator, which pauses after each slice."""
    document = _decode(value, _Configuration, "configuration")
    if not VERSION_PATTERN.fullmatch(document.version):
        raise DecodeError(f"configuration has no version: {document.version[:20]!r}")
    routes, services, tenants, idle_ms = [], [], [], 0
    for number, resource in enumerate(document.resources):
        if not number % SLICE_RESOURCES:
            yield
        if resource.entry_kind == "routes":
            routes.append(_decode_route(_decode(resource.spec, _Spec, "route")))
        elif resource.entry_kind == "services":
            services.append(_decode(resource.metadata, _Metadata, "service").name)
        elif resource.entry_kind == "tenants":
            tenants.append(resource)
        elif resource.entry_kind == "limits":
            limits = _decode(resource.spec, _Spec, "limits")
            idle_ms = _duration_or(limits.idle_timeout, 0)
    accounts = yield from account_decoder.decode(tenants, SLICE_RESOURCES)
    return PlatformConfiguration(
        int(document.version, 16), tuple(routes), tuple(services), idle_ms, accounts
    )


def _decode(data, struct_type, what):
    try:
        return decode_json(data, struct_type)
    except DecodingError as error:
        raise DecodeError(f"unreadable {what}: {error}") from error


def _parse_address(address):
    """Return the host and the port of an address; the host must be an IPv4 address."""
    host, _, port = address.rpartition(":")
    if not PORT_PATTERN.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise DecodeError(f"{address[:50]!r} has no usable port")
    try:
        return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError as error:
        raise DecodeError(f"{address[:50]!r} is no IPv4 address") from error


def _build_parts(split):
    """Return the parts of a split, whose weights are whole numbers."""
    is_whole = all(part.weight.is_integer() for part in split)
    scale = 1 if is_whole else WEIGHT_SCALE
    return tuple(Part(part.service, round(part.weight * scale)) for part in split)


def _decode_route(spec):
    if not spec.path_prefix.startswith("/"):
        raise DecodeError("a route has no path prefix")
    if spec.traffic_split:
        parts = _build_parts(spec.traffic_split)
    elif spec.service:
        parts = (Part(spec.service, 1),)
    else:
        raise DecodeError(f"route {spec.path_prefix} has no service")
    return Route(
        spec.path_prefix,
        spec.hostname.lower(),
        idempotent=spec.kind in IDEMPOTENT_KINDS,
        deadline_ms=_duration_or(spec.timeout, DEFAULT_TIMEOUT_MS),
        target_ms=_duration_or(spec.target_latency, 0),
        priority=max(0, spec.priority),
        max_attempts=max(0, spec.max_attempts),
        large=spec.kind in LARGE_KINDS,
        parts=parts,
        public=bool(spec.public),
    )


def _duration_or(text, default):
    return decode_duration(text) if text else default


def find_configurations(records):
    """Return the records that hold a configuration, the newest one first."""
    found = [r for r in records if r.key == CONFIGURATION_KEY and r.value]
    return tuple(reversed(found))
