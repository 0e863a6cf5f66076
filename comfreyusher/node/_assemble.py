"""Building of a node's tasks from its settings."""

import dataclasses
import ssl
import time

from comfreyusher.accounts import AccountTask
from comfreyusher.claims import ClaimTask
from comfreyusher.configuration import ConfigurationTask
from comfreyusher.entry import EntryTask, new_entry_state
from comfreyusher.flow import Poller, Root, TimerService, bind_listener
from comfreyusher.http import HttpClientTask, HttpLimits, HttpServerTask
from comfreyusher.membership import GossipSettings, MemberRecord, MembershipTask
from comfreyusher.node._errors import ListenError
from comfreyusher.node._task import NodeTask, Parts
from comfreyusher.operators import OperatorServer, OperatorTask
from comfreyusher.opinions import OpinionTask
from comfreyusher.owner import OwnerTask
from comfreyusher.peering import PeerTask
from comfreyusher.platform import PlatformTask
from comfreyusher.queries import QueryTask
from comfreyusher.settings import SecretKeys, TlsMode
from comfreyusher.telemetry._task import TelemetryTask

UPSTREAM_CONNECT_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class Node:
    """A node ready to run, and the addresses that it listens on."""

    root: Root
    callers_port: int
    peer_port: int
    gossip_port: int
    operators_port: int


def assemble(settings):
    """Return the node for the settings; raises ``ListenError``."""
    poller = Poller()
    root = Root()
    poller.register(root)
    TimerService().register(root)
    callers_listener = _bind(settings.callers.host, settings.callers.port)
    peer_listener = _bind(settings.peers.host, settings.peers.port)
    incarnation = time.time_ns() // 1_000_000
    own = _own_record(settings, incarnation, peer_listener)
    peer_keys = SecretKeys(settings.peers.keys)
    operator_keys = SecretKeys(settings.operators.keys)

    telemetry = TelemetryTask(own.node, settings.telemetry)
    entry = EntryTask(
        new_entry_state(own.node, own.region, settings.telemetry.sampling_ratio)
    )
    owner = OwnerTask()
    callers = HttpServerTask(
        "callers",
        "entry",
        poller,
        _limits(settings.callers),
        tls_server=_server_context(settings.callers.tls),
    )
    membership = _membership(settings, own, peer_keys, poller)
    own = membership.state.own
    peers = PeerTask(
        own.node,
        peer_keys,
        poller,
        tls_server=_server_context(settings.peers.tls),
        tls_client=_client_context(settings.peers.tls),
    )
    parts = Parts(callers, entry, owner, telemetry, (peer_keys, operator_keys))
    operators = _operator_server(settings.operators)
    tasks = (
        telemetry,
        entry,
        owner,
        callers,
        membership,
        peers,
        PlatformTask(settings.platform.host, settings.platform.port),
        HttpClientTask("platform-http", "platform", poller),
        HttpClientTask("upstreams", "owner", poller, UPSTREAM_CONNECT_TIMEOUT_S),
        ConfigurationTask(own.node),
        ClaimTask(own.node),
        AccountTask(own.node),
        OpinionTask(poller),
        QueryTask(),
        OperatorTask(operator_keys, telemetry),
        operators,
        NodeTask(own, settings, parts),
    )
    for task in tasks:
        task.register(root)
    callers.listen_on(callers_listener)
    peers.listen_on(peer_listener)
    return Node(
        root,
        callers_listener.getsockname()[1],
        peer_listener.getsockname()[1],
        membership.socket.getsockname()[1],
        operators.port,
    )


def _bind(host, port):
    try:
        return bind_listener(host, port)
    except OSError as error:
        raise ListenError(f"cannot listen on {host}:{port}: {error}") from error


def _operator_server(operators):
    try:
        return OperatorServer(operators.host, operators.port)
    except OSError as error:
        place = f"{operators.host}:{operators.port}"
        raise ListenError(f"cannot listen on {place}: {error}") from error


def _own_record(settings, incarnation, peer_listener):
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


def _membership(settings, own, keys, poller):
    peers = settings.peers
    gossip = GossipSettings(
        period_s=peers.gossip_period_ms / 1000,
        ack_timeout_s=peers.gossip_period_ms / 2500,
        suspicion_s=peers.suspicion_ms / 1000,
    )
    host, port = peers.host, peers.gossip_port
    try:
        return MembershipTask(own, gossip, keys, poller, host, port, own.node)
    except OSError as error:
        raise ListenError(f"cannot use UDP {host}:{port}: {error}") from error


def _limits(callers):
    return HttpLimits(
        max_head_bytes=callers.max_head_bytes,
        max_body_bytes=callers.max_body_bytes,
        head_timeout_s=callers.head_timeout_s,
        body_timeout_s=callers.body_timeout_s,
        idle_timeout_s=callers.idle_timeout_s,
    )


def _server_context(tls):
    if tls.mode is TlsMode.OFF:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    _load_certificate(context, tls)
    if tls.authority_file:
        context.load_verify_locations(tls.authority_file)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _client_context(tls):
    """Return the context for connecting to peers, which have IP numbers only."""
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
