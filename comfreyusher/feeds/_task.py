"""The task that follows the store's topics, itself or through a reader."""

import random

from comfreyusher.events import note, warn
from comfreyusher.feeds._log import log_configuration, log_entry, log_marker
from comfreyusher.feeds._marks import (
    Repeat,
    mark_of,
    marks_of,
    one_less,
    pages_of,
    snapshot_of,
)
from comfreyusher.feeds._messages import (
    DeclarationsRead,
    PublishedChanged,
    ReadNow,
    RegionSeen,
    UpstreamsChanged,
)
from comfreyusher.feeds._outage import Outage
from comfreyusher.feeds._reader import backoff_s, rank_readers
from comfreyusher.feeds._state import (
    Listing,
    Position,
    apply_changes,
    apply_configuration,
    apply_newest,
    apply_upstreams,
    apply_whole,
    release_departures,
)
from comfreyusher.feeds._topic import TopicState, keep_newest, lacks_a_topic
from comfreyusher.flow import Subscribe, Task, Tick, change
from comfreyusher.messages import (
    FeedChange,
    FeedMark,
    SnapshotAsked,
    SnapshotGiven,
    ToNode,
)
from comfreyusher.platform import (
    DocumentRefused,
    Follow,
    Followed,
    NewestRead,
    ReadFailed,
    ReadNewest,
    Record,
    Topic,
)

CHANNEL = "feeds"
PART = "feeds"
TICK_PERIOD_S = 0.25
DECLARATIONS_WAIT_S = 10.0
CATCH_UP_JITTER_S = 0.1
UPSTREAM_JITTER_S = 0.25
RETRY_BEHIND_S = 0.4
ASK_PEER_AFTER_S = 0.5
ASK_PEER_PERIOD_S = 1.0
ASK_MARKER_AFTER_S = 0.3
STORE, PEER = "store", "peer"
FOLLOWED = (Topic.UPSTREAMS, Topic.CONFIGURATION, Topic.DECLARATIONS)


