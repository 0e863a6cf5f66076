"""The task that registers this node's address in the store and finds other nodes."""

import dataclasses
import ipaddress
import random
from typing import Annotated

import msgspec

from comfreyusher.decoding import DecodingError, decode_json
from comfreyusher.events import log_info, log_warning
from comfreyusher.flow import Subscribe, Task, Tick
from comfreyusher.membership import MembersChanged, SeedsFound
from comfreyusher.platform import (
    Append,
    Appended,
    AppendFailed,
    EraChanged,
    NewestRead,
    ReadFailed,
    ReadNewest,
    Topic,
)
from comfreyusher.telemetry import RecordsRepublished

CHANNEL = "directory"
PART = "directory"
TICK_PERIOD_S = 2.0
MAX_SEEDS = 12
# Limit on the appends of all nodes of the fleet together after a restore.
MAX_FLEET_APPENDS_PER_S = 200


@dataclasses.dataclass(frozen=True, slots=True)
class GossipAddress:
    """Where a node listens for datagrams; the value of its record in the store."""

    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]


@dataclasses.dataclass(frozen=True, slots=True)
class FindNodes:
    """Send the names of all nodes in the store to the task on ``channel``, once."""

    channel: str


@dataclasses.dataclass(frozen=True, slots=True)
class NodesFound:
    """The names of the nodes that are registered in the store."""

    names: frozenset


class DirectoryTask(Task):
    """Registers the node once, and looks for others while it knows no other.

    It registers again, at ``register_due_s`` or later, once the store was restored
    from an older copy. ``store_era`` is the newest era of the store. The tasks on the
    channels ``askers`` wait for the names of the nodes.
    """

    def __init__(self, own, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.own = own
        self.registered = False
        self.waiting = False
        self.askers = frozenset()
        self.alone = True
        self.member_count = 1
        self.store_era = 0
        self.register_due_s = 0.0
        self.random = random.Random(own.node)
        self.message_handlers = {
            EraChanged: self.handle_era_changed,
            Appended: self.handle_appended,
            AppendFailed: self.handle_append_failed,
            NewestRead: self.handle_newest_read,
            ReadFailed: self.handle_read_failed,
            MembersChanged: self.handle_members_changed,
            FindNodes: self.handle_find_nodes,
            Tick: self.handle_tick,
        }

    def prepare(self):
        """Subscribe to the ticks."""
        self.send_message("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))

    def handle_era_changed(self, changed):
        """Register again once the store was restored from an older copy."""
        self.store_era = max(self.store_era, changed.era)
        if changed.restored and self.registered:
            self.registered = False
            spread_s = self.member_count / MAX_FLEET_APPENDS_PER_S
            self.register_due_s = self.clock() + self.random.random() * spread_s
            republished = RecordsRepublished(Topic.NODES.value, 1)
            self.send_message("telemetry", republished)

    def handle_tick(self, tick):
        """Register, or look for other nodes, unless a call to the store is pending."""
        if self.waiting:
            return
        if not self.registered and tick.now_s >= self.register_due_s:
            self.waiting = True
            value = msgspec.json.encode(
                GossipAddress(self.own.host, self.own.gossip_port)
            )
            append = Append(CHANNEL, None, Topic.NODES, self.own.name, value)
            self.send_message("platform", append)
        elif self.alone or self.askers:
            self._read()

    def _read(self):
        self.waiting = True
        self.send_message("platform", ReadNewest(CHANNEL, Topic.NODES))

    def handle_find_nodes(self, find):
        """Read the names of the nodes at once, or after the call that is pending."""
        self.askers |= {find.channel}
        if not self.waiting:
            self._read()

    def handle_members_changed(self, changed):
        """Record whether any other node is known."""
        self.alone = len(changed.members) <= 1
        self.member_count = len(changed.members)

    def handle_appended(self, appended):
        """Mark the node as registered in this era of the store."""
        self.waiting = False
        self.registered = appended.era >= self.store_era
        if self.askers:
            self._read()

    def handle_append_failed(self, failure):
        """Log the failure; a later tick tries again."""
        self.waiting = False
        log_warning(PART, "node address not registered", reason=failure.reason)

    def handle_newest_read(self, read):
        """Send the newest addresses of other nodes to the membership as seeds."""
        self.waiting = False
        self._send_names(read)
        if not self.alone:
            return
        addresses = tuple(_decode_addresses(read.records, self.own.name))
        log_info(PART, "node addresses found", count=len(addresses))
        self.send_message("membership", SeedsFound(addresses[-MAX_SEEDS:]))

    def _send_names(self, read):
        names = frozenset(record.key for record in read.records if record.value)
        for channel in self.askers:
            self.send_message(channel, NodesFound(names))
        self.askers = frozenset()

    def handle_read_failed(self, failure):
        """Log the failure; a later tick tries again."""
        self.waiting = False
        log_warning(PART, "node addresses not read", reason=failure.reason)


def _decode_addresses(records, own_name):
    """Yield hosts and ports of other nodes, from the newest records last."""
    for record in sorted(records, key=lambda record: record.offset):
        if record.key == own_name or not record.value:
            continue
        try:
            address = decode_json(record.value, GossipAddress)
            ipaddress.IPv4Address(address.host)
        except (DecodingError, ValueError) as error:
            log_warning(PART, "node address skipped", key=record.key, reason=str(error))
            continue
        yield address.host, address.port
