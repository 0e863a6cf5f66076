"""The platform's configuration and upstreams, read once a region and spread."""

from comfreyusher.feeds._messages import (
    DeclarationsRead,
    PublishedChanged,
    ReadNow,
    RegionSeen,
    UpstreamsChanged,
)
from comfreyusher.feeds._reader import Pace, backoff_s, rank_readers
from comfreyusher.feeds._relay import FANOUT, pack_record, parent_of
from comfreyusher.feeds._state import (
    Applied,
    Listing,
    apply_changes,
    apply_configuration,
    apply_newest,
    apply_upstreams,
    release_departures,
)
from comfreyusher.feeds._task import FeedTask

__all__ = [
    "FANOUT",
    "Applied",
    "DeclarationsRead",
    "FeedTask",
    "Listing",
    "Pace",
    "PublishedChanged",
    "ReadNow",
    "RegionSeen",
    "UpstreamsChanged",
    "apply_changes",
    "apply_configuration",
    "apply_newest",
    "apply_upstreams",
    "backoff_s",
    "pack_record",
    "parent_of",
    "rank_readers",
    "release_departures",
]
