"""The task that derives plans and roles, and shuts the node down."""

import dataclasses
import enum

import immutables
from absl import logging
from circuits import handler

from comfreyusher.accounts import AccountsFlushed, FleetSeen, FlushAccounts
from comfreyusher.configuration import CatalogueChanged, RolesChanged
from comfreyusher.declarations import Catalogue
from comfreyusher.entry import Situation
from comfreyusher.flow import Subscribe, Task, Tick, change
from comfreyusher.membership import (
    LeaveFleet,
    Ownership,
    SeedsListed,
    ViewChanged,
    update_view,
)
from comfreyusher.node._plans import (
    PlanBook,
    derive_groups,
    derive_plans,
    derive_roles,
    update_members,
)
from comfreyusher.operators import NodeStatus
from comfreyusher.owner import Ejected, PlansKnown
from comfreyusher.peering import PeerAddresses
from comfreyusher.platform import ListRead
from comfreyusher.routing import RoutingTable, build_table
from comfreyusher.telemetry import UpstreamEjected

CHANNEL = "node"
LOG = "node:"
STATUS_PERIOD_S = 0.5
SECRETS_PERIOD_S = 5.0
DRAIN_PERIOD_S = 0.1
ENTRY = "entry"


class Phase(str, enum.Enum):
    """Phase of a node's life."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    FLUSHING = "flushing"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """The tasks whose sockets and counters the shutdown needs."""

    callers: object
    entry: object
    owner: object
    telemetry: object
    secrets: tuple


class NodeTask(Task):
    """Keeps the node's knowledge, and passes on what follows from it."""

    def __init__(self, own, settings, parts, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.own = own
        self.settings = settings
        self.parts = parts
        self.catalogue = Catalogue()
        self.ready = False
        self.vms = immutables.Map()
        self.members = ()
        self.table = RoutingTable()
        self.book = PlanBook()
        self.ownership = Ownership()
        self.phase = Phase.SERVING
        self.phase_s = 0.0
        self.routes = {
            CatalogueChanged: self.take_catalogue,
            ListRead: self.take_list,
            ViewChanged: self.take_view,
            Ejected: self.take_ejection,
            AccountsFlushed: self.take_flushed,
            Tick: self.on_tick,
        }

    def prepare(self):
        """Subscribe to the ticks."""
        self.tell("timers", Subscribe(CHANNEL, "status", STATUS_PERIOD_S))
        self.tell("timers", Subscribe(CHANNEL, "secrets", SECRETS_PERIOD_S))

    # Knowledge ---------------------------------------------------------------

    def take_catalogue(self, changed):
        """Take a newer configuration."""
        self.catalogue = changed.catalogue
        self.ready = changed.ready
        self.table = build_table(self.table, changed.catalogue)
        self._replan()
        self._tell_status()

    def take_list(self, read):
        """Take a newer list of VMs."""
        self.book = update_members(self.book, self.vms, read.vms, read.changed)
        self.vms = read.vms
        places = tuple(
            (vm.host, vm.port)
            for vm in read.vms.values()
            if vm.role == ENTRY and vm.name != self.own.name
        )
        self.tell("membership", SeedsListed(places))
        self._replan()

    def take_view(self, changed):
        """Take a newer view of the fleet."""
        self.members = changed.members
        self.ownership = update_view(self.ownership, changed.members)
        places = {r.node: (r.host, r.peer_port) for r in changed.members}
        self.tell("peers", PeerAddresses(places))
        self._tell_roles()
        self._tell_situation()

    def _replan(self):
        self.book = derive_plans(self.book, self.catalogue)
        self.tell("owner", PlansKnown(self.book.plans))
        self._tell_situation()

    def _tell_roles(self):
        own = change(self.own, offset=0, version=0)
        roles = derive_roles(own, self.members)
        nodes = tuple(record.node for record in self.members)
        live = frozenset(nodes)
        changed = RolesChanged(roles.reader, roles.restater, roles.neighbours, nodes)
        self.tell("configuration", changed)
        self.tell("accounts", FleetSeen(live, roles.buddy, roles.carrier))

    def _tell_situation(self):
        situation = Situation(
            self.table,
            self.ready,
            self.phase is not Phase.SERVING,
            derive_groups(self.book.plans),
            frozenset(record.node for record in self.members),
            self.ownership,
        )
        self.tell("entry", situation)

    def take_ejection(self, ejected):
        """Log and count an ejection."""
        logging.warning(
            "owner: ejected upstream=%s group=%s reason=%r",
            ejected.upstream,
            ejected.group,
            ejected.reason,
        )
        counted = UpstreamEjected(ejected.group, ejected.upstream, ejected.reason)
        self.tell("telemetry", counted)

    # Time ----------------------------------------------------------------------

    def on_tick(self, tick):
        """Tell the status, read secrets again, or go on with the shutdown."""
        if tick.name == "status":
            self._tell_status()
        elif tick.name == "secrets":
            self._refresh_secrets()
        else:
            self._shut_down_further(tick.now_s)

    def _tell_status(self):
        status = NodeStatus(
            self.own.node,
            self.own.data_centre,
            self.own.region,
            self.phase.value,
            self.ready,
            self.catalogue,
            self.members,
            self.vms,
            self.parts.entry.busy,
        )
        self.tell("operators", status)

    def _refresh_secrets(self):
        for secrets in self.parts.secrets:
            error = secrets.refresh()
            if error is not None:
                logging.error("%s keeps the old secrets reason=%r", LOG, str(error))

    # Shutdown ------------------------------------------------------------------

    @handler("signal", channel="*")
    def on_signal(self, signo, stack):
        """Begin a graceful shutdown; a second signal changes nothing."""
        if self.phase is not Phase.SERVING:
            return
        logging.info("%s leaving signal=%d", LOG, signo)
        self._enter(Phase.LEAVING)
        self.tell("membership", LeaveFleet())
        self._tell_situation()
        self.tell("timers", Subscribe(CHANNEL, "shutdown", DRAIN_PERIOD_S))

    def _enter(self, phase):
        self.phase = phase
        self.phase_s = self.clock()

    def _shut_down_further(self, now):
        shutdown = self.settings.shutdown
        in_phase_s = now - self.phase_s
        if self.phase is Phase.LEAVING and in_phase_s >= shutdown.leave_delay_s:
            self.parts.callers.stop_listening()
            self.parts.callers.close_idle()
            self._enter(Phase.DRAINING)
        elif self.phase is Phase.DRAINING:
            if not self._busy() or in_phase_s > shutdown.drain_timeout_s:
                self.tell("accounts", FlushAccounts())
                self._enter(Phase.FLUSHING)
        elif self.phase is Phase.FLUSHING:
            if in_phase_s > shutdown.flush_timeout_s:
                logging.warning("%s the log did not take all account entries", LOG)
                self._end()

    def _busy(self):
        parts = self.parts
        return parts.callers.busy or parts.entry.busy or parts.owner.busy

    def take_flushed(self, _):
        """End once the accounts are in the log."""
        if self.phase is Phase.FLUSHING:
            self._end()

    def _end(self):
        if self.phase is Phase.ENDED:
            return
        self._enter(Phase.ENDED)
        self.parts.telemetry.close()
        logging.info("%s ended", LOG)
        self.root.stop(0)
