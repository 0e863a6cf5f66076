"""The task that owns the membership state."""

import dataclasses
import random

from absl import logging

from comfreyusher.flow import Subscribe, Task, Tick, TickMonitor, record_tick, replace
from comfreyusher.membership._decide import begin_leaving, hear, join, run_period
from comfreyusher.membership._state import live_members, new_state
from comfreyusher.messages import GossipMessage, MemberStanding, OffsetUpdate

CHANNEL = "membership"
DATAGRAMS = "datagrams"
TICKS_PER_PERIOD = 4
GREET_PERIODS = 30
SEEDS_GREETED = 3
LOG = "membership:"


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """The live members, sorted by name, after a change."""

    members: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class SeedsListed:
    """Places of nodes on the platform's list, as ``(host, port)``."""

    places: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveFleet:
    """This node shuts down; tell the others."""


@dataclasses.dataclass(frozen=True, slots=True)
class OffsetReached:
    """This node has applied the configuration up to an offset."""

    offset: int


class MembershipTask(Task):
    """Runs the membership protocol and tells the node about changes."""

    def __init__(self, own, settings, seed, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.settings = settings
        self.tick_period_s = settings.period_s / TICKS_PER_PERIOD
        self.pace = TickMonitor(self.clock())
        self.state = new_state(own)
        self.random = random.Random(seed)
        self.view = ()
        self.places = ()
        self.message_handlers = {
            GossipMessage: self.hear,
            Tick: self.run_period,
            SeedsListed: self.take_seeds,
            LeaveFleet: self.leave,
            OffsetReached: self.take_offset,
        }

    def prepare(self):
        """Subscribe to the protocol's ticks."""
        self.pace = TickMonitor(self.clock())
        self.send_message("timers", Subscribe(CHANNEL, "period", self.tick_period_s))
        self._publish_view()

    def take_seeds(self, listed):
        """Greet listed places while this node knows nobody else."""
        self.places = tuple(dict.fromkeys(self.places + listed.places))
        self._greet_seeds()

    def _greet_seeds(self):
        self._run(join(self.state, self._choose_seeds()))

    def _choose_seeds(self):
        places = list(self.places)
        self.random.shuffle(places)
        return places[:SEEDS_GREETED]

    def leave(self, _):
        """Spread that this node is leaving."""
        self._run(begin_leaving(self.state, self.settings))

    def take_offset(self, reached):
        """Carry the configuration offset in later messages."""
        own = replace(self.state.own, offset=reached.offset)
        members = self.state.members.set(own.name, own)
        self.state = replace(self.state, own=own, members=members)

    def run_period(self, tick):
        """Advance the protocol, and greet seeds again now and then."""
        before = self.state.periods
        self.pace = record_tick(self.pace, tick.now_s, self.tick_period_s)
        awake_s = self.pace.running_s(tick.now_s)
        self._run(run_period(self.state, awake_s, self.settings, self.shuffle))
        if self.state.periods == before:
            return
        if len(self.view) <= 1 or self.state.periods % GREET_PERIODS == 0:
            self._greet_seeds()

    def shuffle(self, names):
        """Return the names in random order."""
        mixed = list(names)
        self.random.shuffle(mixed)
        return tuple(mixed)

    def hear(self, message):
        """Take what another node says."""
        awake_s = self.pace.running_s(self.clock())
        self._run(hear(self.state, message, awake_s, self.settings))
        if message.offset > self.state.own.offset:
            heard = OffsetUpdate(message.sender, message.offset)
            self.send_message("configuration", heard)

    def _run(self, step):
        before = self.state.members
        self.state = step.state
        for send in step.messages:
            self.send_message(DATAGRAMS, send)
        if self.state.members is not before:
            self._publish_view()

    def _publish_view(self):
        members = tuple(
            replace(record, offset=0, version=0, standing=MemberStanding.ALIVE)
            for record in live_members(self.state)
        )
        if members == self.view:
            return
        self._log_change({record.node for record in members})
        self.view = members
        self.send_message("node", ViewChanged(members))

    def _log_change(self, after):
        before = {record.node for record in self.view}
        for node in sorted(after - before):
            logging.info("%s member joined node=%s", LOG, node)
        for node in sorted(before - after):
            record = self.state.members.get(node.rpartition(".")[0])
            standing = record.standing if record else MemberStanding.DEAD
            logging.info("%s member left node=%s as=%s", LOG, node, standing.name)
