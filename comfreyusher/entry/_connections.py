"""Upstreams that this node has idle connections to, which owners prefer.

What is kept is a hint: the connection may be gone, and then a new one is opened.
"""

from comfreyusher.flow import replace

# An upstream may forget an idle connection without a sign. A request that must not be
# repeated would then be lost, so it only uses connections that were in use just now.
NON_IDEMPOTENT_MAX_IDLE_S = 1.0
IDEMPOTENT_MAX_IDLE_S = 6.0
MAX_TOLD_CONNECTIONS = 8  # a datagram stays below 1,400 bytes
MAX_KEPT_CONNECTIONS = 32


def find_max_idle_s(route):
    """Return how long a connection may have been idle for a request of a route."""
    return IDEMPOTENT_MAX_IDLE_S if route.idempotent else NON_IDEMPOTENT_MAX_IDLE_S


def record_idle_connection(state, attempt):
    """Return the state after a whole response, whose connection is idle now."""
    if not state.reuses_connections or _closes(attempt.head):
        return state
    group_name = attempt.grant_request.group
    kept = _without(state.idle_connections.get(group_name, ()), attempt.upstream)
    kept = (*kept, (attempt.upstream, state.now_s))[-MAX_KEPT_CONNECTIONS:]
    idle_connections = state.idle_connections.set(group_name, kept)
    return replace(state, idle_connections=idle_connections)


def record_used_connection(state, group_name, upstream):
    """Return the state after a request was sent to an upstream."""
    known = state.idle_connections.get(group_name, ())
    kept = _without(known, upstream)
    if len(kept) == len(known):
        return state
    idle_connections = state.idle_connections.set(group_name, kept)
    return replace(state, idle_connections=idle_connections)


def find_connected_upstreams(state, group_name, route):
    """Return upstreams of a group with a usable idle connection, the newest first."""
    oldest_s = state.now_s - find_max_idle_s(route)
    newest = reversed(state.idle_connections.get(group_name, ()))
    usable = tuple(name for name, since_s in newest if since_s > oldest_s)
    return usable[:MAX_TOLD_CONNECTIONS]


def _without(connections, upstream):
    return tuple(pair for pair in connections if pair[0] != upstream)


def _closes(head):
    """Tell whether a response closes its connection."""
    return any(
        name.lower() == b"connection" and b"close" in value.lower()
        for name, value in head.headers
    )
