"""Messages that distribute between nodes what was read from the platform's store.

Offsets are positions in a topic of the store. ``era`` tells how often the store had
been restored from an older copy; offsets of different eras cannot be compared.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RegisteredUpstream:
    """An upstream as it registered itself in the store.

    ``removed`` marks that its entry was removed; the removal takes effect after
    ``removal_delay_ms``. ``remaining_warmup_ms`` is how much longer the upstream is
    slow after its start, ``started_ms`` the Unix time of that start.
    """

    name: str
    service: str = ""
    host: str = ""
    port: int = 0
    data_centre: str = ""
    slots: int = 0
    leaving: bool = False
    remaining_warmup_ms: int = 0
    started_ms: int = 0
    removed: bool = False
    removal_delay_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TopicWatermark:
    """How far a node has read a topic.

    ``end_offset`` is the next offset to read, ``changed_offset`` the one after
    the last relevant change, ``age_ms`` how long ago the store confirmed both.
    """

    topic: str
    end_offset: int
    changed_offset: int
    age_ms: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FeedWatermarks:
    """A reader's watermarks of all topics.

    ``read_age_ms`` is how long ago the store last responded to this reader
    itself; the ages in ``topics`` may come from other readers.
    ``configuration_version`` is that of the configuration in force on the sender. A
    node that has a newer one than a reader sends the reader this message without
    ``topics``. ``available_ms`` is for how long the sender has known of no outage of
    the store, 0 if it does not say.
    """

    node: str
    topics: tuple[TopicWatermark, ...]
    read_age_ms: int = 0
    era: int = 0
    configuration_version: int = -1
    available_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CompressedRecord:
    """The newest record of a key, with a compressed ``value``."""

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Ask a node for a snapshot of a topic that it has read beyond ``end_offset``.

    A node that has not read further responds once it has, if that is within
    some seconds. An empty ``topic`` asks for all topics as they are known now.
    """

    requester: str
    topic: str = ""
    end_offset: int = -1
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotResponse:
    """All that a node knows of a topic: compressed records, or upstreams.

    ``watermark`` tells how far the sender has read the topic. One without changes
    tells that the data is from an older era than the sender knows by now.
    """

    watermark: TopicWatermark
    records: tuple[CompressedRecord, ...] = ()
    upstreams: tuple[RegisteredUpstream, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamDelta:
    """Changes of upstreams from ``base_offset`` up to ``changed_offset``.

    They apply to a node whose own offset is ``base_offset`` or later. A delta
    that is too large for one datagram is split into ``page_count`` pages,
    numbered from 0.
    """

    node: str
    base_offset: int
    changed_offset: int
    upstreams: tuple[RegisteredUpstream, ...]
    page: int = 0
    page_count: int = 1
    era: int = 0
