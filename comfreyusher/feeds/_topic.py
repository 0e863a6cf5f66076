"""What a node keeps of one topic."""

import dataclasses

from comfreyusher.feeds._state import Position
from comfreyusher.platform import Topic


@dataclasses.dataclass(frozen=True, slots=True)
class HeardPage:
    """A page of a change that a reader told, up to the offset ``changed``."""

    node: str
    changed: int
    page: int


class TopicState:
    """State of one topic: its position and the call that is under way.

    ``marker`` is the reader that knows of the offset ``wanted`` since ``wanted_s``;
    it was asked for its records at ``asked_s``. ``pages`` are those of a change
    that is not complete. Times are monotonic seconds.
    """

    def __init__(self):
        self.position = Position()
        self.calling = False
        self.called_s = 0.0
        self.next_s = 0.0
        self.failures = 0
        self.failed_s = 0.0
        self.behind = False
        self.marker = ""
        self.wanted = 0
        self.wanted_s = 0.0
        self.asked_s = 0.0
        self.pages = frozenset()

    def has_all_pages(self, heard):
        """Note a page of a change; tell whether all pages of it are in."""
        if heard.pages == 1:
            return True
        known = frozenset(one for one in self.pages if one.changed == heard.changed)
        self.pages = known | {HeardPage(heard.node, heard.changed, heard.page)}
        of_node = [one for one in self.pages if one.node == heard.node]
        return len(of_node) == heard.pages


def keep_newest(kept, records):
    """Keep the newest records by key, for nodes that cannot reach the store."""
    for record in records:
        if record.value:
            kept[record.key] = record
        else:
            kept.pop(record.key, None)


def lacks_a_topic(topics):
    """Tell whether a topic that is needed to serve was never read."""
    needed = (Topic.CONFIGURATION, Topic.UPSTREAMS)
    return not all(topics[topic].position.known for topic in needed)
