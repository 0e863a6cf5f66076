"""The task that remembers departures, and tells the nodes of the region."""

import immutables

from comfreyusher.departures._messages import DepartureObserved, DeparturesChanged
from comfreyusher.departures._state import record_departure
from comfreyusher.events import log_info
from comfreyusher.flow import Subscribe, Task, Tick, Unsubscribe
from comfreyusher.membership import MembersChanged, choose_holders
from comfreyusher.messages import DepartureNotice, ToNode

CHANNEL = "departures"
PART = "departures"
RESEND_PERIOD_S = 0.15


class DepartureTask(Task):
    """Holds the departures that this node knows, by upstream.

    ``resends`` are the datagrams to send once more, since some get lost.
    """

    def __init__(self, own, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.own = own
        self.departures = immutables.Map()
        self.region = (own,)
        self.resends = []
        self.message_handlers = {
            DepartureObserved: self.handle_departure_observed,
            DepartureNotice: self.handle_departure_notice,
            MembersChanged: self.handle_members_changed,
            Tick: self.handle_tick,
        }

    def handle_departure_observed(self, observed):
        """Learn of a departure from the upstream itself, and tell the region."""
        if self._learn(observed.notice, "response"):
            self._tell(observed.notice, self.region)

    def handle_departure_notice(self, notice):
        """Learn of a departure from another node."""
        self._learn(notice, "node")

    def _learn(self, notice, source):
        """Record a departure, and tell whether it was unknown."""
        departures = record_departure(self.departures, notice, self.clock())
        if departures is self.departures:
            return False
        self.departures = departures
        log_info(
            PART,
            "upstream leaving",
            upstream=notice.upstream,
            started_ms=notice.started_ms,
            source=source,
        )
        self.send_message("node", DeparturesChanged(departures))
        return True

    def _tell(self, notice, members):
        others = [member for member in members if member.node != self.own.node]
        if others and not self.resends:
            self.send_message("timers", Subscribe(CHANNEL, "resend", RESEND_PERIOD_S))
        for member in others:
            to_node = ToNode(member.node, notice)
            self.send_message("datagrams", to_node)
            self.resends.append(to_node)

    def handle_members_changed(self, changed):
        """Tell new nodes of the region the departures that this node holds."""
        known = {member.node for member in self.region}
        self.region = tuple(
            member for member in changed.members if member.region == self.own.region
        )
        joined = [member for member in self.region if member.node not in known]
        if not joined:
            return
        for upstream, departure in self.departures.items():
            if self.own in choose_holders(self.region, CHANNEL, upstream):
                notice = DepartureNotice(upstream, departure.started_ms)
                self._tell(notice, joined)

    def handle_tick(self, _):
        """Send the datagrams once more."""
        resends, self.resends = self.resends, []
        for to_node in resends:
            self.send_message("datagrams", to_node)
        self.send_message("timers", Unsubscribe(CHANNEL, "resend"))
