"""Builds the tasks of a node from its settings."""

import dataclasses
import resource
import ssl
import time

from comfreyusher.accounts import AccountTask
from comfreyusher.configuration import ConfigurationTask
from comfreyusher.departures import DepartureTask
from comfreyusher.directory import DirectoryTask
from comfreyusher.entry import EntryTask, new_entry_state
from comfreyusher.feeds import FeedTask, FeedTimings
from comfreyusher.flow import Poller, Root, TimerService
from comfreyusher.http import (
    CONNECTION_BYTES,
    HttpClientTask,
    HttpLimits,
    HttpServerTask,
)
from comfreyusher.listener import ListenError, open_listener
from comfreyusher.membership import GossipSettings, MembershipTask
from comfreyusher.messages import MemberRecord
from comfreyusher.node._task import NodeResources, NodeTask
from comfreyusher.operators import OperatorListenerTask, OperatorTask
from comfreyusher.owner import OwnerTask
from comfreyusher.peering import PeerDatagramTask, PeerTask
from comfreyusher.platform import (
    PlatformTask,
    decode_terms,
    parse_upstream_headers,
)
from comfreyusher.quarantine import QuarantineTask
from comfreyusher.queries import QueryTask
from comfreyusher.quota import QuotaTask
from comfreyusher.settings import (
    CustomerKeyMode,
    HalfCloseMode,
    SecretKeys,
    TlsMode,
    parse_duration_ms,
)
from comfreyusher.telemetry import TelemetryTask
from comfreyusher.web import PageTask, build_metrics_page, build_readiness_page

MILLISECONDS_PER_SECOND = 1000
CALLERS_SHARE_OF_DESCRIPTORS = 0.6
IDLE_SHARE_OF_MEMORY = 0.5
PAGE_IDLE_TIMEOUT_S = 86400.0


@dataclasses.dataclass(frozen=True)
class Node:
    """A node ready to run, and the addresses that it listens on."""

    root: Root
    callers_port: int
    peer_port: int
    gossip_port: int
    operators_port: int


def assemble(settings, read_settings=lambda: None, callers_listener=None):
    """Return the node for the settings.

    ``read_settings`` returns the settings as they are in the file now,
    ``callers_listener`` is the socket that already listens for callers, if any. Raises
    ``ListenError`` if an address or a certificate cannot be used.
    """
    poller = Poller()
    root = Root()
    poller.register(root)
    TimerService().register(root)
    callers_listener = callers_listener or open_listener(settings.callers)
    peer_listener = open_listener(settings.peers)
    incarnation = time.time_ns() // 1_000_000
    own = _build_own_record(settings, incarnation, peer_listener)
    peer_keys = SecretKeys(settings.peers.keys)
    operator_keys = SecretKeys(settings.operators.keys)

    telemetry = TelemetryTask(own.node, settings.telemetry)
    keys_required = settings.callers.customer_keys is CustomerKeyMode.REQUIRED
    sampling_ratio = settings.telemetry.sampling_ratio
    terms = decode_terms(settings.platform.terms)
    entry_state = new_entry_state(
        own, keys_required, sampling_ratio, terms.reuses_connections
    )
    entry = EntryTask(entry_state)
    callers = HttpServerTask(
        "callers",
        "entry",
        poller,
        _build_http_limits(settings.callers),
        memory_channel="telemetry",
        tls_server=_build_server_context(settings.callers.tls),
    )
    datagrams = _build_datagram_task(settings, own, peer_keys, poller)
    peers = PeerTask(
        own.node,
        peer_keys,
        poller,
        tls_server=_build_server_context(settings.peers.tls),
        tls_client=_build_client_context(settings.peers.tls),
    )
    secrets = (peer_keys, operator_keys)
    resources = NodeResources(callers, entry, telemetry, secrets)
    operators_listener = open_listener(settings.operators)
    node = NodeTask(own, settings, resources, read_settings)
    fleet = settings.fleet
    platform = settings.platform
    tasks = (
        telemetry,
        entry,
        OwnerTask(),
        callers,
        datagrams,
        MembershipTask(own, _build_gossip_settings(settings.peers), own.node),
        peers,
        PlatformTask(platform.host, platform.port),
        HttpClientTask("platform-http", "platform", poller),
        HttpClientTask(
            "upstreams",
            "entry",
            poller,
            read_response_id=lambda head: parse_upstream_headers(head).request_id,
        ),
        FeedTask(own, _build_feed_timings(fleet)),
        DepartureTask(own),
        DirectoryTask(own),
        QuarantineTask(own),
        QuotaTask(own),
        ConfigurationTask(own.node),
        AccountTask(own.node),
        QueryTask(),
        OperatorTask(operator_keys, telemetry),
        OperatorListenerTask(operators_listener, poller),
        node,
        *_build_page_tasks(settings, poller, node, telemetry),
    )
    for task in tasks:
        task.register(root)
    callers.listen_on(callers_listener)
    peers.listen_on(peer_listener)
    return Node(
        root,
        callers_listener.getsockname()[1],
        peer_listener.getsockname()[1],
        datagrams.socket.getsockname()[1],
        operators_listener.getsockname()[1],
    )


