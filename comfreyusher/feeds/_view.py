"""A node's view of the platform: upstreams, configuration and declarations."""

import zlib

from comfreyusher.events import log_warning
from comfreyusher.feeds._log import log_configuration, log_upstream
from comfreyusher.feeds._messages import (
    ConfigurationChanged,
    ConfigurationKnown,
    DeclarationsRead,
    QuarantinesRead,
    UpstreamsChanged,
)
from comfreyusher.feeds._relay import compress_record, decompress_value
from comfreyusher.feeds._state import (
    UpstreamRegistry,
    apply_configuration,
    apply_newest_records,
    apply_upstream_records,
    remember_left,
)
from comfreyusher.feeds._topic import update_newest
from comfreyusher.platform import ConfigurationDecoder, Record, Topic

PART = "feeds"
RETIRED_KEPT_S = 60.0
RECORD_TOPICS = (Topic.CONFIGURATION, Topic.DECLARATIONS, Topic.QUARANTINES)
CHANNELS = {Topic.DECLARATIONS: "configuration", Topic.QUARANTINES: "quarantine"}
MESSAGES = {Topic.DECLARATIONS: DeclarationsRead, Topic.QUARANTINES: QuarantinesRead}


class FeedView:
    """The registry of upstreams, the configuration, and the newest records.

    The newest records are kept for snapshots to other nodes. ``send_message``
    takes a channel and a message. A ``source`` is the node that sent some data,
    or the store; it is only logged. ``compressed_records`` maps a key to the record
    and its compressed form: records of different eras may have the same offset.
    ``retired`` maps upstreams that were removed while they were leaving to the Unix
    time of their start and the time of their removal.
    """

    def __init__(self, send_message, clock):
        self.send_message = send_message
        self.clock = clock
        self.retired = {}
        self.registry = UpstreamRegistry()
        self.configuration = None
        self.decoder = ConfigurationDecoder()
        self.configuration_known = ConfigurationKnown(0, False)
        self.newest_records = {topic: {} for topic in RECORD_TOPICS}
        self.compressed_records = {topic: {} for topic in RECORD_TOPICS}

    # Upstreams -----------------------------------------------------------------

    def update_upstreams(self, records, whole, removal_due_s, source):
        """Apply records of upstreams; return the entries to send to other nodes.

        ``whole`` records are the newest ones of the whole topic.
        """
        apply = apply_newest_records if whole else apply_upstream_records
        result = apply(self.registry, records, removal_due_s)
        for fault in result.faults:
            log_warning(PART, "entry refused", reason=fault)
        self.update_registry(result, source)
        return result.delta

    def update_registry(self, result, source):
        """Take over a new registry, and send what changed to the node task."""
        previous = self.registry
        self.registry = result.registry
        if result.changed:
            for entry in result.changed:
                log_upstream(previous, entry, source)
                self._remember_retired(previous.upstreams.get(entry.name), entry)
            message = UpstreamsChanged(self.registry.upstreams, result.changed)
            self.send_message("node", message)

    def _remember_retired(self, known, entry):
        if entry.removed and known is not None and known.leaving:
            now = self.clock()
            self._forget_retired(now)
            self.retired[entry.name] = (known.started_ms, now)

    def _forget_retired(self, now):
        """Forget the upstreams that left before any copy of the store was made."""
        for name in list(self.retired):
            if now - self.retired[name][1] <= RETIRED_KEPT_S:
                break
            del self.retired[name]

    # Eras ----------------------------------------------------------------------

    @property
    def configuration_version(self):
        """Version of the configuration in force, or -1."""
        return -1 if self.configuration is None else self.configuration.version

    def has_data(self, topic):
        """Return whether this node has any data of a required topic."""
        if topic is Topic.CONFIGURATION:
            return self.configuration is not None
        return bool(self.registry.upstreams)

    def begin_era(self):
        """Prepare for data of a store that was restored from an older copy.

        The configuration and the upstreams stay in use. Records of our own topics
        that the store has lost are published again by the tasks that use them.
        """
        self._forget_retired(self.clock())
        retired = {name: started_ms for name, (started_ms, _) in self.retired.items()}
        self.registry = remember_left(self.registry, retired)
        for topic in CHANNELS:
            self.newest_records[topic].clear()
            self.compressed_records[topic].clear()

    # Records -------------------------------------------------------------------

    def update_records(self, topic, read, whole, source, waited_ms):
        """Take records of the operator's configuration, or of our own topics.

        Return whether they changed anything. ``waited_ms`` is for how long this
        node has known that there are newer ones.
        """
        if topic is Topic.CONFIGURATION:
            return self._update_configuration(read.records, source, waited_ms)
        update_newest(self.newest_records[topic], read.records)
        if read.records or whole:
            self.send_records(topic, read, whole)
        return bool(read.records)

    def send_records(self, topic, read, whole=True):
        """Send records of one of our own topics to the task that uses them."""
        records = MESSAGES[topic](read.end_offset, read.records, read.era, whole)
        self.send_message(CHANNELS[topic], records)

    def _update_configuration(self, records, source, waited_ms):
        result = apply_configuration(self.configuration, records, self.decoder.decode)
        for fault in result.faults:
            log_warning(PART, "configuration refused", reason=fault)
        if result.record is None:
            return False
        self.configuration = result.configuration
        newest_records = self.newest_records[Topic.CONFIGURATION]
        newest_records[result.record.key] = result.record
        log_configuration(self.configuration, newest_records, source, waited_ms)
        self.send_message("node", ConfigurationChanged(self.configuration))
        return True

    def report_configuration(self, newer_exists):
        """Tell the entry task whether its keys may be out of date, if that changed."""
        version = self.configuration.version if self.configuration else 0
        known = ConfigurationKnown(version, newer_exists)
        if known != self.configuration_known:
            self.configuration_known = known
            self.send_message("entry", known)

    # Other nodes -----------------------------------------------------------------

    def compress_records(self, topic):
        """Return the newest records of a topic, compressed for other nodes."""
        compressed = self.compressed_records.get(topic, {})
        for key, record in self.newest_records.get(topic, {}).items():
            known = compressed.get(key)
            if known is None or known[0] is not record:
                compressed[key] = (record, compress_record(record))
        return tuple(compressed[key][1] for key in self.newest_records.get(topic, {}))

    def decompress_records(self, topic, compressed):
        """Return the ``Record`` tuple of another node, or ``None`` if unreadable."""
        try:
            records = tuple(
                Record(item.key, decompress_value(item.value), item.offset)
                for item in compressed
            )
        except zlib.error as error:
            log_warning(PART, "snapshot refused", topic=topic.value, reason=str(error))
            return None
        pairs = zip(records, compressed, strict=True)
        self.compressed_records[topic].update({pair[0].key: pair for pair in pairs})
        return records
