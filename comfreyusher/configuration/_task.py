"""The task that holds the declarations in force and publishes new ones.

The feeds send the records. The store appends a publication only if its topic
still ends at the offset that this node has read up to, so two operators cannot
overwrite each other.

Once the store was restored from an older copy, nothing is appended until its topic has
been read anew. Declarations in force that it lost are published again.
"""

import dataclasses

import immutables

from comfreyusher.configuration._publications import (
    Publication,
    PublicationState,
    begin_era,
    mark_moved_on,
    mark_unsettled,
    update_outcome,
)
from comfreyusher.configuration._republish import Republisher
from comfreyusher.declarations import (
    Declarations,
    apply_record,
    encode_record,
    read_newest_records,
)
from comfreyusher.declarations import begin_era as merge_restored
from comfreyusher.events import log_info, log_warning
from comfreyusher.feeds import DeclarationsRead, ReadNow
from comfreyusher.flow import Subscribe, Task, Tick, replace
from comfreyusher.membership import OffsetReached
from comfreyusher.messages import OffsetRequest, OffsetUpdate, ToNode
from comfreyusher.platform import (
    Append,
    Appended,
    AppendFailed,
    EraChanged,
    EraObserved,
    Topic,
)
from comfreyusher.telemetry import RecordsRepublished

CHANNEL = "configuration"
PART = "configuration"
TICK_PERIOD_S = 0.2
# Time from its start in which a publication is tracked.
TRACKING_TIMEOUT_S = 30.0
MAX_PUBLICATIONS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class PublicationsChanged:
    """Publications of this node, and the era and offset that each node confirmed."""

    publications: immutables.Map
    confirmed_offsets: immutables.Map
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationsChanged:
    """The declarations advanced; ``is_loaded`` once the topic was read."""

    declarations: Declarations
    is_loaded: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Append an operator's record to the topic of declarations."""

    record: object


@dataclasses.dataclass(frozen=True, slots=True)
class LiveNodesChanged:
    """The live nodes, which are asked for their offsets."""

    nodes: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class RepublishToken:
    """Token of the append of a declaration that the store has lost."""

    key: str


