"""The task that writes this node's place into the store, and finds others'."""

import dataclasses

import msgspec

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
PLACES_GREETED = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a node listens for datagrams."""

    host: str
    port: int


class DirectoryTask(Task):
    """Registers the node once; looks for others while it is alone."""

    def __init__(self, own, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.own = own
        self.registered = False
        self.calling = False
        self.alone = True
        self.message_handlers = {
            Appended: self.take_appended,
            AppendFailed: self.take_append_failure,
            NewestRead: self.take_places,
            ReadFailed: self.take_read_failure,
            MembersChanged: self.take_view,
            Tick: self.on_tick,
        }

    def prepare(self):
        """Subscribe to the tick."""
        self.send_message("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))

    def on_tick(self, _):
        """Register, or look for other nodes."""
        if self.calling:
            return
        if not self.registered:
            self.calling = True
            place = msgspec.json.encode(Place(self.own.host, self.own.gossip_port))
            append = Append(CHANNEL, None, Topic.NODES, self.own.name, place)
            self.send_message("platform", append)
        elif self.alone:
            self.calling = True
            self.send_message("platform", ReadNewest(CHANNEL, Topic.NODES))

    def take_view(self, changed):
        """Learn whether any other node is known."""
        self.alone = len(changed.members) <= 1

    def take_appended(self, _):
        """The place is kept for as long as the store exists."""
        self.calling = False
        self.registered = True

    def take_append_failure(self, failure):
        """Try again at a later tick."""
        self.calling = False
        log_warning(PART, "not registered", reason=failure.reason)

    def take_places(self, read):
        """Greet the places of other nodes."""
        self.calling = False
        places = tuple(_decode_places(read.records, self.own.name))
        log_info(PART, "places found", count=len(places))
        self.send_message("membership", SeedsFound(places[-PLACES_GREETED:]))

    def take_read_failure(self, failure):
        """Try again at a later tick."""
        self.calling = False
        log_warning(PART, "no places found", reason=failure.reason)


def _decode_places(records, own_name):
    """Yield hosts and ports; the newest records come last."""
    for record in sorted(records, key=lambda record: record.offset):
        if record.key == own_name or not record.value:
            continue
        try:
            place = msgspec.json.decode(record.value, type=Place)
        except msgspec.MsgspecError as error:
            log_warning(PART, "place refused", key=record.key, reason=str(error))
            continue
        yield place.host, place.port
