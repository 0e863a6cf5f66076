"""The task that keeps the catalogue of declarations, and publishes.

The feeds bring the records. A publication is appended only behind the newest
record that this node has seen, so two operators cannot overwrite each other.
"""

import dataclasses

import immutables

from comfreyusher.configuration._publications import (
    Publication,
    PublicationState,
    leave_unsettled,
    move_on,
    settle,
)
from comfreyusher.declarations import (
    Catalogue,
    apply_record,
    encode_record,
    read_newest,
)
from comfreyusher.events import log_info, log_warning
from comfreyusher.feeds import DeclarationsRead, ReadNow
from comfreyusher.flow import Subscribe, Task, Tick, replace
from comfreyusher.membership import OffsetReached
from comfreyusher.messages import OffsetRequest, OffsetUpdate, ToNode
from comfreyusher.platform import Append, Appended, AppendFailed, Topic

CHANNEL = "configuration"
PART = "configuration"
TICK_PERIOD_S = 0.2
FOLLOW_S = 30.0
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
class NodesSeen:
    """The live nodes, which are asked for their offsets."""

    nodes: tuple


class ConfigurationTask(Task):
    """Owns the catalogue of this node."""

    def __init__(self, node, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.node = node
        self.catalogue = Catalogue()
        self.ready = False
        self.nodes = ()
        self.publications = {}
        self.confirmed = {}
        self.following = False
        self.message_handlers = {
            NodesSeen: self.see_nodes,
            DeclarationsRead: self.take_records,
            Publish: self.publish,
            Appended: self.take_appended,
            AppendFailed: self.take_append_failure,
            OffsetUpdate: self.hear_offset,
            OffsetRequest: self.tell_offset,
            Tick: self.on_tick,
        }

    # Records -----------------------------------------------------------------

    def take_records(self, read):
        """Fold the records that the feeds have read."""
        catalogue = self.catalogue
        texts = [(r.offset, r.value) for r in read.records if r.value]
        if self.ready:
            for offset, text in texts:
                catalogue = apply_record(catalogue, offset, text)
        else:
            catalogue = read_newest(texts, read.end_offset)
        catalogue = replace(catalogue, offset=max(catalogue.offset, read.end_offset))
        skipped = catalogue.skipped - self.catalogue.skipped
        if skipped > 0:
            log_warning(PART, "records skipped", count=skipped)
        grown = catalogue.offset > self.catalogue.offset or not self.ready
        self.ready = True
        if grown:
            self._replace(catalogue)

    def _replace(self, catalogue):
        """Take a catalogue with a higher offset; never one with a lower."""
        self.catalogue = catalogue
        log_info(PART, "declarations in force", offset=catalogue.offset)
        self._settle_publications()
        self.send_message("membership", OffsetReached(catalogue.offset))
        self.send_message("node", CatalogueChanged(catalogue, self.ready))

    # Publications --------------------------------------------------------------

    def publish(self, request):
        """Append a record and follow it until the fold settles it."""
        record = request.record
        publication = Publication(
            record.publish_id,
            f"{record.kind}/{record.name}",
            record.revision,
            self.clock(),
            record,
        )
        publication = settle(move_on(publication), self.catalogue)
        self.publications[record.publish_id] = publication
        while len(self.publications) > KEPT_PUBLICATIONS:
            del self.publications[next(iter(self.publications))]
        self._append_fitting()
        self._follow_time()
        self._report_publications()

    def _append(self, publication):
        value = encode_record(publication.record).encode()
        append = Append(
            CHANNEL,
            publication.publish_id,
            Topic.DECLARATIONS,
            publication.key,
            value,
            self.catalogue.offset,
        )
        self.send_message("platform", append)

    def take_appended(self, appended):
        """Read the topic up to the append."""
        self._mark(appended.token, lambda known: leave_unsettled(known, ""))
        self.send_message("feeds", ReadNow(Topic.DECLARATIONS))

    def take_append_failure(self, failure):
        """Look whether the record is there all the same, or append it again."""
        if failure.definite:
            self._mark(failure.token, move_on)
        else:
            self._mark(
                failure.token, lambda known: leave_unsettled(known, failure.reason)
            )
        self.send_message("feeds", ReadNow(Topic.DECLARATIONS))

    def _mark(self, publish_id, decide):
        publication = self.publications.get(publish_id)
        if publication is not None:
            self.publications[publish_id] = decide(publication)

    def _settle_publications(self):
        for publish_id, publication in list(self.publications.items()):
            self.publications[publish_id] = settle(publication, self.catalogue)

    def _append_fitting(self):
        """Append the records whose base is still the newest.

        A record on an older base is never written: its topic keeps the newest
        record of every name, and would forget the one that won.
        """
        for publish_id, publication in list(self.publications.items()):
            if publication.state is PublicationState.MOVED_ON:
                again = replace(publication, state=PublicationState.APPENDING)
                self.publications[publish_id] = again
                self._append(again)

    def _report_publications(self):
        seen = PublicationsSeen(
            immutables.Map(self.publications),
            immutables.Map(self.confirmed),
            self.catalogue.offset,
        )
        self.send_message("operators", seen)

    # Offsets of other nodes ------------------------------------------------------

    def see_nodes(self, seen):
        """Learn which nodes live."""
        self.nodes = seen.nodes

    def hear_offset(self, heard):
        """Note how far another node is; read on if it knows more."""
        self.confirmed[heard.node] = heard.offset
        if heard.offset > self.catalogue.offset:
            self.send_message("feeds", ReadNow(Topic.DECLARATIONS))

    def tell_offset(self, asked):
        """Answer with this node's offset."""
        heard = OffsetUpdate(self.node, self.catalogue.offset)
        self.send_message("datagrams", ToNode(asked.requester, heard))

    def _ask_offsets(self, offset):
        self.confirmed[self.node] = self.catalogue.offset
        for node in self.nodes:
            if self.confirmed.get(node, 0) <= offset:
                self.send_message("datagrams", ToNode(node, OffsetRequest(self.node)))

    # Time ----------------------------------------------------------------------------

    def _follow_time(self):
        if not self.following:
            self.following = True
            self.send_message("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))

    def on_tick(self, tick):
        """Follow recent publications until they are in force."""
        recent = [
            publication
            for publication in self.publications.values()
            if tick.now_s - publication.started_s < FOLLOW_S
        ]
        for publication in recent:
            if publication.state is PublicationState.SETTLED:
                self._ask_offsets(publication.offset)
            elif publication.state is PublicationState.UNSETTLED:
                self.send_message("feeds", ReadNow(Topic.DECLARATIONS))
        self._settle_publications()
        self._append_fitting()
        if recent:
            self._report_publications()
