"""Messages to and from the platform task, and the platform's documents.

The log is read and written over HTTP: ``POST /log/STREAM`` appends the body
as one record and answers ``{"offset": n}``; ``GET /log/STREAM?after=N`` lists
later records. ``GET /vms?after=V`` lists the VMs that changed after version V.
"""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append a record; the answer goes to ``channel`` with the same token."""

    channel: str
    token: Any
    stream: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The record has an offset."""

    token: Any
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendFailed:
    """No answer came; the record may or may not be in the log."""

    token: Any
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read records after an offset; ``wait_ms`` waits for the first one."""

    channel: str
    stream: str
    after: int
    wait_ms: int = 0
    max_records: int = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream; ``time_ms`` is the log's clock."""

    offset: int
    time_ms: int
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Answer of the log: what it keeps starts at ``first``."""

    first: int
    last: int
    retention_ms: int
    now_ms: int
    records: tuple[LogRecord, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsRead:
    """A page of a stream."""

    stream: str
    after: int
    page: LogPage


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """A read brought no page."""

    stream: str
    after: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM on the platform's list.

    ``role`` is ``entry`` or ``upstream``; ``state`` is ``live``, ``leaving``
    or ``gone``. ``service`` and ``slots`` are set for upstreams.
    """

    name: str
    role: str
    state: str
    host: str
    port: int
    data_centre: str
    region: str
    service: str = ""
    slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VmPage:
    """Answer of the list: the VMs that changed after a version."""

    version: int
    vms: tuple[Vm, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ListRead:
    """All VMs on the list by name, and the names of those that changed."""

    vms: Any
    changed: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AppendedAnswer:
    """Body of the answer to an append."""

    offset: int
