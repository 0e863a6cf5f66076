"""Messages to and from the task that calls the store, in this project's own terms.

The store holds topics. A topic keeps the newest record of every key for ever and
every record for a while. Its records are numbered by offsets.

The store may be restored from an older copy of itself. Its era is a number that rises
each time; offsets of different eras have nothing to do with each other. An ``era`` of
0 stands for a store that names none. Each result carries the era of the response.
"""

import dataclasses
import enum
from typing import Any

ANY_END_OFFSET = -1


class Topic(str, enum.Enum):
    """The topics that the fleet reads or writes."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    DECLARATIONS = "declarations"
    ACCOUNTS = "accounts"
    NODES = "nodes"
    QUARANTINES = "quarantines"


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A record of a topic; an empty value removes its key."""

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecords:
    """Read the records from an offset on.

    The store waits up to ``wait_ms`` for the first one. ``era`` is that of the offset;
    the read fails in any other one, unless it is 0.
    """

    channel: str
    topic: Topic
    start_offset: int
    wait_ms: int = 0
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsRead:
    """The records from ``start_offset`` on.

    ``end_offset`` is the next offset of the topic, and ``next_offset`` the one to
    continue reading at. ``next_offset`` is the lower one if the response was
    truncated at its size limit.
    """

    topic: Topic
    start_offset: int
    next_offset: int
    end_offset: int
    records: tuple
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadNewest:
    """Read the newest record of every key.

    Without ``all_pages`` only one page is read: of the keys after ``after_key``.
    """

    channel: str
    topic: Topic
    all_pages: bool = True
    after_key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class NewestRead:
    """The newest records; no record is missed by reading on at ``end_offset``.

    ``after_key`` is the key that the next page starts after, empty on the last page.
    """

    topic: Topic
    end_offset: int
    records: tuple
    after_key: str = ""
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """A read failed.

    ``expired`` means that the store no longer keeps the offset; ``first_offset`` is
    the oldest one that it keeps.
    """

    topic: Topic
    reason: str
    expired: bool = False
    first_offset: int = 0
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append a record; the result goes to ``channel`` with the same token.

    The record is appended only if ``expected_end_offset`` is the next offset of the
    topic, or is ``ANY_END_OFFSET``. ``era`` is that of the offset; the append fails in
    any other one, unless it is 0.
    """

    channel: str
    token: Any
    topic: Topic
    key: str
    value: bytes
    expected_end_offset: int = ANY_END_OFFSET
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The record was appended at an offset."""

    token: Any
    offset: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AppendFailed:
    """An append failed.

    ``definite`` means that the record will never be appended. Otherwise the outcome
    is unknown: the record may be in the topic already, or be appended later.
    """

    token: Any
    reason: str
    definite: bool = False
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EraObserved:
    """Tell the task that calls the store of an era that another node has named."""

    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class EraChanged:
    """The store has a newer era than this node knew.

    ``restored`` is false if this node knew of no response of the store before, so
    that it cannot hold anything that the store lost.
    """

    era: int
    restored: bool = True
