"""The task that keeps the catalogue and spreads it.

Per data centre a few nodes tail the log; the others hear of new offsets from
them and fetch the records. Every node still reads the log itself now and
then, in case its readers are cut off from it.
"""

import dataclasses

import immutables
import msgspec
from absl import logging

from comfreyusher.configuration._publications import (
    Publication,
    PublicationState,
    leave_unsettled,
    settle,
)
from comfreyusher.configuration._share import (
    apply_records,
    keep_records,
    pages_for,
    read_records,
    read_whole,
)
from comfreyusher.declarations import Catalogue, RecordError, encode_record
from comfreyusher.flow import Subscribe, Task, Tick, change
from comfreyusher.membership import OffsetReached
from comfreyusher.messages import (
    OffsetAsked,
    OffsetHeard,
    RecordsAsked,
    RecordsGiven,
    ToNode,
)
from comfreyusher.platform import (
    Append,
    Appended,
    AppendFailed,
    Read,
    ReadFailed,
    RecordsRead,
)

CHANNEL = "configuration"
STREAM = "configuration"
LOG = "configuration:"
TICK_PERIOD_S = 0.2
TAIL_WAIT_MS = 10000
RETRY_READ_S = 0.5
FALLBACK_READ_S = 30.0
FETCH_TIMEOUT_S = 2.0
RESTATE_SHARE = 0.5
RESTATES_PER_TICK = 5
KEPT_PUBLICATIONS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class PublicationsSeen:
    """Publications of this node, and the offsets that nodes confirmed."""

    publications: immutables.Map
    confirmed: immutables.Map
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueChanged:
    """The catalogue has grown; ``ready`` once it is complete."""

    catalogue: Catalogue
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Append an operator's record."""

    record: object


@dataclasses.dataclass(frozen=True, slots=True)
class RolesChanged:
    """Whether this node tails the log or restates, and whom it tells."""

    reader: bool
    restater: bool
    neighbours: tuple
    nodes: tuple


