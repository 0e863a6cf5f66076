"""The task that derives plans, tells readiness, and shuts the node down."""

import dataclasses
import enum
import signal as signals

from circuits import handler

from comfreyusher.accounts import AccountsFlushed, FlushAccounts, ReplicationViewChanged
from comfreyusher.configuration import DeclarationsChanged, LiveNodesChanged
from comfreyusher.declarations import Declarations
from comfreyusher.documents import DocumentError
from comfreyusher.entry import NodeView
from comfreyusher.events import log_info, log_warning
from comfreyusher.feeds import ConfigurationChanged, RegionChanged, UpstreamsChanged
from comfreyusher.flow import Subscribe, Task, Tick, replace
from comfreyusher.http import IdleTimeout
from comfreyusher.membership import (
    LeaveFleet,
    MembersChanged,
    Ownership,
    SeedsFound,
    update_ownership,
)
from comfreyusher.node._plans import (
    PlanBook,
    choose_buddy,
    derive_groups,
    derive_plans,
    update_members,
)
from comfreyusher.node._profile import default_profile, seed_places
from comfreyusher.operators import NodeStatus
from comfreyusher.owner import Ejected, LeaveGroups, PlansUpdated, Quarantined
from comfreyusher.peering import PeerAddresses
from comfreyusher.routing import (
    RoutingTable,
    has_routes,
    set_published_routes,
    update_table,
)
from comfreyusher.telemetry import UpstreamEjected

CHANNEL = "node"
PART = "node"
STATUS_PERIOD_S = 1.0
SETTINGS_PERIOD_S = 2.0
SHUTDOWN_PERIOD_S = 0.1
IDLE_MARGIN_S = 1.0


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
    telemetry: object
    secrets: tuple


