"""The task that counts crashes for the fleet, and spreads and keeps quarantines."""

import time

from comfreyusher.events import log_info, log_warning
from comfreyusher.feeds import QuarantinesRead
from comfreyusher.flow import Subscribe, Task, Tick, Unsubscribe
from comfreyusher.membership import MembersChanged
from comfreyusher.messages import (
    AcquittalNotice,
    CrashNotice,
    QuarantineNotice,
    ToNode,
)
from comfreyusher.platform import Append, Appended, AppendFailed, EraChanged, Topic
from comfreyusher.quarantine._messages import (
    CrashObserved,
    QuarantineBegun,
    QuarantinesChanged,
    SuspectAcquitted,
)
from comfreyusher.quarantine._record import (
    QuarantineRecordError,
    decode_quarantine,
    encode_quarantine,
)
from comfreyusher.quarantine._state import (
    QuarantineState,
    acquit,
    choose_crash_holders,
    expire,
    quarantine,
    record_crash,
)
from comfreyusher.telemetry import RecordsRepublished

CHANNEL = "quarantine"
PART = "quarantine"
TICK_PERIOD_S = 0.5


class QuarantineTask(Task):
    """Holds the suspects that this node counts for, and all quarantines.

    ``resends`` are the datagrams to send once more, since some get lost. ``unsaved``
    are quarantines that this node still has to append to the store. ``stored`` are
    those that the store has in its newest era, ``store_era``; once it was ``restored``,
    the holders of the others append them again.
    """

    def __init__(self, own, wall_clock=time.time, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.own = own
        self.wall_clock = wall_clock
        self.state = QuarantineState()
        self.members = (own,)
        self.resends = []
        self.unsaved = set()
        self.appending = set()
        self.stored = set()
        self.store_era = 0
        self.restored = False
        self.ticking = False
        self.message_handlers = {
            EraChanged: self.handle_era_changed,
            CrashObserved: self.handle_crash_observed,
            SuspectAcquitted: self.handle_suspect_acquitted,
            QuarantineBegun: self.handle_quarantine_begun,
            CrashNotice: self.handle_crash_notice,
            AcquittalNotice: self.handle_acquittal_notice,
            QuarantineNotice: self.handle_quarantine_notice,
            QuarantinesRead: self.handle_quarantines_read,
            MembersChanged: self.handle_members_changed,
            Appended: self.handle_appended,
            AppendFailed: self.handle_append_failed,
            Tick: self.handle_tick,
        }

    # This node -----------------------------------------------------------------

    def handle_crash_observed(self, observed):
        """Tell the holders of the fingerprint."""
        notice = observed.notice
        log_info(
            PART,
            "crash",
            fingerprint=notice.fingerprint,
            upstream=notice.upstream,
            started_ms=notice.started_ms,
        )
        self._send_to_holders(notice)

    def handle_suspect_acquitted(self, acquitted):
        """Tell the holders of the fingerprint."""
        self._send_to_holders(AcquittalNotice(acquitted.fingerprint))

    def _send_to_holders(self, notice):
        for node in self._holders(notice.fingerprint):
            self._send_twice(ToNode(node, notice))

    def _send_twice(self, to_node):
        self.send_message("datagrams", to_node)
        if to_node.node != self.own.node:
            self.resends.append(to_node)
            self._start_ticking()

    def handle_quarantine_begun(self, begun):
        """Spread a quarantine that the owner of a group has decided."""
        until_s = self.clock() + begun.quarantine_ms / 1000
        self._update(quarantine(self.state, begun.fingerprint, until_s))

    # Holders -------------------------------------------------------------------

    def handle_crash_notice(self, notice):
        """Count a crash, and begin a quarantine at its limit."""
        self._update(record_crash(self.state, notice, self.clock()))

    def handle_acquittal_notice(self, notice):
        """Forget the crashes of a request that an upstream has answered."""
        self.state = acquit(self.state, notice.fingerprint)

    def _update(self, state):
        """Take over a state, and spread and save the quarantines that it begins."""
        before, self.state = self.state, state
        begun = [key for key in state.quarantined if key not in before.quarantined]
        for fingerprint in begun:
            log_warning(PART, "quarantined", fingerprint=fingerprint, source="crashes")
            self._spread(fingerprint, self.members)
            self.unsaved.add(fingerprint)
        if begun:
            self._publish()
            self._save()

    def _spread(self, fingerprint, members):
        remaining_s = self.state.quarantined[fingerprint] - self.clock()
        notice = QuarantineNotice(fingerprint, int(remaining_s * 1000))
        for member in members:
            if member.node != self.own.node:
                self._send_twice(ToNode(member.node, notice))

    def _publish(self):
        self.send_message("entry", QuarantinesChanged(self.state.quarantined))

    # Other nodes and the store ---------------------------------------------------

    def handle_quarantine_notice(self, notice):
        """Use a quarantine that another node has begun."""
        remaining_s = notice.remaining_ms / 1000
        self._learn(notice.fingerprint, self.clock() + remaining_s, "node")

    def handle_quarantines_read(self, read):
        """Use the quarantines that the store keeps."""
        if read.era < self.store_era:
            return
        for record in read.records:
            if not record.value:
                continue
            self.stored.add(record.key)
            try:
                until_ms = decode_quarantine(record.value).until_ms
            except QuarantineRecordError as error:
                log_warning(PART, "skipped", key=record.key, reason=str(error))
                continue
            remaining_s = until_ms / 1000 - self.wall_clock()
            if remaining_s > 0:
                self._learn(record.key, self.clock() + remaining_s, "store")

    def _learn(self, fingerprint, until_s, source):
        if self.state.quarantined.get(fingerprint, 0.0) > self.clock():
            return
        log_info(PART, "quarantined", fingerprint=fingerprint, source=source)
        self.state = quarantine(self.state, fingerprint, until_s)
        self._publish()

    def handle_members_changed(self, changed):
        """Hand on what this node counts to new holders, and tell new nodes the rest."""
        before, self.members = self.members, changed.members
        self._save_lost()
        for fingerprint, suspect in self.state.suspects.items():
            new_holders = self._holders(fingerprint) - _find_holders(
                before, fingerprint
            )
            for node in new_holders:
                for notice in suspect.notices.values():
                    self._send_twice(ToNode(node, notice))
        known = {member.node for member in before}
        joined = [member for member in self.members if member.node not in known]
        if joined:
            self._tell_quarantines(joined)

    def _tell_quarantines(self, joined):
        for fingerprint, until_s in self.state.quarantined.items():
            holds = self.own.node in self._holders(fingerprint)
            if holds and until_s > self.clock():
                self._spread(fingerprint, joined)

    def _holders(self, fingerprint):
        return _find_holders(self.members, fingerprint)

    # Store -----------------------------------------------------------------------

    def handle_era_changed(self, changed):
        """Begin to append again what a restored store may have lost."""
        if changed.era <= self.store_era:
            return
        self.store_era = changed.era
        self.stored.clear()
        self.restored = self.restored or changed.restored
        self._save_lost()

    def _save_lost(self):
        """Append the quarantines that this node holds and the store may lack.

        Another holder takes over from one that dies before it has appended them.
        """
        if not self.restored:
            return
        self.state = expire(self.state, self.clock())
        known = set(self.state.quarantined) - self.stored - self.unsaved
        lost = {key for key in known if self.own.node in self._holders(key)}
        if not lost:
            return
        log_info(PART, "published again", count=len(lost))
        self.send_message(
            "telemetry", RecordsRepublished(Topic.QUARANTINES.value, len(lost))
        )
        self.unsaved |= lost
        self._save()
        self._start_ticking()

    def _save(self):
        """Append the quarantines that are not in the store yet."""
        now, wall_ms = self.clock(), int(self.wall_clock() * 1000)
        self.unsaved.intersection_update(self.state.quarantined)
        for fingerprint in sorted(self.unsaved - self.appending):
            remaining_ms = int((self.state.quarantined[fingerprint] - now) * 1000)
            value = encode_quarantine(wall_ms + remaining_ms)
            self.appending.add(fingerprint)
            append = Append(CHANNEL, fingerprint, Topic.QUARANTINES, fingerprint, value)
            self.send_message("platform", append)

    def handle_appended(self, appended):
        """Mark a quarantine as saved, if it was in the newest era of the store."""
        self.appending.discard(appended.token)
        if appended.era >= self.store_era:
            self.stored.add(appended.token)
            self.unsaved.discard(appended.token)
        elif appended.token in self.unsaved:
            self._start_ticking()

    def handle_append_failed(self, failure):
        """Append again at a later tick; a record that is there already is the same."""
        log_warning(PART, "not saved", key=failure.token, reason=failure.reason)
        self.appending.discard(failure.token)
        self._start_ticking()

    # Time ------------------------------------------------------------------------

    def _start_ticking(self):
        if not self.ticking:
            self.ticking = True
            self.send_message("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))

    def handle_tick(self, _):
        """Send datagrams once more, and append what is not saved."""
        resends, self.resends = self.resends, []
        for to_node in resends:
            self.send_message("datagrams", to_node)
        self._save()
        if not self.unsaved:
            self.ticking = False
            self.send_message("timers", Unsubscribe(CHANNEL, "tick"))


def _find_holders(members, fingerprint):
    """Return the ids of the nodes that count the crashes of a fingerprint."""
    return {member.node for member in choose_crash_holders(members, fingerprint)}
