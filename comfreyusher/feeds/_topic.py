"""What a node keeps of one topic."""

import dataclasses

import immutables

from comfreyusher.feeds._state import NEVER_S, Position
from comfreyusher.flow import replace


@dataclasses.dataclass(frozen=True, slots=True)
class HeardPages:
    """Entries by page of a reader's change that ends at the offset ``changed``."""

    changed: int
    entries: immutables.Map = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class Asker:
    """A node that waits for what follows the offset ``end``, until ``until_s``."""

    end: int
    until_s: float


class TopicState:
    """State of one topic: its position and the call that is under way.

    ``marker`` is the reader that knows of the offset ``wanted`` since ``wanted_s``.
    While this node is ``behind``, ``asked`` was asked at ``asked_s``, and the store
    is read at ``store_s``. ``expired`` tells that the store has forgotten
    what follows the position. ``askers`` are nodes that wait for this one,
    ``pages`` those of changes that are not complete, by reader. Times are
    monotonic seconds.
    """

    def __init__(self):
        self.position = Position()
        self.calling = False
        self.called_s = 0.0
        self.next_s = 0.0
        self.failures = 0
        self.expired = False
        self.failed_s = 0.0
        self.behind = False
        self.marker = ""
        self.wanted = 0
        self.wanted_s = 0.0
        self.asked = ""
        self.asked_s = 0.0
        self.store_s = 0.0
        self.askers = {}
        self.pages = {}

    @property
    def fresh(self):
        """Whether nothing was ever known of the topic."""
        return self.position.confirmed_s == NEVER_S

    @property
    def can_follow(self):
        """Whether the store may be asked for what follows the position."""
        return self.position.known and not self.expired

    def has_news(self, end):
        """Tell whether anything that matters follows an offset."""
        return self.position.known and self.position.changed > end

    def take_ready_askers(self, now):
        """Return and forget the askers that can be answered; forget old ones."""
        ready = [node for node, one in self.askers.items() if self.has_news(one.end)]
        self.askers = {
            node: one
            for node, one in self.askers.items()
            if node not in ready and one.until_s > now
        }
        return ready

    def collect_pages(self, heard):
        """Return all entries of a change, or ``None`` while pages are missing.

        A part of a change must not be applied: what is known would then no
        longer be what the position says.
        """
        if heard.page_count == 1:
            return heard.upstreams
        known = self.pages.get(heard.node)
        if known is None or known.changed != heard.changed_offset:
            known = HeardPages(heard.changed_offset)
        known = replace(known, entries=known.entries.set(heard.page, heard.upstreams))
        self.pages[heard.node] = known
        if len(known.entries) < heard.page_count:
            return None
        pages = (known.entries[page] for page in sorted(known.entries))
        return tuple(entry for page in pages for entry in page)

    def forget_pages(self, end):
        """Forget pages of changes that are known by now."""
        self.pages = {
            node: known for node, known in self.pages.items() if known.changed > end
        }


def keep_newest(kept, records):
    """Keep the newest records by key, for nodes that cannot reach the store."""
    for record in records:
        if record.value:
            kept[record.key] = record
        else:
            kept.pop(record.key, None)
