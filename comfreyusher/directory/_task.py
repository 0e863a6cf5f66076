"""The task that registers this node's address in the store and finds other nodes."""

import dataclasses
import ipaddress
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
    NewestRead,
    ReadFailed,
    ReadNewest,
    Topic,
)

CHANNEL = "directory"
PART = "directory"
TICK_PERIOD_S = 2.0
MAX_SEEDS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class GossipAddress:
    """Where a node listens for datagrams; the value of its record in the store."""

    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]


class DirectoryTask(Task):
    """Registers the node once, and looks for others while it knows no other."""

    def __init__(self, own, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.own = own
        self.registered = False
        self.waiting = False
        self.alone = True
        self.message_handlers = {
            Appended: self.handle_appended,
            AppendFailed: self.handle_append_failed,
            NewestRead: self.handle_newest_read,
            ReadFailed: self.handle_read_failed,
            MembersChanged: self.handle_members_changed,
            Tick: self.handle_tick,
        }

    def prepare(self):
        """Subscribe to the ticks."""
        self.send_message("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))

    def handle_tick(self, _):
        """Register, or look for other nodes, unless a call to the store is pending."""
        if self.waiting:
            return
        if not self.registered:
            self.waiting = True
            value = msgspec.json.encode(
                GossipAddress(self.own.host, self.own.gossip_port)
            )
            append = Append(CHANNEL, None, Topic.NODES, self.own.name, value)
            self.send_message("platform", append)
        elif self.alone:
            self.waiting = True
            self.send_message("platform", ReadNewest(CHANNEL, Topic.NODES))

    def handle_members_changed(self, changed):
        """Record whether any other node is known."""
        self.alone = len(changed.members) <= 1

    def handle_appended(self, _):
        """Mark the node as registered; the store keeps its record for ever."""
        self.waiting = False
        self.registered = True

    def handle_append_failed(self, failure):
        """Log the failure; a later tick tries again."""
        self.waiting = False
        log_warning(PART, "node address not registered", reason=failure.reason)

    def handle_newest_read(self, read):
        """Send the newest addresses of other nodes to the membership as seeds."""
        self.waiting = False
        addresses = tuple(_decode_addresses(read.records, self.own.name))
        log_info(PART, "node addresses found", count=len(addresses))
        self.send_message("membership", SeedsFound(addresses[-MAX_SEEDS:]))

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
