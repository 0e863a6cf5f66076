"""Messages that spread what was read from the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An upstream as it registered itself.

    ``gone`` marks the removal of its entry, which counts in ``departs_ms``.
    ``warm_ms`` is how much longer it is slow after its start, ``born_ms`` the
    Unix time of that start.
    """

    name: str
    service: str = ""
    host: str = ""
    port: int = 0
    data_centre: str = ""
    slots: int = 0
    leaving: bool = False
    warm_ms: int = 0
    born_ms: int = 0
    gone: bool = False
    departs_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TopicMark:
    """How far a node has read a topic.

    ``end`` is the next offset, ``changed`` the offset behind the last change
    that mattered, ``age_ms`` how long ago the store confirmed both.
    """

    topic: str
    end: int
    changed: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class FeedMark:
    """A reader's positions in all topics.

    ``read_age_ms`` is how long ago the store last answered this reader itself;
    the ages of its topics may be those that other readers told.
    """

    node: str
    topics: tuple[TopicMark, ...]
    read_age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class KeptRecord:
    """The newest record of a key, as it travels: ``value`` is compressed."""

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotAsked:
    """Ask a node for what it knows of a topic after the offset ``end``.

    A node that knows no more answers once it does, within some seconds. Without
    a topic all is asked for that is known now.
    """

    asker: str
    topic: str = ""
    end: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotGiven:
    """All that a node knows of a topic: packed records, or upstreams."""

    mark: TopicMark
    records: tuple[KeptRecord, ...] = ()
    upstreams: tuple[ListedUpstream, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class FeedChange:
    """Changes of upstreams between the positions ``base`` and ``changed``.

    They fit a node whose own position is at ``base`` or later. A change that is
    too large for one datagram comes in ``pages``, numbered from 0.
    """

    node: str
    base: int
    changed: int
    upstreams: tuple[ListedUpstream, ...]
    page: int = 0
    pages: int = 1