class FeedTask(Task):
    """Keeps the newest configuration and upstreams of the platform."""

    def __init__(self, own, pace, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.own = own
        self.pace = pace
        self.random = random.Random(own.node)
        self.topics = {topic: TopicState() for topic in FOLLOWED}
        self.nodes = (own.node,)
        self.rank = 0
        self.reading = False
        self.listing = Listing()
        self.published = None
        self.repeats = []
        self.marked_s = 0.0
        self.outage = Outage()
        self.started_s = 0.0
        self.asked_peer_s = 0.0
        self.kept = {Topic.CONFIGURATION: {}, Topic.DECLARATIONS: {}}
        self.routes = {
            RegionSeen: self.see_region,
            Followed: self.take_records,
            NewestRead: self.take_newest,
            ReadFailed: self.take_failure,
            FeedMark: self.hear_mark,
            FeedChange: self.hear_change,
            SnapshotAsked: self.give_snapshot,
            SnapshotGiven: self.take_snapshot,
            ReadNow: self.read_now,
            Tick: self.on_tick,
        }

    def prepare(self):
        """Subscribe to the tick, and read everything once."""
        self.started_s = self.clock()
        self.tell("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))
        for topic in (Topic.CONFIGURATION, Topic.UPSTREAMS):
            self._call(topic)

    def see_region(self, seen):
        """Learn who else could read."""
        self.nodes = rank_readers(self.own.region, seen.nodes)
        known = self.own.node in self.nodes
        self.rank = self.nodes.index(self.own.node) if known else len(self.nodes)

    # Calls -------------------------------------------------------------------

    def _call(self, topic, wait_s=0.0):
        state = self.topics[topic]
        if state.calling:
            return
        state.calling = True
        state.called_s = self.clock()
        if state.position.known:
            start = state.position.end
            call = Follow(CHANNEL, topic, start, int(wait_s * 1000))
        else:
            call = ReadNewest(CHANNEL, topic)
        self.tell("platform", call)

    def read_now(self, asked):
        """Read a topic at once, for a node that changed it."""
        self._call(asked.topic)

    def take_records(self, read):
        """Take the records that follow the position, less those heard meanwhile."""
        state = self.topics[read.topic]
        position = state.position
        if read.end < read.start:
            self._leave_old(read)
            return
        if read.following < position.end or read.start > position.end:
            state.calling = False
            return
        news = tuple(r for r in read.records if r.offset >= position.end)
        read = change(read, records=news)
        changed = self._apply(read, read.following, whole=False, source=STORE)
        behind = read.following < read.end
        self._confirm(read.topic, read.following, changed, behind)

    def take_newest(self, read):
        """Take the newest records of a whole topic."""
        if read.end < self.topics[read.topic].position.end:
            self._leave_old(read)
            return
        changed = self._apply(read, read.end, whole=True, source=STORE)
        self._confirm(read.topic, read.end, changed, behind=False)

    def _leave_old(self, read):
        """Pass over an answer from before what this node knows; read again soon."""
        state = self.topics[read.topic]
        known = state.position.end
        note(PART, "old answer", topic=read.topic.value, end=read.end, known=known)
        state.calling = False
        state.failures += 1
        wait_s = backoff_s(state.failures, self.rank, self.random.random())
        state.next_s = self.clock() + wait_s

    def _confirm(self, topic, end, changed, behind):
        now = self.clock()
        state = self.topics[topic]
        position, first = state.position, not state.position.known
        end = max(end, position.end)
        state.position = change(
            position,
            known=True,
            end=end,
            changed=end if changed or first else position.changed,
            confirmed_s=position.confirmed_s if behind else now,
        )
        if first and topic is Topic.UPSTREAMS:
            self.tell("node", UpstreamsChanged(self.listing.upstreams, ()))
        state.failures = 0
        state.behind = behind
        self.outage.end(now, self._last_confirmed_s())
        state.calling = False
        state.next_s = now if behind else self._next_s(topic, state)
        if end < state.wanted:
            self._ask_node(state.marker)  # the store's answer was an old one
        if self.reading and (changed or topic is Topic.UPSTREAMS):
            self._send_marks(now)

    def _next_s(self, topic, state):
        if topic is Topic.UPSTREAMS:
            return state.called_s + self.pace.follow_s
        return self.clock()

    def take_failure(self, failed):
        """Try again later, from the newest records if the offset is too old."""
        state = self.topics[failed.topic]
        state.calling = False
        now = self.clock()
        if failed.expired:
            state.position = change(state.position, known=False)
            state.next_s = now
            return
        self.outage.begin(now)
        state.failures += 1
        state.failed_s = now
        if state.behind:
            self._ask_node(state.marker)
        wait_s = backoff_s(state.failures, self.rank, self.random.random())
        state.next_s = now + wait_s

    def _last_confirmed_s(self):
        """Return when the store last confirmed the upstreams, or the start."""
        position = self.topics[Topic.UPSTREAMS].position
        return max(position.confirmed_s, self.started_s)

    # Records -------------------------------------------------------------------

    def _apply(self, read, end, whole, source):
        """Apply records of a topic; return whether they matter.

        ``source`` names the node that gave them, or the store.
        """
        topic, records = read.topic, read.records
        if topic is Topic.UPSTREAMS:
            decide = apply_newest if whole else apply_upstreams
            departs_s = self.outage.departs_s(self.clock(), self._last_confirmed_s())
            applied = decide(self.listing, records, departs_s)
            for fault in applied.faults:
                warn(PART, "entry refused", reason=fault)
            return self._take_listing(applied, source, end)
        keep_newest(self.kept[topic], records)
        if topic is Topic.CONFIGURATION:
            return self._take_configuration(records, source)
        if records or whole:
            self.tell("configuration", DeclarationsRead(end, records))
        return bool(records)

    def _take_listing(self, applied, source, spread_end=None):
        """Take entries; a reader spreads those that it read up to an offset."""
        before = self.listing
        self.listing = applied.listing
        if not applied.changed:
            return False
        for entry in applied.changed:
            log_entry(before, entry, source)
        told = UpstreamsChanged(self.listing.upstreams, applied.changed)
        self.tell("node", told)
        if spread_end is not None and self.reading:
            base = self.topics[Topic.UPSTREAMS].position.changed
            self.repeats.append(Repeat(base, spread_end, applied.changed))
        return True

    def _take_configuration(self, records, source):
        try:
            found = apply_configuration(self.published, records)
        except DocumentRefused as error:
            warn(PART, "configuration refused", reason=str(error))
            return False
        if found is self.published:
            return False
        self.published = found
        log_configuration(found, self.kept[Topic.CONFIGURATION], source, self._waited())
        self.tell("node", PublishedChanged(found))
        return True

    def _waited(self):
        """Return for how many milliseconds a newer configuration was known of."""
        state = self.topics[Topic.CONFIGURATION]
        return int((self.clock() - state.wanted_s) * 1000) if state.behind else 0

    # Marks -----------------------------------------------------------------------

    def _send_marks(self, now):
        """Tell the region how far this reader is, and what changed."""
        self.marked_s = now
        messages = []
        for repeat in self.repeats:
            messages.extend(pages_of(repeat, self.own.node))
        self.repeats = [one_less(repeat) for repeat in self.repeats if repeat.left > 1]
        messages.append(FeedMark(self.own.node, marks_of(self.topics, now)))
        for node in self.nodes:
            if node != self.own.node:
                for body in messages:
                    self.tell("datagrams", ToNode(node, body))

    def hear_mark(self, mark):
        """Take a reader's positions; read what this node lacks."""
        now = self.clock()
        known = mark.node in self.nodes
        rank = self.nodes.index(mark.node) if known else len(self.nodes)
        fresh_s = now
        for one in mark.topics:
            state = self.topics.get(Topic(one.topic))
            if state is not None:
                if state.marker != mark.node and one.topic == Topic.UPSTREAMS.value:
                    log_marker(state, one, mark.node, now)
                state.marker = mark.node
                self._hear_position(Topic(one.topic), state, one, now)
            if one.topic == Topic.UPSTREAMS.value:
                fresh_s = now - one.age_ms / 1000
        if self.reading and rank < self.rank:
            if now - fresh_s < self.pace.stale_s(rank):
                self.reading = False
                note(PART, "reader stops", better=mark.node)

    def _hear_position(self, topic, state, one, now):
        position = state.position
        if not one.changed and not position.known and topic is Topic.DECLARATIONS:
            position = Position(known=True)
            self.tell("configuration", DeclarationsRead(0, ()))
        if one.changed > state.wanted:
            state.wanted, state.wanted_s = one.changed, now
        if position.known and position.end >= one.changed:
            state.behind = False
            confirmed_s = max(position.confirmed_s, now - one.age_ms / 1000)
            state.position = change(
                position,
                end=max(position.end, one.end),
                changed=max(position.changed, one.changed),
                confirmed_s=confirmed_s,
            )
            return
        if state.calling:
            state.behind = True
        elif not state.behind:
            late = UPSTREAM_JITTER_S if topic is Topic.UPSTREAMS else CATCH_UP_JITTER_S
            state.next_s = now + self.random.random() * late
            state.behind = True
        elif now - state.failed_s > RETRY_BEHIND_S:
            state.next_s = min(state.next_s, now)

    def hear_change(self, heard):
        """Take changes of upstreams that a reader has read."""
        state = self.topics[Topic.UPSTREAMS]
        if not state.position.known or state.position.end < heard.base:
            return
        applied = apply_changes(self.listing, heard.upstreams)
        self._take_listing(applied, heard.node)
        if not state.has_all_pages(heard):
            return
        state.position = change(
            state.position,
            end=max(state.position.end, heard.changed),
            changed=max(state.position.changed, heard.changed),
        )

    # Snapshots -------------------------------------------------------------------

    def _ask_peer(self, now):
        """Ask another node for what this node could not read."""
        others = [node for node in self.nodes if node != self.own.node]
        if not others or now - self.asked_peer_s < ASK_PEER_PERIOD_S:
            return
        self.asked_peer_s = now
        self._ask_node(self.random.choice(others))

    def _ask_node(self, node):
        """Ask a node for all that it knows."""
        self.tell("peers", ToNode(node, SnapshotAsked(self.own.node)))

    def give_snapshot(self, asked):
        """Send all that this node knows."""
        now = self.clock()
        for topic, state in self.topics.items():
            if not state.position.known:
                continue
            given = snapshot_of(
                mark_of(topic, state.position, now),
                self.kept.get(topic, {}).values(),
                self.listing if topic is Topic.UPSTREAMS else None,
            )
            self.tell("peers", ToNode(asked.asker, given))

    def take_snapshot(self, given):
        """Take what another node knows of a topic, if this node knows less."""
        topic = Topic(given.mark.topic)
        state = self.topics[topic]
        mark = given.mark
        position = state.position
        if position.known and position.end >= mark.changed:
            return
        if mark.end < position.end:
            return  # older than what was known before the offset expired
        now = self.clock()
        state.position = Position(
            True, mark.end, mark.changed, now - mark.age_ms / 1000
        )
        note(PART, "snapshot taken", topic=topic.value, age_ms=mark.age_ms)
        if topic is Topic.UPSTREAMS:
            applied = apply_whole(self.listing, given.upstreams)
            self._take_listing(applied, PEER)
        else:
            records = tuple(Record(r.key, r.value, r.offset) for r in given.records)
            read = NewestRead(topic, mark.end, records)
            self._apply(read, mark.end, whole=True, source=PEER)
        state.behind = False

    # Time ------------------------------------------------------------------------

    def on_tick(self, tick):
        """Read what is due, become a reader when nobody else is, tell others."""
        now = tick.now_s
        due = release_departures(self.listing, now)
        changed = self.topics[Topic.UPSTREAMS].position.changed
        self._take_listing(due, STORE, changed)
        stale_s = now - self._last_confirmed_s()
        if not self.reading and stale_s > self.pace.stale_s(self.rank):
            self.reading = True
            note(PART, "reader starts", rank=self.rank, stale_s=round(stale_s, 2))
        for topic, state in self.topics.items():
            if not state.calling and now >= state.next_s:
                self._read_if_needed(topic, state)
            elif state.calling and state.behind:
                self._ask_if_slow(state, now)
        if now - self.started_s > ASK_PEER_AFTER_S and lacks_a_topic(self.topics):
            self._ask_peer(now)
        if self.reading and now - self.marked_s >= 2 * self.pace.follow_s:
            self._send_marks(now)

    def _ask_if_slow(self, state, now):
        """Ask the reader once for what the store takes long to give."""
        if state.asked_s < state.called_s <= now - ASK_MARKER_AFTER_S:
            state.asked_s = now
            self._ask_node(state.marker)

    def _read_if_needed(self, topic, state):
        missing = not state.position.known and topic is not Topic.DECLARATIONS
        if not self.reading:
            if state.behind or missing:
                self._call(topic)
            return
        waits = {
            Topic.CONFIGURATION: self.pace.configuration_wait_s,
            Topic.DECLARATIONS: DECLARATIONS_WAIT_S,
        }
        self._call(topic, waits.get(topic, 0.0))
