"""The task that derives plans, logs readiness and shuts the node down."""

import dataclasses
import enum
import math
import signal as signals

import immutables
from circuits import handler

from comfreyusher.accounts import AccountsFlushed, FlushAccounts, ReplicationViewChanged
from comfreyusher.configuration import DeclarationsChanged, LiveNodesChanged
from comfreyusher.declarations import Declarations
from comfreyusher.departures import DeparturesChanged
from comfreyusher.documents import DocumentError
from comfreyusher.entry import EndRequests, NodeView
from comfreyusher.events import log_info, log_warning
from comfreyusher.feeds import ConfigurationChanged, UpstreamsChanged
from comfreyusher.flow import Subscribe, Task, Tick, replace
from comfreyusher.http import IdleTimeout
from comfreyusher.membership import (
    LeaveFleet,
    MembersChanged,
    Ownership,
    SeedsFound,
    update_ownership,
)
from comfreyusher.node._configuration_loader import TICK_NAME, ConfigurationLoader
from comfreyusher.node._log import log_ejected, log_quarantined
from comfreyusher.node._plans import (
    PlanState,
    choose_replica_node,
    derive_groups,
    derive_plans,
    derive_region,
    update_departures,
    update_upstream_specs,
)
from comfreyusher.node._profile import (
    default_profile,
    find_seed_addresses,
    list_fields_for_restart,
    plan_fields,
)
from comfreyusher.node._quota import NO_QUOTA, build_quota_view, select_limited
from comfreyusher.node._shutdown_times import derive_shutdown_times
from comfreyusher.operators import NodeStatus
from comfreyusher.owner import Ejected, LeaveGroups, PlansUpdated, Quarantined
from comfreyusher.peering import PeerAddresses
from comfreyusher.quarantine import QuarantineBegun
from comfreyusher.routing import (
    RoutingTable,
    has_routes,
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
    """Phase of a node, from serving to the end of its shutdown."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    ANSWERING = "answering"
    FLUSHING = "flushing"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class NodeResources:
    """Tasks whose sockets and counters the node task uses, and secrets to reload."""

    callers: object
    entry: object
    telemetry: object
    secrets: tuple


class NodeTask(Task):
    """Keeps the node's view of its configuration and the fleet.

    It sends the other tasks the parts that they need. ``read_settings`` returns the
    settings as they are in the file now.
    """

    def __init__(self, own, settings, resources, read_settings, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.own = own
        self.settings = settings
        self.read_settings = read_settings
        self.resources = resources
        self.declarations = Declarations()
        self.declarations_read = False
        self.published_version = -1
        self.upstreams_read = False
        self.was_ready = False
        self.upstreams = {}
        self.loader = ConfigurationLoader(
            CHANNEL, lambda *args: self.send_message(*args)
        )
        self.members_changed = MembersChanged(())
        self.limited = immutables.Map()
        self.quota_view = NO_QUOTA
        self.table = RoutingTable(default_profile=default_profile(settings.fleet))
        self.plan_state = PlanState()
        self.ownership = Ownership()
        self.phase = Phase.SERVING
        self.phase_started_s = 0.0
        self.ends_s = math.inf
        self.message_handlers = {
            DeclarationsChanged: self.handle_declarations_changed,
            ConfigurationChanged: self.handle_configuration_changed,
            UpstreamsChanged: self.handle_upstreams_changed,
            DeparturesChanged: self.handle_departures_changed,
            MembersChanged: self.handle_members_changed,
            Ejected: self.handle_ejected,
            Quarantined: self.handle_quarantined,
            AccountsFlushed: self.handle_accounts_flushed,
            Tick: self.handle_tick,
        }

    def prepare(self):
        """Subscribe to ticks, and send the seeds to the membership task."""
        self.send_message("timers", Subscribe(CHANNEL, "status", STATUS_PERIOD_S))
        self.send_message("timers", Subscribe(CHANNEL, "settings", SETTINGS_PERIOD_S))
        self.send_message("membership", SeedsFound(find_seed_addresses(self.settings)))
        self.handle_members_changed(MembersChanged((self.own,)))

    # Changes of the view -----------------------------------------------------

    def handle_declarations_changed(self, changed):
        """Use newer declarations."""
        self.declarations = changed.declarations
        self.declarations_read = changed.is_loaded
        self.table = update_table(self.table, changed.declarations)
        self._update_plans()
        self._send_status()

    def handle_configuration_changed(self, changed):
        """Load a newer configuration from the platform's operator."""
        self.loader.start(changed.configuration)
        self._load_configuration()

    def _load_configuration(self):
        """Use the configuration once it is loaded."""
        table = self.loader.advance(self.table)
        if table is None:
            return
        self.table, configuration = table, self.loader.configuration
        self.published_version = configuration.version
        self.limited = select_limited(configuration.client_accounts)
        if configuration.idle_timeout_ms:
            idle_s = configuration.idle_timeout_ms / 1000 + IDLE_MARGIN_S
            self.send_message("callers", IdleTimeout(idle_s))
        self._update_plans()

    def handle_upstreams_changed(self, changed):
        """Use newer entries of upstreams."""
        self.upstreams_read = True
        self.upstreams = changed.upstreams
        regions = self.settings.fleet.regions
        self.plan_state = update_upstream_specs(
            self.plan_state, changed.changed, regions, self.own.region, self.clock()
        )
        self._update_plans()

    def handle_departures_changed(self, changed):
        """Use no upstream that said that it is leaving, whatever the store says."""
        self.plan_state = update_departures(self.plan_state, changed.departures)
        self._update_plans()

    def handle_members_changed(self, changed):
        """Use a newer list of live members, and send it to the tasks that need it."""
        self.members_changed = changed
        self.ownership = update_ownership(self.ownership, changed.members)
        streams = {r.node: (r.host, r.peer_port) for r in changed.members}
        datagrams = {r.node: (r.host, r.gossip_port) for r in changed.members}
        addresses = PeerAddresses(streams, datagrams)
        self.send_message("peers", addresses)
        self.send_message("datagrams", addresses)
        self.send_message("feeds", derive_region(self.own, changed.members))
        self.send_message("departures", changed)
        self.send_message("directory", changed)
        self.send_message("quarantine", changed)
        nodes = tuple(record.node for record in changed.members)
        self.send_message("configuration", LiveNodesChanged(nodes))
        replica_node = choose_replica_node(self.own, changed.members)
        self.send_message(
            "accounts", ReplicationViewChanged(frozenset(nodes), replica_node)
        )
        self._send_node_view()

    def _update_plans(self):
        fields = plan_fields(self.settings.fleet)
        self.plan_state = derive_plans(self.plan_state, self.table, **fields)
        self.send_message("owner", PlansUpdated(self.plan_state.plans))
        self._send_node_view()

    def _send_quota_view(self):
        """Send the quota task its view, once any account has had a rate."""
        leaving, fleet = self.phase is not Phase.SERVING, self.settings.fleet
        view = build_quota_view(self.limited, self.members_changed, fleet, leaving)
        if view != self.quota_view and (view.accounts or self.quota_view.members):
            self.quota_view = view
            self.send_message("quota", view)

    def _send_node_view(self):
        self._send_quota_view()
        view = NodeView(
            self.table,
            has_routes(self.table),
            self.phase is not Phase.SERVING,
            derive_groups(self.plan_state.plans),
            self.ownership,
            self.plan_state.departed,
            self.ends_s,
        )
        self.send_message("entry", view)
        self._log_readiness()

    @property
    def is_ready(self):
        """Whether callers can use the node.

        It must have routes and upstreams, and must not be shutting down.
        """
        serving = self.phase is Phase.SERVING
        return serving and has_routes(self.table) and bool(self.plan_state.plans)

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

    def handle_ejected(self, ejected):
        """Log and count an ejection."""
        log_ejected(ejected)
        ejection = UpstreamEjected(ejected.group, ejected.upstream, ejected.reason)
        self.send_message("telemetry", ejection)

    def handle_quarantined(self, quarantined):
        """Spread the quarantine of a request that crashed upstreams of a group."""
        log_quarantined(quarantined)
        begun = QuarantineBegun(quarantined.fingerprint, quarantined.quarantine_ms)
        self.send_message("quarantine", begun)

    # Time ----------------------------------------------------------------------

    def handle_tick(self, tick):
        """Send the status, reload the settings, load more, or end further."""
        if tick.name == "status":
            self._send_status()
        elif tick.name == "settings":
            self._refresh_secrets()
            self._reload_settings("file")
        elif tick.name == TICK_NAME:
            self._load_configuration()
        else:
            self._continue_shutdown(tick.now_s)

    def _send_status(self):
        status = NodeStatus(
            self.own.node,
            self.own.data_centre,
            self.own.region,
            self.phase.value,
            self.declarations_read and self.upstreams_read,
            self.is_ready,
            self.published_version,
            self.declarations,
            self.members_changed.members,
            self.resources.entry.in_flight,
        )
        self.send_message("operators", status)

    def _refresh_secrets(self):
        for secrets in self.resources.secrets:
            error = secrets.refresh()
            if error is not None:
                log_warning(
                    PART,
                    "reloading secrets failed; keeping the old ones",
                    reason=str(error),
                )

    def _reload_settings(self, cause):
        """Use settings that changed; keep the old ones if the new ones are invalid.

        Only the fleet's settings take effect without a restart.
        """
        try:
            settings = self.read_settings()
        except DocumentError as error:
            faults = tuple(str(fault) for fault in error.exceptions)
            log_warning(
                PART,
                "reloading settings failed; keeping the old ones",
                cause=cause,
                faults=faults,
            )
            return
        if settings is None or settings == self.settings:
            return
        needs_restart = list_fields_for_restart(self.settings, settings)
        log_info(PART, "settings reloaded", cause=cause, needs_restart=needs_restart)
        self.settings = settings
        profile = default_profile(settings.fleet)
        self.table = replace(self.table, default_profile=profile)
        self.send_message("membership", SeedsFound(find_seed_addresses(settings)))
        self._update_plans()

    # Shutdown ------------------------------------------------------------------

    @handler("signal", channel="*")
    def on_signal(self, signo, stack):
        """Reload the settings on SIGHUP; shut down on any other signal.

        During the shutdown, further signals other than SIGHUP are ignored.
        """
        if signo == signals.SIGHUP:
            self._reload_settings("SIGHUP")
            return
        if self.phase is not Phase.SERVING:
            return
        log_info(
            PART, "leaving", signal=signo, in_flight=self.resources.entry.in_flight
        )
        self._enter_phase(Phase.LEAVING)
        shutdown = derive_shutdown_times(self.settings.shutdown)
        grace_s = shutdown.leave_delay_s + shutdown.drain_timeout_s
        self.ends_s = self.clock() + grace_s
        self.resources.callers.close_after_responses()
        self.send_message("membership", LeaveFleet())
        self.send_message("owner", LeaveGroups())
        self._send_node_view()
        self.send_message("timers", Subscribe(CHANNEL, "shutdown", SHUTDOWN_PERIOD_S))

    def _enter_phase(self, phase):
        self.phase = phase
        self.phase_started_s = self.clock()

    def _continue_shutdown(self, now):
        shutdown = derive_shutdown_times(self.settings.shutdown)
        phase_duration_s = now - self.phase_started_s
        if self.phase is Phase.LEAVING and phase_duration_s >= shutdown.leave_delay_s:
            self.resources.callers.stop_listening()
            self.resources.callers.close_idle_connections()
            self._enter_phase(Phase.DRAINING)
        elif self.phase is Phase.DRAINING:
            if not self._has_requests_in_flight():
                self._enter_phase(Phase.FLUSHING)
                self.send_message("accounts", FlushAccounts())
            elif phase_duration_s > shutdown.drain_timeout_s:
                self._enter_phase(Phase.ANSWERING)
                self.send_message("entry", EndRequests())
        elif self.phase is Phase.ANSWERING:
            self._enter_phase(Phase.FLUSHING)
            self.send_message("accounts", FlushAccounts())
        elif self.phase is Phase.FLUSHING:
            if phase_duration_s > shutdown.flush_timeout_s:
                log_warning(
                    PART,
                    "flush timeout reached before the store took all account entries",
                )
                self._end_process()

    def _has_requests_in_flight(self):
        return (
            self.resources.callers.requests_in_flight or self.resources.entry.in_flight
        )

    def handle_accounts_flushed(self, _):
        """End the process as soon as all account entries are in the store."""
        if self.phase is Phase.FLUSHING:
            self._end_process()

    def _end_process(self):
        if self.phase is Phase.ENDED:
            return
        self._enter_phase(Phase.ENDED)
        self.resources.telemetry.close()
        log_info(PART, "ended")
        self.root.stop(0)
