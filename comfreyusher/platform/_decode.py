"""Decoding of the platform's documents into this project's types."""

import re
from typing import Any

import msgspec

from comfreyusher.declarations import Part, PlatformConfiguration, Route
from comfreyusher.errors import ComfreyusherError
from comfreyusher.messages import RegisteredUpstream

CONFIGURATION_KEY = "config"
DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
MILLISECONDS_PER_UNIT = {"ms": 1, "s": 1000}
DEFAULT_TIMEOUT_MS = 60_000
UPSTREAM_STATES = ("ready", "draining")
IDEMPOTENT_KINDS = ("safe",)
LARGE_KINDS = ("upload",)


class DecodeError(ComfreyusherError):
    """A document or a response of the platform is malformed or has bad values."""


class _Upstream(msgspec.Struct):
    """The entry of an upstream.

    ``zone`` is its data centre, ``born`` the time when it started, in milliseconds.
    The fields ``version`` (of its software) and ``seq`` (a count of its heartbeats)
    are not decoded, since neither tells which of two entries is newer.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: str
    warmup_left: str = "0ms"
    born: int = 0


class _Part(msgspec.Struct):
    """A service with its share of the traffic of a route."""

    service: str
    weight: int


class _Spec(msgspec.Struct):
    """The operator's settings of a route, a service or the limits.

    ``timeout`` is the limit for a whole request of a caller. A response within
    ``target_latency`` has its full value for the caller. Requests of ``priority`` 0
    go first.
    """

    hostname: str = ""
    path_prefix: str = ""
    kind: str = ""
    timeout: str | None = None
    target_latency: str | None = None
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Part] | None = None
    max_attempts: int = 0
    idle_timeout: str | None = None
    header_timeout: str | None = None
    max_header_bytes: int | None = None
    max_body_bytes: int | None = None


class _Resource(msgspec.Struct):
    """One entry; ``entry_kind`` is what it configures."""

    entry_kind: str
    spec: _Spec
    metadata: dict[str, Any] = {}


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
    try:
        entry = msgspec.json.decode(record.value, type=_Upstream)
    except msgspec.MsgspecError as error:
        raise DecodeError(f"unreadable upstream {record.key}: {error}") from error
    host, _, port = entry.address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise DecodeError(f"upstream {record.key} has no usable address")
    if entry.state not in UPSTREAM_STATES or entry.slots < 1 or entry.born < 0:
        raise DecodeError(
            f"upstream {record.key} has an invalid state, slots or start time"
        )
    return RegisteredUpstream(
        record.key,
        entry.service,
        host,
        int(port),
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
    try:
        document = msgspec.json.decode(value, type=_Configuration)
        version = int(document.version, 16)
    except (msgspec.MsgspecError, ValueError) as error:
        raise DecodeError(f"unreadable configuration: {error}") from error
    routes, services, idle_ms = [], [], 0
    for resource in document.resources:
        if resource.entry_kind == "routes":
            routes.append(_decode_route(resource.spec))
        elif resource.entry_kind == "services":
            services.append(str(resource.metadata.get("name", "")))
        elif resource.entry_kind == "limits" and resource.spec.idle_timeout:
            idle_ms = decode_duration(resource.spec.idle_timeout)
    return PlatformConfiguration(version, tuple(routes), tuple(services), idle_ms)


def _decode_route(spec):
    if not spec.path_prefix.startswith("/"):
        raise DecodeError("a route has no path prefix")
    if spec.traffic_split:
        parts = tuple(Part(part.service, part.weight) for part in spec.traffic_split)
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
    )


def _duration_or(text, default):
    return decode_duration(text) if text else default


def find_configuration(records):
    """Return the newest record that holds a configuration, or ``None``."""
    newest = None
    for record in records:
        if record.key == CONFIGURATION_KEY and record.value:
            newest = record
    return newest
