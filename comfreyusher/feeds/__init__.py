"""Topics of the platform's store, read by few nodes and relayed to their region."""

from comfreyusher.feeds._messages import (
    ConfigurationChanged,
    ConfigurationKnown,
    DeclarationsRead,
    QuarantinesRead,
    ReadNow,
    RegionChanged,
    UpstreamsChanged,
)
from comfreyusher.feeds._reader import FeedTimings, backoff_s, rank_readers
from comfreyusher.feeds._relay import FANOUT, compress_record, find_parent
from comfreyusher.feeds._state import (
    ApplyResult,
    UpstreamRegistry,
    apply_configuration,
    apply_delta,
    apply_due_removals,
    apply_newest_records,
    apply_upstream_records,
)
from comfreyusher.feeds._task import FeedTask

__all__ = [
    "FANOUT",
    "ApplyResult",
    "ConfigurationChanged",
    "ConfigurationKnown",
    "DeclarationsRead",
    "FeedTask",
    "FeedTimings",
    "QuarantinesRead",
    "ReadNow",
    "RegionChanged",
    "UpstreamRegistry",
    "UpstreamsChanged",
    "apply_configuration",
    "apply_delta",
    "apply_due_removals",
    "apply_newest_records",
    "apply_upstream_records",
    "backoff_s",
    "compress_record",
    "find_parent",
    "rank_readers",
]
