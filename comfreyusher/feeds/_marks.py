"""What a reader tells other nodes: marks, changes and snapshots."""

import dataclasses

from comfreyusher.flow import replace
from comfreyusher.messages import (
    TopicWatermark,
    UpstreamDelta,
)

CHANGE_REPEATS = 3
ENTRIES_PER_CHANGE = 8
MAX_AGE_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Repeat:
    """Entries changed between two offsets, which are sent ``left`` more times."""

    base: int
    changed: int
    entries: tuple
    left: int = CHANGE_REPEATS


def one_less(repeat):
    """Return the repeat after it was sent once."""
    return replace(repeat, left=repeat.left - 1)


def pages_of(repeat, node):
    """Yield the messages that carry the entries of a repeat."""
    starts = range(0, len(repeat.entries), ENTRIES_PER_CHANGE)
    for page, start in enumerate(starts):
        entries = repeat.entries[start : start + ENTRIES_PER_CHANGE]
        yield UpstreamDelta(
            node, repeat.base, repeat.changed, entries, page, len(starts)
        )


def age_ms(at_s, now):
    """Return how long ago something was, as it travels."""
    return int(min(MAX_AGE_S, now - at_s) * 1000)


def mark_of(topic, position, now):
    """Return the mark of a topic's position."""
    age = age_ms(position.confirmed_s, now)
    return TopicWatermark(topic.value, position.end, position.changed, age)


def marks_of(topics, now):
    """Return the marks of all topics whose position is known."""
    return tuple(
        mark_of(topic, state.position, now)
        for topic, state in topics.items()
        if state.position.known
    )
