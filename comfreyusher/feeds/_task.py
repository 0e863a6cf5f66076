"""The task that follows the store's topics, itself or through other nodes."""

import math
import random

from comfreyusher.events import log_info
from comfreyusher.feeds._exchange import NEEDED, Exchange
from comfreyusher.feeds._knowledge import PART, Knowledge
from comfreyusher.feeds._log import log_marker
from comfreyusher.feeds._marks import (
    Repeat,
    age_ms,
    marks_of,
    one_less,
    pages_of,
)
from comfreyusher.feeds._messages import (
    DeclarationsRead,
    ReadNow,
    RegionSeen,
    UpstreamsChanged,
)
from comfreyusher.feeds._outage import Outage
from comfreyusher.feeds._reader import backoff_s, rank_readers
from comfreyusher.feeds._relay import first_read_s, store_after_s
from comfreyusher.feeds._state import (
    NEVER_S,
    Position,
    add_departures,
    apply_changes,
    apply_whole,
    newest_of,
    release_departures,
)
from comfreyusher.feeds._topic import TopicState
from comfreyusher.flow import Subscribe, Task, Tick, replace
from comfreyusher.messages import (
    FeedWatermarks,
    SnapshotRequest,
    SnapshotResponse,
    ToNode,
    UpstreamDelta,
)
from comfreyusher.platform import (
    Follow,
    Followed,
    NewestRead,
    ReadFailed,
    ReadNewest,
    Topic,
)

