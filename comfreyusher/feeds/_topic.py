"""A node's state of one topic."""

import dataclasses

import immutables

from comfreyusher.feeds._state import NEVER_S, Position
from comfreyusher.flow import replace


@dataclasses.dataclass(frozen=True, slots=True)
class DeltaPages:
    """Received pages, by number, of a reader's delta up to ``changed_offset``."""

    changed_offset: int
    pages: immutables.Map = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """A node's request for changes after ``end_offset``, dropped at ``expires_s``."""

    end_offset: int
    expires_s: float


class TopicState:
    """State of one topic: its position and the call of the store that is pending.

    ``reader`` is the node known since ``target_since_s`` to have read up to
    ``target_offset``. While this node is ``behind``, it requested a snapshot from
    ``requested_node`` at ``requested_s``, and reads the store at
    ``store_read_due_s``. ``offset_expired`` is set when the store no longer has
    the records after the position. ``pending_requests`` are the requests of
    other nodes that wait for newer data, by requester; ``delta_pages`` the pages
    of incomplete deltas, by reader. ``call_era`` is the era of the position when the
    pending call was made. Times are monotonic seconds.
    """

    def __init__(self):
        self.position = Position()
        self.call_pending = False
        self.call_era = 0
        self.call_started_s = 0.0
        self.next_call_s = 0.0
        self.failures = 0
        self.offset_expired = False
        self.last_failure_s = 0.0
        self.behind = False
        self.reader = ""
        self.target_offset = 0
        self.target_since_s = 0.0
        self.requested_node = ""
        self.requested_s = 0.0
        self.store_read_due_s = 0.0
        self.pending_requests = {}
        self.delta_pages = {}

    @property
    def never_confirmed(self):
        """Whether this node never had any data of the topic."""
        return self.position.confirmed_s == NEVER_S

    @property
    def can_follow(self):
        """Whether the records after the position can be read from the store."""
        return self.position.known and not self.offset_expired

    def begin_era(self, era, store_read_due_s):
        """Forget the position, which is of an older era, and all that rests on it."""
        self.position = Position(confirmed_s=self.position.confirmed_s, era=era)
        self.offset_expired = False
        self.behind = False
        self.target_offset = 0
        self.requested_node, self.requested_s = "", 0.0
        self.store_read_due_s = store_read_due_s
        self.delta_pages = {}
        self.pending_requests = {
            node: replace(request, end_offset=min(request.end_offset, 0))
            for node, request in self.pending_requests.items()
        }

    def waited_ms(self, now):
        """Return for how many milliseconds this node has known of newer records."""
        return int((now - self.target_since_s) * 1000) if self.behind else 0

    def has_changes_after(self, end_offset):
        """Return whether there are relevant changes after an offset."""
        return self.position.known and self.position.changed_offset > end_offset

    def pop_ready_requesters(self, now):
        """Return the nodes whose requests can be answered now.

        Forgets their requests, and those that have expired.
        """
        ready = [
            node
            for node, request in self.pending_requests.items()
            if self.has_changes_after(request.end_offset)
        ]
        self.pending_requests = {
            node: request
            for node, request in self.pending_requests.items()
            if node not in ready and request.expires_s > now
        }
        return ready

    def collect_pages(self, delta):
        """Return all entries of a delta, or ``None`` while pages are missing.

        A delta must not be applied in part: the data would then no longer match
        the position.
        """
        if delta.page_count == 1:
            return delta.upstreams
        received = self.delta_pages.get(delta.node)
        if received is None or received.changed_offset != delta.changed_offset:
            received = DeltaPages(delta.changed_offset)
        received = replace(
            received, pages=received.pages.set(delta.page, delta.upstreams)
        )
        self.delta_pages[delta.node] = received
        if len(received.pages) < delta.page_count:
            return None
        pages = (received.pages[page] for page in sorted(received.pages))
        return tuple(entry for page in pages for entry in page)

    def drop_pages(self, end_offset):
        """Forget pages of deltas up to an offset."""
        self.delta_pages = {
            node: received
            for node, received in self.delta_pages.items()
            if received.changed_offset > end_offset
        }


def update_newest(newest, records):
    """Update the newest records by key, which other nodes request in snapshots."""
    for record in records:
        if record.value:
            newest[record.key] = record
        else:
            newest.pop(record.key, None)
