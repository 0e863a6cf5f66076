"""What a node knows of the operator and of the upstreams."""

import zlib

from comfreyusher.events import log_warning
from comfreyusher.feeds._log import log_configuration, log_entry
from comfreyusher.feeds._messages import (
    DeclarationsRead,
    PublishedChanged,
    UpstreamsChanged,
)
from comfreyusher.feeds._relay import pack_record, unpack_value
from comfreyusher.feeds._state import (
    Listing,
    apply_configuration,
    apply_newest,
    apply_upstreams,
)
from comfreyusher.feeds._topic import keep_newest
from comfreyusher.platform import DocumentRefused, Record, Topic

PART = "feeds"


class Knowledge:
    """The listing, the configuration, and the newest records for other nodes.

    ``send_message`` takes a channel and a message. A ``source`` names who gave
    something, for the log.
    """

    def __init__(self, send_message):
        self.send_message = send_message
        self.listing = Listing()
        self.published = None
        self.kept = {Topic.CONFIGURATION: {}, Topic.DECLARATIONS: {}}
        self.packed = {Topic.CONFIGURATION: {}, Topic.DECLARATIONS: {}}

    # Upstreams -----------------------------------------------------------------

    def read_upstreams(self, records, whole, departs_s, source):
        """Take records of upstreams; return what other nodes have to hear."""
        decide = apply_newest if whole else apply_upstreams
        applied = decide(self.listing, records, departs_s)
        for fault in applied.faults:
            log_warning(PART, "entry refused", reason=fault)
        self.take_listing(applied, source)
        return applied.news

    def take_listing(self, applied, source):
        """Take a listing, and tell the node what counts now."""
        before = self.listing
        self.listing = applied.listing
        if applied.changed:
            for entry in applied.changed:
                log_entry(before, entry, source)
            told = UpstreamsChanged(self.listing.upstreams, applied.changed)
            self.send_message("node", told)

    # Records -------------------------------------------------------------------

    def take_records(self, topic, read, whole, source, waited_ms):
        """Take records of the operator's configuration, or of declarations.

        Return whether they changed anything. ``waited_ms`` is how long this node has
        known of newer ones.
        """
        keep_newest(self.kept[topic], read.records)
        if topic is Topic.CONFIGURATION:
            return self._take_configuration(read.records, source, waited_ms)
        if read.records or whole:
            self.send_message("configuration", DeclarationsRead(read.end, read.records))
        return bool(read.records)

    def _take_configuration(self, records, source, waited_ms):
        try:
            found = apply_configuration(self.published, records)
        except DocumentRefused as error:
            log_warning(PART, "configuration refused", reason=str(error))
            return False
        if found is self.published:
            return False
        self.published = found
        kept = self.kept[Topic.CONFIGURATION]
        log_configuration(found, kept, source, waited_ms)
        self.send_message("node", PublishedChanged(found))
        return True

    # Other nodes -----------------------------------------------------------------

    def pack(self, topic):
        """Return the newest records of a topic as they travel between nodes."""
        packed = self.packed.get(topic, {})
        for key, record in self.kept.get(topic, {}).items():
            known = packed.get(key)
            if known is None or known.offset != record.offset:
                packed[key] = pack_record(record)
        return tuple(packed[key] for key in self.kept.get(topic, {}))

    def unpack(self, topic, packed):
        """Return the ``Record`` tuple of another node, or ``None`` if unreadable."""
        try:
            records = tuple(
                Record(one.key, unpack_value(one.value), one.offset) for one in packed
            )
        except zlib.error as error:
            log_warning(PART, "snapshot refused", topic=topic.value, reason=str(error))
            return None
        self.packed[topic].update({one.key: one for one in packed})
        return records