class ConfigurationTask(Task):
    """Owns the declarations in force on this node and its publications.

    ``store_era`` is the newest era of the store; the declarations may still be those
    of an older one.
    """

    def __init__(self, node, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.node = node
        self.declarations = Declarations()
        self.is_loaded = False
        self.live_nodes = ()
        self.publications = {}
        self.confirmed_offsets = {}
        self.is_tracking = False
        self.store_era = 0
        self.republisher = Republisher(node)
        self.message_handlers = {
            EraChanged: self.handle_era_changed,
            LiveNodesChanged: self.handle_live_nodes_changed,
            DeclarationsRead: self.handle_declarations_read,
            Publish: self.handle_publish,
            Appended: self.handle_appended,
            AppendFailed: self.handle_append_failed,
            OffsetUpdate: self.handle_offset_update,
            OffsetRequest: self.handle_offset_request,
            Tick: self.handle_tick,
        }

    # Eras --------------------------------------------------------------------

    def handle_era_changed(self, changed):
        """Append nothing at an offset of an older era from now on."""
        self.store_era = max(self.store_era, changed.era)

    def _begin_era(self, newest):
        """Return the declarations of a new era; keep what the store has lost."""
        if not self.is_loaded:
            return newest
        declarations = merge_restored(self.declarations, newest)
        for publish_id, publication in list(self.publications.items()):
            publication = begin_era(publication, declarations)
            self.publications[publish_id] = publication
        return declarations

    def _update_lost(self):
        """Plan to publish again what the store has lost."""
        lost = sorted(self.declarations.lost)
        if lost and not self.republisher.due_s:
            log_warning(PART, "lost by the store", keys=lost[:10], count=len(lost))
        self.republisher.update(lost, self.live_nodes, self.clock())
        if lost:
            self._start_tracking()

    def _republish_next(self, now):
        if not self.can_append:
            return
        key = self.republisher.pop_due(now)
        if key is None:
            return
        record = self.declarations.entries[key].record
        self._append(RepublishToken(key), key, record)
        log_info(PART, "published again", key=key, revision=record.revision)
        self.send_message("telemetry", RecordsRepublished(Topic.DECLARATIONS.value, 1))

    @property
    def can_append(self):
        """Whether the declarations are those of the newest era of the store."""
        return self.declarations.era >= self.store_era

    # Records -----------------------------------------------------------------

    def handle_declarations_read(self, read):
        """Apply the records that the feeds have read."""
        declarations = self.declarations
        is_new_era = read.era > declarations.era
        if read.era < declarations.era or (is_new_era and not read.whole):
            return
        self.store_era = max(self.store_era, read.era)
        texts = [(r.offset, r.value) for r in read.records if r.value]
        if is_new_era:
            newest = read_newest_records(texts, read.end_offset, read.era)
            declarations = self._begin_era(newest)
        elif self.is_loaded:
            for offset, text in texts:
                declarations = apply_record(declarations, offset, text)
        else:
            declarations = read_newest_records(texts, read.end_offset)
        declarations = replace(
            declarations, offset=max(declarations.offset, read.end_offset)
        )
        skipped = declarations.skipped - self.declarations.skipped
        if skipped > 0:
            log_warning(PART, "invalid records skipped", count=skipped)
        has_advanced = (
            is_new_era
            or declarations.offset > self.declarations.offset
            or not self.is_loaded
        )
        self.is_loaded = True
        if has_advanced:
            self._update_declarations(declarations)

    def _update_declarations(self, declarations):
        """Replace the declarations, and send them to the tasks that use them.

        The offset of the new ones is never lower in the same era.
        """
        self.declarations = declarations
        offset, era = declarations.offset, declarations.era
        log_info(PART, "declarations in force", offset=offset, era=era)
        self._update_lost()
        self._update_outcomes()
        self.send_message("membership", OffsetReached(offset, era))
        self.send_message("node", DeclarationsChanged(declarations, self.is_loaded))

    # Publications --------------------------------------------------------------

    def handle_publish(self, request):
        """Append a record, and track its publication until its outcome is known."""
        record = request.record
        publication = Publication(
            record.publish_id,
            f"{record.kind}/{record.name}",
            record.revision,
            self.clock(),
            record,
        )
        publication = update_outcome(mark_moved_on(publication), self.declarations)
        self.publications[record.publish_id] = publication
        while len(self.publications) > MAX_PUBLICATIONS:
            del self.publications[next(iter(self.publications))]
        self._append_pending()
        self._start_tracking()
        self._report_publications()

    def _append(self, token, key, record):
        value = encode_record(record).encode()
        append = Append(
            CHANNEL,
            token,
            Topic.DECLARATIONS,
            key,
            value,
            self.declarations.offset,
            self.declarations.era,
        )
        self.send_message("platform", append)

    def handle_appended(self, appended):
        """Read the topic, which now contains the record."""
        self._end_republishing(appended.token)
        self._update_publication(
            appended.token, lambda publication: mark_unsettled(publication, "")
        )
        self.send_message("feeds", ReadNow(Topic.DECLARATIONS))

    def handle_append_failed(self, failure):
        """Read the topic to learn whether the record was written.

        A record that was surely not written is appended again.
        """
        self._end_republishing(failure.token)
        if failure.definite:
            self._update_publication(failure.token, mark_moved_on)
        else:
            self._update_publication(
                failure.token,
                lambda publication: mark_unsettled(publication, failure.reason),
            )
        self.send_message("feeds", ReadNow(Topic.DECLARATIONS))

    def _end_republishing(self, token):
        if isinstance(token, RepublishToken):
            self.republisher.appending = False

    def _update_publication(self, publish_id, transition):
        publication = self.publications.get(publish_id)
        if publication is not None:
            self.publications[publish_id] = transition(publication)

    def _update_outcomes(self):
        for publish_id, publication in list(self.publications.items()):
            self.publications[publish_id] = update_outcome(
                publication, self.declarations
            )

    def _append_pending(self):
        """Append the records whose base is still the newest.

        A record on an older base is never written: the topic keeps only the
        newest record of each name, so the record in force would be lost.
        """
        if not self.can_append:
            return
        for publish_id, publication in list(self.publications.items()):
            if publication.state is PublicationState.MOVED_ON:
                appending = replace(publication, state=PublicationState.APPENDING)
                self.publications[publish_id] = appending
                self._append(publish_id, publication.key, publication.record)

    def _report_publications(self):
        changed = PublicationsChanged(
            immutables.Map(self.publications),
            immutables.Map(self.confirmed_offsets),
            self.declarations.offset,
        )
        self.send_message("operators", changed)

    # Offsets of other nodes ------------------------------------------------------

    def handle_live_nodes_changed(self, changed):
        """Keep the list of live nodes."""
        self.live_nodes = changed.nodes

    def handle_offset_update(self, update):
        """Record the offset of another node; read the topic if it is higher."""
        self.confirmed_offsets[update.node] = (update.era, update.offset)
        if update.era > self.store_era:
            self.send_message("platform", EraObserved(update.era))
        if (update.era, update.offset) > self._own_offset:
            self.send_message("feeds", ReadNow(Topic.DECLARATIONS))

    def handle_offset_request(self, request):
        """Send this node's offset."""
        era, offset = self._own_offset
        update = OffsetUpdate(self.node, offset, era)
        self.send_message("datagrams", ToNode(request.requester, update))

    @property
    def _own_offset(self):
        """The era and the offset that this node has read up to, as they compare."""
        return self.declarations.era, self.declarations.offset

    def _request_offsets(self, publication):
        self.confirmed_offsets[self.node] = self._own_offset
        needed = (publication.era, publication.offset)
        for node in self.live_nodes:
            if self.confirmed_offsets.get(node, (0, 0)) <= needed:
                self.send_message("datagrams", ToNode(node, OffsetRequest(self.node)))

    # Time ----------------------------------------------------------------------------

    def _start_tracking(self):
        if not self.is_tracking:
            self.is_tracking = True
            self.send_message("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))

    def handle_tick(self, tick):
        """Check the outcome of recent publications and the offsets of other nodes."""
        recent = [
            publication
            for publication in self.publications.values()
            if tick.now_s - publication.started_s < TRACKING_TIMEOUT_S
        ]
        for publication in recent:
            if publication.state is PublicationState.SETTLED:
                self._request_offsets(publication)
            elif publication.state is PublicationState.UNSETTLED:
                self.send_message("feeds", ReadNow(Topic.DECLARATIONS))
        self._update_outcomes()
        self._append_pending()
        self._republish_next(tick.now_s)
        if recent:
            self._report_publications()
