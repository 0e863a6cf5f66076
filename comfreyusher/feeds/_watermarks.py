"""What a reader sends to other nodes: watermarks and deltas of upstreams."""

import dataclasses

from comfreyusher.flow import replace
from comfreyusher.messages import (
    TopicWatermark,
    UpstreamDelta,
)

DELTA_SENDS = 3
# A larger delta takes the link for long; a node that misses it reads the store.
LARGE_DELTA_SENDS = 1
ENTRIES_PER_PAGE = 8
MAX_AGE_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingDelta:
    """Entries changed between two offsets, to be sent ``sends_left`` more times."""

    base_offset: int
    changed_offset: int
    entries: tuple
    era: int = 0
    sends_left: int = DELTA_SENDS


def count_sends(entries):
    """Return how often a delta of these entries is sent."""
    return DELTA_SENDS if len(entries) <= ENTRIES_PER_PAGE else LARGE_DELTA_SENDS


def record_send(delta):
    """Return the delta after it was sent once."""
    return replace(delta, sends_left=delta.sends_left - 1)


def split_into_pages(delta, node):
    """Yield the messages that carry the entries of a delta."""
    starts = range(0, len(delta.entries), ENTRIES_PER_PAGE)
    for page, start in enumerate(starts):
        entries = delta.entries[start : start + ENTRIES_PER_PAGE]
        yield UpstreamDelta(
            node,
            delta.base_offset,
            delta.changed_offset,
            entries,
            page,
            len(starts),
            delta.era,
        )


def age_ms(at_s, now):
    """Return the age of an event in whole milliseconds, at most ``MAX_AGE_S``."""
    return int(min(MAX_AGE_S, now - at_s) * 1000)


def build_watermark(topic, position, now):
    """Return the watermark of a topic's position."""
    age = age_ms(position.confirmed_s, now)
    return TopicWatermark(
        topic.value, position.end_offset, position.changed_offset, age, position.era
    )


def build_watermarks(positions, now):
    """Return the watermarks of all topics whose position is known."""
    return tuple(
        build_watermark(topic, position, now)
        for topic, position in positions.items()
        if position.known
    )
