"""The task that owns the membership state."""

import dataclasses
import random

from absl import logging

from comfreyusher.flow import Subscribe, Task, Tick, TickMonitor, record_tick, replace
from comfreyusher.membership._protocol import (
    advance_time,
    begin_leaving,
    handle_message,
    join,
)
from comfreyusher.membership._state import live_members, new_state
from comfreyusher.messages import GossipMessage, MemberStanding, OffsetUpdate

CHANNEL = "membership"
DATAGRAMS = "datagrams"
TICKS_PER_PERIOD = 4
REJOIN_PERIODS = 30
SEEDS_PER_JOIN = 3
LOG_PREFIX = "membership:"


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """The live members changed; ``members`` are sorted by name.

    ``departed`` are the names of members that have said that they leave.
    """

    members: tuple
    departed: frozenset = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class SeedsFound:
    """Gossip addresses of nodes to join, as ``(host, port)``."""

    addresses: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveFleet:
    """Tell the other nodes that this node shuts down."""


@dataclasses.dataclass(frozen=True, slots=True)
class OffsetReached:
    """This node has applied the configuration up to an offset."""

    offset: int
    era: int = 0


class MembershipTask(Task):
    """Runs the membership protocol and sends changes to the node task."""

    def __init__(self, own, settings, seed, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.settings = settings
        self.tick_period_s = settings.period_s / TICKS_PER_PERIOD
        self.tick_monitor = TickMonitor(self.clock())
        self.state = new_state(own)
        self.random = random.Random(seed)
        self.view = ()
        self.addresses = ()
        self.message_handlers = {
            GossipMessage: self.handle_gossip_message,
            Tick: self.handle_tick,
            SeedsFound: self.handle_seeds_found,
            LeaveFleet: self.handle_leave_fleet,
            OffsetReached: self.handle_offset_reached,
        }

    def prepare(self):
        """Subscribe to the protocol's ticks."""
        self.tick_monitor = TickMonitor(self.clock())
        self.send_message("timers", Subscribe(CHANNEL, "period", self.tick_period_s))
        self._publish_members()

    def handle_seeds_found(self, found):
        """Add addresses of nodes, and join through some of them."""
        self.addresses = tuple(dict.fromkeys(self.addresses + found.addresses))
        self._join_seeds()

    def _join_seeds(self):
        self._apply_step(join(self.state, self._choose_seeds()))

    def _choose_seeds(self):
        addresses = list(self.addresses)
        self.random.shuffle(addresses)
        return addresses[:SEEDS_PER_JOIN]

    def handle_leave_fleet(self, _):
        """Tell the other nodes that this node is leaving."""
        self._apply_step(begin_leaving(self.state, self.settings))

    def handle_offset_reached(self, reached):
        """Send the new configuration offset in later messages."""
        own = replace(self.state.own, offset=reached.offset, era=reached.era)
        members = self.state.members.set(own.name, own)
        self.state = replace(self.state, own=own, members=members)

    def handle_tick(self, tick):
        """Advance the protocol, and join through seeds again once in some periods.

        While this node knows no other member, it joins in every period.
        """
        previous_periods = self.state.periods
        self.tick_monitor = record_tick(
            self.tick_monitor, tick.now_s, self.tick_period_s
        )
        running_s = self.tick_monitor.running_s(tick.now_s)
        self._apply_step(
            advance_time(self.state, running_s, self.settings, self.shuffle)
        )
        if self.state.periods == previous_periods:
            return
        if len(self.view) <= 1 or self.state.periods % REJOIN_PERIODS == 0:
            self._join_seeds()

    def shuffle(self, names):
        """Return the names in random order."""
        shuffled = list(names)
        self.random.shuffle(shuffled)
        return tuple(shuffled)

    def handle_gossip_message(self, message):
        """Handle a gossip message of another node."""
        running_s = self.tick_monitor.running_s(self.clock())
        self._apply_step(handle_message(self.state, message, running_s, self.settings))
        own = self.state.own
        if (message.era, message.offset) > (own.era, own.offset):
            update = OffsetUpdate(message.sender, message.offset, message.era)
            self.send_message("configuration", update)

    def _apply_step(self, step):
        previous_members = self.state.members
        self.state = step.state
        for addressed in step.messages:
            self.send_message(DATAGRAMS, addressed)
        if self.state.members is not previous_members:
            self._publish_members()

    def _publish_members(self):
        members = tuple(
            replace(record, offset=0, era=0, version=0, standing=MemberStanding.ALIVE)
            for record in live_members(self.state)
        )
        if members == self.view:
            return
        self._log_changes({record.node for record in members})
        self.view = members
        departed = frozenset(
            record.name
            for record in self.state.members.values()
            if record.standing is MemberStanding.LEAVING
        )
        self.send_message("node", MembersChanged(members, departed))

    def _log_changes(self, current):
        previous = {record.node for record in self.view}
        for node in sorted(current - previous):
            logging.info("%s member joined node=%s", LOG_PREFIX, node)
        for node in sorted(previous - current):
            record = self.state.members.get(node.rpartition(".")[0])
            standing = record.standing if record else MemberStanding.DEAD
            logging.info(
                "%s member left node=%s as=%s", LOG_PREFIX, node, standing.name
            )
