"""What the feeds send to other tasks of the node, and receive from them."""

import dataclasses

import immutables

from comfreyusher.declarations import PlatformConfiguration
from comfreyusher.platform import Topic


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """All upstreams by name, and the entries that changed."""

    upstreams: immutables.Map
    changed: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A newer configuration of the platform's operator."""

    configuration: PlatformConfiguration


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationKnown:
    """The newest version that this node has read, 0 for none.

    ``newer_exists`` tells that another node has told of a newer one.
    """

    version: int
    newer_exists: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationsRead:
    """Records of declarations, and the offset after them.

    ``whole`` tells that they are the newest ones of the whole topic.
    """

    end_offset: int
    records: tuple
    era: int = 0
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantinesRead:
    """Records of quarantines, and the offset after them."""

    end_offset: int
    records: tuple
    era: int = 0
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReadNow:
    """Read a topic at once."""

    topic: Topic


@dataclasses.dataclass(frozen=True, slots=True)
class RegionChanged:
    """Live nodes of this node's region, and those of its data centre."""

    nodes: tuple
    data_centre_nodes: tuple = ()
