"""What the feeds tell other tasks of the node."""

import dataclasses

import immutables

from comfreyusher.declarations import Published
from comfreyusher.platform import Topic


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """All upstreams by name, and the entries that changed."""

    upstreams: immutables.Map
    changed: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedChanged:
    """A newer configuration of the platform's operator."""

    published: Published


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationsRead:
    """Records of declarations, and the position behind them."""

    end: int
    records: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class ReadNow:
    """Read a topic at once."""

    topic: Topic


@dataclasses.dataclass(frozen=True, slots=True)
class RegionSeen:
    """Live nodes of this node's region, and those of its data centre."""

    nodes: tuple
    near: tuple = ()