CHANNEL = "feeds"
TICK_PERIOD_S = 0.25
DECLARATIONS_WAIT_S = 10.0
CATCH_UP_JITTER_S = 0.25
RETRY_BEHIND_S = 0.4
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
        self.rank = 0
        self.reading = False
        self.known = Knowledge(self._pass_on)
        self.exchange = Exchange(
            own, self.topics, self.known, self.clock, self._pass_on
        )
        self.repeats = []
        self.marked_s = 0.0
        self.read_s = NEVER_S
        self.outage = Outage(self.clock())
        self.started_s = 0.0
        self.message_handlers = {
            RegionSeen: self.see_region,
            Followed: self.take_records,
            NewestRead: self.take_newest,
            ReadFailed: self.take_failure,
            FeedWatermarks: self.hear_mark,
            UpstreamDelta: self.hear_change,
            SnapshotRequest: self.exchange.take_asker,
            SnapshotResponse: self.take_snapshot,
            ReadNow: self.read_now,
            Tick: self.on_tick,
        }

    def _pass_on(self, channel, body):
        self.send_message(channel, body)

    def prepare(self):
        """Subscribe to the tick."""
        self.started_s = self.clock()
        self.send_message("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))

    def see_region(self, seen):
        """Learn who else could read, and whom to ask."""
        self.exchange.nodes = rank_readers(self.own.region, seen.nodes)
        self.exchange.near = rank_readers(self.own.data_centre, seen.near)
        self.rank = self._rank_of(self.own.node)
        self.exchange.ask_for_missing(self.clock())

    def _rank_of(self, node):
        nodes = self.exchange.nodes
        return nodes.index(node) if node in nodes else len(nodes)

    # Calls -------------------------------------------------------------------

    def _call(self, topic, wait_s=0.0):
        state = self.topics[topic]
        if state.calling:
            return
        state.calling = True
        state.called_s = self.clock()
        if state.can_follow and not self._skips_records(topic, state):
            start = state.position.end
            call = Follow(CHANNEL, topic, start, int(wait_s * 1000))
        else:
            call = ReadNewest(CHANNEL, topic)
        self.send_message("platform", call)

    def _skips_records(self, topic, state):
        """Tell whether only the newest of several documents is of interest."""
        return topic is Topic.CONFIGURATION and state.wanted - state.position.end > 1

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
        read = replace(read, records=news)
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
        log_info(PART, "old answer", topic=read.topic.value, end=read.end, known=known)
        state.calling = False
        self._back_off(state)

    def _confirm(self, topic, end, changed, behind):
        now = self.clock()
        state = self.topics[topic]
        position, first = state.position, not state.position.known
        end = max(end, position.end)
        state.position = replace(
            position,
            known=True,
            end=end,
            changed=end if changed or first else position.changed,
            confirmed_s=position.confirmed_s if behind else now,
        )
        if first and topic is Topic.UPSTREAMS:
            self.send_message(
                "node", UpstreamsChanged(self.known.listing.upstreams, ())
            )
        self._end_back_off(now)
        state.expired = False
        state.behind = behind
        if topic is Topic.UPSTREAMS:
            self.outage.confirm(now)
            self.read_s = now
        state.calling = False
        state.next_s = now if behind else self._next_s(topic, state)
        if end < state.wanted:
            self.exchange.ask(state.marker, topic)  # the store's answer was an old one
        self.exchange.answer(topic)
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
        if failed.expired:
            state.expired = True
            state.position = replace(state.position, known=False)
            self._call(failed.topic)
            return
        state.failed_s = self.clock()
        if state.behind:
            self.exchange.ask(state.marker, failed.topic)
        self._back_off(state)

    def _back_off(self, state):
        state.failures += 1
        wait_s = backoff_s(state.failures, self.rank, self.random.random())
        state.next_s = self.clock() + wait_s

    def _end_back_off(self, now):
        """Read the topics that wait after failures: the store answers again."""
        for state in self.topics.values():
            if state.failures:
                state.failures = 0
                state.next_s = min(state.next_s, now)

    def _last_confirmed_s(self):
        """Return when the store last confirmed the upstreams, or the start."""
        position = self.topics[Topic.UPSTREAMS].position
        return max(position.confirmed_s, self.started_s)

    def _apply(self, read, end, whole, source):
        """Apply records of a topic; return whether they matter.

        ``source`` names the node that gave them, or the store. The newest records
        of upstreams don't tell what came and ended before, so other nodes, which
        may know of that, have to read for themselves.
        """
        if read.topic is not Topic.UPSTREAMS:
            waited_ms = self._waited_ms(read.topic)
            return self.known.take_records(read.topic, read, whole, source, waited_ms)
        departs_s = self.outage.departs_s(self.clock())
        news = self.known.read_upstreams(read.records, whole, departs_s, source)
        if not whole:
            self._spread(news, end)
        return whole or bool(news)

    def _spread(self, news, end):
        """Tell the region of entries that this reader read up to an offset."""
        if news and self.reading:
            base = self.topics[Topic.UPSTREAMS].position.changed
            newest = newest_of(news)
            entries = add_departures(self.known.listing, newest, self.clock())
            self.repeats.append(Repeat(base, end, entries))

    def _waited_ms(self, topic):
        """Return for how many milliseconds newer records were known of."""
        state = self.topics[topic]
        return int((self.clock() - state.wanted_s) * 1000) if state.behind else 0

    # Marks -----------------------------------------------------------------------

    def _send_marks(self, now):
        """Tell the region how far this reader is, and what changed."""
        self.marked_s = now
        messages = []
        for repeat in self.repeats:
            messages.extend(pages_of(repeat, self.own.node))
        self.repeats = [one_less(repeat) for repeat in self.repeats if repeat.left > 1]
        read_age_ms = age_ms(self.read_s, now)
        marks = marks_of(self.topics, now)
        messages.append(FeedWatermarks(self.own.node, marks, read_age_ms))
        for node in self.exchange.nodes:
            if node != self.own.node:
                for body in messages:
                    self.send_message("datagrams", ToNode(node, body))

    def hear_mark(self, mark):
        """Take a reader's positions; read what this node lacks."""
        now = self.clock()
        rank = self._rank_of(mark.node)
        for one in mark.topics:
            state = self.topics.get(Topic(one.topic))
            if state is not None:
                if one.changed_offset >= state.wanted:
                    self._follow_marker(state, one, mark.node, now)
                self._hear_position(Topic(one.topic), state, one, now)
            if one.topic == Topic.UPSTREAMS.value:
                self.outage.confirm(now - one.age_ms / 1000)
        if self.reading and rank < self.rank:
            if mark.read_age_ms / 1000 < self.pace.stale_s(rank):
                self.reading = False
                self.repeats = []
                log_info(PART, "reader stops", better=mark.node)

    def _follow_marker(self, state, one, node, now):
        """Remember a reader that knows as much as any before."""
        if state.marker != node and one.topic == Topic.UPSTREAMS.value:
            log_marker(state, one, node, now)
        state.marker = node

    def _hear_position(self, topic, state, one, now):
        position = state.position
        if (
            not one.changed_offset
            and not position.known
            and topic is Topic.DECLARATIONS
        ):
            position = Position(known=True)
            self.send_message("configuration", DeclarationsRead(0, ()))
        if one.changed_offset > state.wanted:
            state.wanted, state.wanted_s = one.changed_offset, now
        if position.known and position.end >= state.wanted:
            state.behind = False
            confirmed_s = max(position.confirmed_s, now - one.age_ms / 1000)
            state.position = replace(
                position,
                end=max(position.end, one.end_offset),
                changed=max(position.changed, one.changed_offset),
                confirmed_s=confirmed_s,
            )
            return
        if not state.behind:
            state.behind = True
            self._begin_catching_up(topic, state, now)
        elif now - max(state.failed_s, state.asked_s) > RETRY_BEHIND_S:
            state.next_s = min(state.next_s, now)

    def _begin_catching_up(self, topic, state, now):
        """Ask another node for what is missing, and plan a read of the store."""
        state.store_s = now + self.random.random() * CATCH_UP_JITTER_S
        state.next_s = min(state.next_s, state.store_s)
        if state.calling or not self._is_relayed(topic, state):
            return
        if not self.exchange.ask_parent(topic):
            return
        is_head = self.exchange.is_head
        wait_s = store_after_s(self.pace.apply_s, is_head, self.random.random())
        state.store_s = now + wait_s

    def _is_relayed(self, topic, state):
        """Tell whether nodes give each other what follows, instead of the store.

        Entries of upstreams that are missing are few.
        """
        return topic is not Topic.UPSTREAMS or not state.position.known

    def hear_change(self, heard):
        """Take changes of upstreams that a reader has read."""
        state = self.topics[Topic.UPSTREAMS]
        position = state.position
        if (
            not position.known
            or not heard.base_offset <= position.end < heard.changed_offset
        ):
            return
        entries = state.collect_pages(heard)
        if entries is None:
            return
        now = self.clock()
        departs_s = self.outage.departs_s(now)
        applied = apply_changes(self.known.listing, entries, now, departs_s)
        self.known.take_listing(applied, heard.node)
        state.position = replace(
            position, end=heard.changed_offset, changed=heard.changed_offset
        )
        state.forget_pages(heard.changed_offset)
        self.exchange.answer(Topic.UPSTREAMS)

    # Snapshots -------------------------------------------------------------------

    def take_snapshot(self, given):
        """Take what another node knows of a topic, if this node knows less."""
        topic = Topic(given.mark.topic)
        state = self.topics[topic]
        mark = given.mark
        position = state.position
        if position.known and position.end >= mark.changed_offset:
            return
        if mark.end_offset < position.end:
            return  # older than what was known before the offset expired
        records = self.known.unpack(topic, given.records) if given.records else ()
        if records is None:
            return
        now = self.clock()
        is_first = state.fresh
        state.position = Position(
            True, mark.end_offset, mark.changed_offset, now - mark.age_ms / 1000
        )
        log_info(PART, "snapshot taken", topic=topic.value, age_ms=mark.age_ms)
        if topic is Topic.UPSTREAMS:
            departs_s = math.inf if is_first else self.outage.departs_s(now)
            listing = self.known.listing
            applied = apply_whole(listing, given.upstreams, now, departs_s)
            self.known.take_listing(applied, PEER)
            self.send_message(
                "node", UpstreamsChanged(self.known.listing.upstreams, ())
            )
        else:
            read = NewestRead(topic, mark.end_offset, records)
            self._apply(read, mark.end_offset, whole=True, source=PEER)
        self.exchange.answer(topic)
        state.behind = state.wanted > mark.end_offset
        if state.behind:
            self._begin_catching_up(topic, state, now)

    # Time ------------------------------------------------------------------------

    def on_tick(self, tick):
        """Read what is due, become a reader when nobody else is, tell others."""
        now = tick.now_s
        due = release_departures(self.known.listing, now)
        self.known.take_listing(due, STORE)
        self.exchange.ask_for_missing(now)
        stale_s = now - self._last_confirmed_s()
        if not self.reading and stale_s > self.pace.stale_s(self.rank):
            self.reading = True
            log_info(PART, "reader starts", rank=self.rank, stale_s=round(stale_s, 2))
        for topic, state in self.topics.items():
            if not state.calling and now >= state.next_s:
                self._read_if_needed(topic, state, now)
            elif state.calling and state.behind:
                self.exchange.ask_if_slow(topic, now)
        if self.reading and now - self.marked_s >= 2 * self.pace.follow_s:
            self._send_marks(now)

    def _read_if_needed(self, topic, state, now):
        """Read the store as a reader, or after nobody else gave what is missing."""
        if topic in NEEDED and state.fresh:
            due_s = self.started_s + first_read_s(self.rank)
            if now >= max(due_s, state.store_s):
                self._call(topic)
        elif self.reading:
            waits = {
                Topic.CONFIGURATION: self.pace.configuration_wait_s,
                Topic.DECLARATIONS: DECLARATIONS_WAIT_S,
            }
            self._call(topic, waits.get(topic, 0.0))
        elif state.behind and now >= state.store_s:
            self._call(topic)
        elif state.behind and self._is_relayed(topic, state):
            self.exchange.ask_next(topic, now)
        elif topic in NEEDED and not state.position.known:
            self._call(topic)