class ConfigurationTask(Task):
    """Owns the catalogue of this node."""

    def __init__(self, node, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.node = node
        self.catalogue = Catalogue()
        self.kept = ()
        self.ready = False
        self.reader = False
        self.restater = False
        self.neighbours = ()
        self.nodes = ()
        self.reading = False
        self.next_read_s = 0.0
        self.fetching = ""
        self.fetch_due_s = 0.0
        self.pages = []
        self.publications = {}
        self.confirmed = {}
        self.retention_ms = 0
        self.log_now_ms = 0
        self.restated = {}
        self.routes = {
            RolesChanged: self.take_roles,
            RecordsRead: self.take_page,
            ReadFailed: self.take_read_failure,
            Publish: self.publish,
            Appended: self.take_appended,
            AppendFailed: self.take_append_failure,
            OffsetHeard: self.hear_offset,
            OffsetAsked: self.tell_offset,
            RecordsAsked: self.give_records,
            RecordsGiven: self.take_records,
            Tick: self.on_tick,
        }

    def prepare(self):
        """Subscribe to the ticks, and read the log at once."""
        self.tell("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))
        self.read_log()

    # Log ---------------------------------------------------------------------

    def read_log(self, wait_ms=0):
        """Read the next page, one read at a time."""
        if self.reading:
            return
        self.reading = True
        read = Read(CHANNEL, STREAM, self.catalogue.offset, wait_ms)
        self.tell("platform", read)

    def take_page(self, read):
        """Fold the records of a page."""
        self.reading = False
        page = read.page
        self.retention_ms = page.retention_ms
        self.log_now_ms = page.now_ms
        before = self.catalogue
        records = [r for r in page.records if r.offset > before.offset]
        self.kept = keep_records(self.kept, records)
        self._replace(apply_records(before, records))
        complete = self.catalogue.offset >= page.last or not page.records
        if complete and not self.ready:
            self._become_ready("log")
        if not complete:
            self.read_log()
        elif self.reader or self._awaits_settling():
            self.read_log(TAIL_WAIT_MS if self.reader else 0)
        else:
            self.next_read_s = self.clock() + FALLBACK_READ_S

    def take_read_failure(self, failure):
        """Try again later."""
        self.reading = False
        self.next_read_s = self.clock() + RETRY_READ_S

    def _awaits_settling(self):
        return any(
            publication.state is PublicationState.UNSETTLED
            for publication in self.publications.values()
        )

    # Peers ---------------------------------------------------------------------

    def take_roles(self, roles):
        """Learn this node's part in the distribution."""
        gained = roles.reader and not self.reader
        self.reader = roles.reader
        self.restater = roles.restater
        self.neighbours = roles.neighbours
        self.nodes = roles.nodes
        if gained:
            self.next_read_s = 0.0

    def hear_offset(self, heard):
        """Fetch from a peer that knows more."""
        self.confirmed[heard.node] = heard.offset
        if heard.offset <= self.catalogue.offset or self.fetching:
            return
        self.fetching = heard.node
        self.fetch_due_s = self.clock() + FETCH_TIMEOUT_S
        self.pages = []
        asked = RecordsAsked(self.node, self.catalogue.offset)
        self.tell("peers", ToNode(heard.node, asked))

    def tell_offset(self, asked):
        """Answer with this node's offset."""
        heard = OffsetHeard(self.node, self.catalogue.offset)
        self.tell("peers", ToNode(asked.asker, heard))

    def give_records(self, asked):
        """Send what a peer lacks."""
        if not self.ready:
            return
        for page in pages_for(self.catalogue, self.kept, asked.after_offset):
            self.tell("peers", ToNode(asked.asker, page))

    def take_records(self, given):
        """Take a page from a peer."""
        if not self.fetching:
            return
        self.pages.extend(given.declarations)
        if not given.last:
            return
        pages, self.pages = self.pages, []
        self.fetching = ""
        try:
            self._adopt(given, pages)
        except (msgspec.MsgspecError, RecordError) as error:
            logging.warning("%s unreadable page from a peer: %s", LOG, error)

    def _adopt(self, given, pages):
        if not given.whole:
            records = read_records(pages)
            fresh = [r for r in records if r.offset > self.catalogue.offset]
            if given.after_offset <= self.catalogue.offset:
                self.kept = keep_records(self.kept, fresh)
                self._replace(apply_records(self.catalogue, fresh))
        elif given.offset > self.catalogue.offset:
            self.kept = ()
            self._replace(read_whole(pages, given.offset))
        if not self.ready:
            self._become_ready("peer")

    # Catalogue -------------------------------------------------------------------

    def _replace(self, catalogue):
        """Take a catalogue with a higher offset; never one with a lower."""
        if catalogue.offset <= self.catalogue.offset:
            return
        skipped = catalogue.skipped - self.catalogue.skipped
        if skipped > 0:
            logging.warning("%s skipped unreadable records count=%d", LOG, skipped)
        self.catalogue = catalogue
        logging.info("%s in force offset=%d", LOG, catalogue.offset)
        self._settle_publications()
        self.tell("membership", OffsetReached(catalogue.offset))
        self.tell("node", CatalogueChanged(catalogue, self.ready))
        if self.reader:
            self._push_offset()

    def _push_offset(self):
        heard = OffsetHeard(self.node, self.catalogue.offset)
        for node in self.neighbours:
            self.tell("peers", ToNode(node, heard))

    def _become_ready(self, source):
        self.ready = True
        logging.info("%s complete source=%s", LOG, source)
        self.tell("node", CatalogueChanged(self.catalogue, True))

    # Publications ------------------------------------------------------------------

    def publish(self, request):
        """Append a record and follow it until the fold settles it."""
        record = request.record
        self.publications[record.publish_id] = Publication(
            record.publish_id,
            f"{record.kind}/{record.name}",
            record.revision,
            self.clock(),
        )
        while len(self.publications) > KEPT_PUBLICATIONS:
            del self.publications[next(iter(self.publications))]
        append = Append(CHANNEL, record.publish_id, STREAM, encode_record(record))
        self.tell("platform", append)
        self._report_publications()

    def take_appended(self, appended):
        """Read the log up to the append."""
        self.next_read_s = 0.0
        self._mark_unsettled(appended.token, "")
        self.read_log()

    def take_append_failure(self, failure):
        """The record may be in the log all the same: keep looking."""
        self._mark_unsettled(failure.token, failure.reason)

    def _mark_unsettled(self, publish_id, reason):
        publication = self.publications.get(publish_id)
        if publication is not None:
            publication = leave_unsettled(publication, reason)
            self.publications[publish_id] = publication

    def _settle_publications(self):
        for publish_id, publication in list(self.publications.items()):
            self.publications[publish_id] = settle(publication, self.catalogue)

    def _report_publications(self):
        seen = PublicationsSeen(
            immutables.Map(self.publications),
            immutables.Map(self.confirmed),
            self.catalogue.offset,
        )
        self.tell("operators", seen)

    def _follow_publications(self, now):
        """Ask nodes for their offsets while a publication comes into force."""
        for publication in self.publications.values():
            recent = now - publication.started_s < FALLBACK_READ_S
            if publication.state is PublicationState.SETTLED and recent:
                self._ask_offsets(publication.offset)

    def _ask_offsets(self, offset):
        self.confirmed[self.node] = self.catalogue.offset
        for node in self.nodes:
            if self.confirmed.get(node, 0) < offset:
                self.tell("peers", ToNode(node, OffsetAsked(self.node)))

    # Time ----------------------------------------------------------------------------

    def on_tick(self, tick):
        """Read, fetch again and restate as time passes."""
        if self.fetching and tick.now_s > self.fetch_due_s:
            self.fetching = ""
        if not self.reading and tick.now_s >= self.next_read_s:
            self.read_log(TAIL_WAIT_MS if self.reader and self.ready else 0)
        elif not self.reading and self._awaits_settling():
            self.read_log()
        if self.publications:
            self._follow_publications(tick.now_s)
            self._report_publications()
        if self.restater:
            self._restate()

    def _restate(self):
        """Append declarations again before the log forgets them."""
        if not self.retention_ms or not self.ready:
            return
        limit_ms = self.log_now_ms - self.retention_ms * RESTATE_SHARE
        due = [
            (key, entry)
            for key, entry in self.catalogue.entries.items()
            if entry.stated_ms < limit_ms
        ]
        for key, entry in due[:RESTATES_PER_TICK]:
            if self.restated.get(key) == entry.stated_ms:
                continue
            self.restated[key] = entry.stated_ms
            record = change(entry.record, restated=True)
            append = Append(CHANNEL, "", STREAM, encode_record(record))
            self.tell("platform", append)