class NodeTask(Task):
    """Keeps the node's knowledge, and passes on what follows from it.

    ``read_settings`` returns the settings of the file as they are now.
    """

    def __init__(self, own, settings, parts, read_settings, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.own = own
        self.settings = settings
        self.read_settings = read_settings
        self.parts = parts
        self.catalogue = Declarations()
        self.declared = False
        self.published_version = -1
        self.listed = False
        self.was_ready = False
        self.upstreams = {}
        self.members = ()
        self.table = RoutingTable(default_profile=default_profile(settings.fleet))
        self.book = PlanBook()
        self.ownership = Ownership()
        self.phase = Phase.SERVING
        self.phase_s = 0.0
        self.message_handlers = {
            DeclarationsChanged: self.take_catalogue,
            ConfigurationChanged: self.take_published,
            UpstreamsChanged: self.take_upstreams,
            MembersChanged: self.take_view,
            Ejected: self.take_ejection,
            Quarantined: self.take_quarantine,
            AccountsFlushed: self.take_flushed,
            Tick: self.on_tick,
        }

    def prepare(self):
        """Subscribe to the ticks, and greet the seeds."""
        self.send_message("timers", Subscribe(CHANNEL, "status", STATUS_PERIOD_S))
        self.send_message("timers", Subscribe(CHANNEL, "settings", SETTINGS_PERIOD_S))
        self.send_message("membership", SeedsFound(seed_places(self.settings)))
        self.take_view(MembersChanged((self.own,)))

    # Knowledge ---------------------------------------------------------------

    def take_catalogue(self, changed):
        """Take newer declarations."""
        self.catalogue = changed.declarations
        self.declared = changed.is_loaded
        self.table = update_table(self.table, changed.declarations)
        self._replan()
        self._tell_status()

    def take_published(self, changed):
        """Take a newer configuration of the platform's operator."""
        published = changed.published
        self.published_version = published.version
        self.table = set_published_routes(self.table, published)
        if published.idle_timeout_ms:
            idle_s = published.idle_timeout_ms / 1000 + IDLE_MARGIN_S
            self.send_message("callers", IdleTimeout(idle_s))
        self._replan()

    def take_upstreams(self, changed):
        """Take newer entries of upstreams."""
        self.listed = True
        self.upstreams = changed.upstreams
        regions = self.settings.fleet.regions
        self.book = update_members(
            self.book, changed.changed, regions, self.own.region, self.clock()
        )
        self._replan()

    def take_view(self, changed):
        """Take a newer view of the fleet."""
        self.members = changed.members
        self.ownership = update_ownership(self.ownership, changed.members)
        streams = {r.node: (r.host, r.peer_port) for r in changed.members}
        datagrams = {r.node: (r.host, r.gossip_port) for r in changed.members}
        addresses = PeerAddresses(streams, datagrams)
        self.send_message("peers", addresses)
        self.send_message("datagrams", addresses)
        self.send_message("feeds", self._region_of(changed.members))
        self.send_message("directory", changed)
        nodes = tuple(record.node for record in changed.members)
        self.send_message("configuration", LiveNodesChanged(nodes))
        buddy = choose_buddy(self.own, changed.members)
        self.send_message("accounts", ReplicationViewChanged(frozenset(nodes), buddy))
        self._tell_situation()

    def _region_of(self, members):
        own = self.own
        region = [record for record in members if record.region == own.region]
        near = [r.node for r in region if r.data_centre == own.data_centre]
        return RegionChanged(tuple(record.node for record in region), tuple(near))

    def _replan(self):
        self.book = derive_plans(self.book, self.table)
        self.send_message("owner", PlansUpdated(self.book.plans))
        self._tell_situation()

    def _tell_situation(self):
        situation = NodeView(
            self.table,
            has_routes(self.table),
            self.phase is not Phase.SERVING,
            derive_groups(self.book.plans),
            self.ownership,
            self.book.departed,
        )
        self.send_message("entry", situation)
        self._log_readiness()

    @property
    def is_ready(self):
        """Whether the node serves: it has routes, upstreams, and stays."""
        serving = self.phase is Phase.SERVING
        return serving and has_routes(self.table) and bool(self.book.plans)

    def _log_readiness(self):
        ready = self.is_ready
        if ready is not self.was_ready:
            self.was_ready = ready
            log_info(
                PART,
                "readiness",
                ready=ready,
                phase=self.phase.value,
                version=self.published_version,
                upstreams=len(self.upstreams),
            )

    def take_ejection(self, ejected):
        """Log and count an ejection."""
        log_warning(
            "owner",
            "ejected",
            upstream=ejected.upstream,
            group=ejected.group,
            reason=ejected.reason,
        )
        counted = UpstreamEjected(ejected.group, ejected.upstream, ejected.reason)
        self.send_message("telemetry", counted)

    def take_quarantine(self, told):
        """Log a request that is refused from now on."""
        log_warning(
            "owner",
            "quarantined",
            group=told.group,
            fingerprint=told.fingerprint,
            crashed=told.crashed,
        )

    # Time ----------------------------------------------------------------------

    def on_tick(self, tick):
        """Tell the status, read settings again, or go on with the shutdown."""
        if tick.name == "status":
            self._tell_status()
        elif tick.name == "settings":
            self._refresh_secrets()
            self._reload("file")
        else:
            self._shut_down_further(tick.now_s)

    def _tell_status(self):
        status = NodeStatus(
            self.own.node,
            self.own.data_centre,
            self.own.region,
            self.phase.value,
            self.declared and self.listed,
            self.is_ready,
            self.published_version,
            self.catalogue,
            self.members,
            self.parts.entry.in_flight,
        )
        self.send_message("operators", status)

    def _refresh_secrets(self):
        for secrets in self.parts.secrets:
            error = secrets.refresh()
            if error is not None:
                log_warning(PART, "old secrets kept", reason=str(error))

    def _reload(self, cause):
        """Take settings that changed; keep the old ones if they are wrong."""
        try:
            settings = self.read_settings()
        except DocumentError as group:
            faults = tuple(str(fault) for fault in group.exceptions)
            log_warning(PART, "old settings kept", cause=cause, faults=faults)
            return
        if settings is None or settings == self.settings:
            return
        restart = [
            field.name
            for field in dataclasses.fields(settings)
            if field.name != "fleet"
            and getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        log_info(PART, "settings reloaded", cause=cause, needs_restart=restart)
        self.settings = settings
        profile = default_profile(settings.fleet)
        self.table = replace(self.table, default_profile=profile)
        self.send_message("membership", SeedsFound(seed_places(settings)))
        self._replan()

    # Shutdown ------------------------------------------------------------------

    @handler("signal", channel="*")
    def on_signal(self, signo, stack):
        """Reload at SIGHUP; else shut down, a second signal changes nothing."""
        if signo == signals.SIGHUP:
            self._reload("SIGHUP")
            return
        if self.phase is not Phase.SERVING:
            return
        log_info(PART, "leaving", signal=signo, in_flight=self.parts.entry.in_flight)
        self._enter(Phase.LEAVING)
        self.parts.callers.close_after_responses()
        self.send_message("membership", LeaveFleet())
        self.send_message("owner", LeaveGroups())
        self._tell_situation()
        self.send_message("timers", Subscribe(CHANNEL, "shutdown", SHUTDOWN_PERIOD_S))

    def _enter(self, phase):
        self.phase = phase
        self.phase_s = self.clock()

    def _shut_down_further(self, now):
        shutdown = self.settings.shutdown
        in_phase_s = now - self.phase_s
        if self.phase is Phase.LEAVING and in_phase_s >= shutdown.leave_delay_s:
            self.parts.callers.stop_listening()
            self.parts.callers.close_idle_connections()
            self._enter(Phase.DRAINING)
        elif self.phase is Phase.DRAINING:
            if not self._busy() or in_phase_s > shutdown.drain_timeout_s:
                self.send_message("accounts", FlushAccounts())
                self._enter(Phase.FLUSHING)
        elif self.phase is Phase.FLUSHING:
            if in_phase_s > shutdown.flush_timeout_s:
                log_warning(PART, "the store did not take all account entries")
                self._end()

    def _busy(self):
        return self.parts.callers.requests_in_flight or self.parts.entry.in_flight

    def take_flushed(self, _):
        """End once the accounts are in the store."""
        if self.phase is Phase.FLUSHING:
            self._end()

    def _end(self):
        if self.phase is Phase.ENDED:
            return
        self._enter(Phase.ENDED)
        self.parts.telemetry.close()
        log_info(PART, "ended")
        self.root.stop(0)