def _build_feed_timings(fleet):
    return FeedTimings(
        parse_duration_ms(fleet.upstream_drain) / MILLISECONDS_PER_SECOND,
        parse_duration_ms(fleet.configuration_apply) / MILLISECONDS_PER_SECOND,
    )


def _build_page_tasks(settings, poller, node, telemetry):
    """Yield the tasks that serve the pages for readiness and metrics."""
    pages = (
        ("readiness", settings.readiness, build_readiness_page(node)),
        ("metrics", settings.metrics, build_metrics_page(telemetry)),
    )
    for name, page, render_page in pages:
        if not page.address:
            continue
        channel = f"{name}-web"
        limits = HttpLimits(idle_timeout_s=PAGE_IDLE_TIMEOUT_S)
        server = HttpServerTask(channel, name, poller, limits)
        server.listen_on(open_listener(page))
        yield server
        yield PageTask(name, channel, page.path, render_page)


def _build_own_record(settings, incarnation, peer_listener):
    node, peers = settings.node, settings.peers
    return MemberRecord(
        f"{node.name}.{incarnation}",
        node.name,
        peers.advertised_host or peers.host,
        peers.advertised_gossip_port or peers.gossip_port,
        peers.advertised_port or peer_listener.getsockname()[1],
        node.data_centre,
        node.region,
        incarnation,
    )


def _build_gossip_settings(peers):
    return GossipSettings(
        period_s=peers.gossip_period_ms / MILLISECONDS_PER_SECOND,
        ack_timeout_s=peers.gossip_period_ms / 2500,
        suspicion_s=peers.suspicion_ms / MILLISECONDS_PER_SECOND,
    )


def _build_datagram_task(settings, own, keys, poller):
    host, port = settings.peers.host, settings.peers.gossip_port
    try:
        return PeerDatagramTask(own.node, keys, poller, host, port)
    except OSError as error:
        raise ListenError(f"cannot use UDP {host}:{port}: {error}") from error


def _build_http_limits(callers):
    return HttpLimits(
        max_head_bytes=callers.max_head_bytes,
        max_body_bytes=callers.max_body_bytes,
        head_timeout_s=callers.head_timeout_s,
        body_timeout_s=callers.body_timeout_s,
        idle_timeout_s=callers.idle_timeout_s,
        abort_on_half_close=callers.half_close is HalfCloseMode.LEFT,
        max_held_bytes=callers.max_held_bytes,
        max_unfinished_requests=callers.max_unfinished_requests,
        max_concurrent_requests=callers.max_concurrent_requests,
        max_connections=_count_caller_connections(callers.max_held_bytes),
    )


def _count_caller_connections(max_held_bytes):
    """Return how many connections callers may have.

    The other descriptors are left for upstreams, nodes, the store and operators, and
    most of the memory for requests, even if every connection is idle.
    """
    by_memory = int(max_held_bytes * IDLE_SHARE_OF_MEMORY) // CONNECTION_BYTES
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return by_memory
    return min(by_memory, int(limit * CALLERS_SHARE_OF_DESCRIPTORS))


def _build_server_context(tls):
    if tls.mode is TlsMode.OFF:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    _load_certificate(context, tls)
    if tls.authority_file:
        context.load_verify_locations(tls.authority_file)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _build_client_context(tls):
    """Return the context for connections to peers, which are known by IP address.

    A certificate is not checked against a host name for that reason.
    """
    if tls.mode is TlsMode.OFF:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=tls.authority_file or None
    )
    context.check_hostname = False
    _load_certificate(context, tls)
    return context


def _load_certificate(context, tls):
    try:
        context.load_cert_chain(tls.certificate_file, tls.key_file)
    except (OSError, ssl.SSLError) as error:
        message = f"cannot load the certificate {tls.certificate_file}: {error}"
        raise ListenError(message) from error
