"""Decoding of the platform's documents into the project's types."""

import re
from typing import Any

import msgspec

from comfreyusher.declarations import Part, PlatformConfiguration, Route
from comfreyusher.errors import ComfreyusherError
from comfreyusher.messages import RegisteredUpstream

CONFIGURATION_KEY = "config"
DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
MILLISECONDS_PER = {"ms": 1, "s": 1000}
NO_TIMEOUT_MS = 60_000
STATES = ("ready", "draining")
IDEMPOTENT_KINDS = ("safe",)
LARGE_KINDS = ("upload",)


class DocumentRefused(ComfreyusherError):
    """A document of the platform that cannot be used."""


class _Upstream(msgspec.Struct):
    """An entry of an upstream; ``zone`` is its data centre.

    ``version`` is of its software, and ``seq`` counts its heartbeats; neither
    orders the entries.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: str
    warmup_left: str = "0ms"
    born: int = 0


class _Part(msgspec.Struct):
    """A part of a split route."""

    service: str
    weight: int


class _Spec(msgspec.Struct):
    """What the operator says of a route, a service or the limits.

    ``timeout`` bounds the whole wait of a caller, ``target_latency`` the time
    in which its answer has full worth; ``priority`` 0 goes first.
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
    """One entry; ``entry_kind`` tells what it is about."""

    entry_kind: str
    spec: _Spec
    metadata: dict[str, Any] = {}


class _Configuration(msgspec.Struct):
    """The operator's whole configuration; ``version`` is hexadecimal."""

    version: str
    resources: list[_Resource]


def decode_duration(text):
    """Return the milliseconds in a text such as ``1500ms`` or ``2.5s``."""
    match = DURATION.fullmatch(text)
    if match is None:
        raise DocumentRefused(f"{text!r} is not a time with a unit")
    return round(float(match[1]) * MILLISECONDS_PER[match[2]])


def decode_upstream(record):
    """Return the ``RegisteredUpstream`` of a record, or raise ``DocumentRefused``.

    A removed key gives an upstream that is gone.
    """
    if not record.value:
        return RegisteredUpstream(record.key, removed=True)
    try:
        entry = msgspec.json.decode(record.value, type=_Upstream)
    except msgspec.MsgspecError as error:
        raise DocumentRefused(f"unreadable upstream {record.key}: {error}") from error
    host, _, port = entry.address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise DocumentRefused(f"upstream {record.key} has no usable address")
    if entry.state not in STATES or entry.slots < 1 or entry.born < 0:
        raise DocumentRefused(f"upstream {record.key} has an unknown state or slots")
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
    """Return the ``PlatformConfiguration``, or raise ``DocumentRefused``."""
    try:
        document = msgspec.json.decode(value, type=_Configuration)
        version = int(document.version, 16)
    except (msgspec.MsgspecError, ValueError) as error:
        raise DocumentRefused(f"unreadable configuration: {error}") from error
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
        raise DocumentRefused("a route has no path prefix")
    if spec.traffic_split:
        parts = tuple(Part(p.service, p.weight) for p in spec.traffic_split)
    elif spec.service:
        parts = (Part(spec.service, 1),)
    else:
        raise DocumentRefused(f"route {spec.path_prefix} has no service")
    return Route(
        spec.path_prefix,
        spec.hostname.lower(),
        idempotent=spec.kind in IDEMPOTENT_KINDS,
        deadline_ms=_duration_or(spec.timeout, NO_TIMEOUT_MS),
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
    found = None
    for record in records:
        if record.key == CONFIGURATION_KEY and record.value:
            found = record
    return found
