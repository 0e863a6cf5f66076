"""Which idle connections a node names to owners."""

import dataclasses
import types
import unittest

from comfreyusher.entry._connections import (
    IDEMPOTENT_MAX_IDLE_S,
    MAX_KEPT_CONNECTIONS,
    MAX_TOLD_CONNECTIONS,
    NON_IDEMPOTENT_MAX_IDLE_S,
    find_connected_upstreams,
    record_idle_connection,
    record_used_connection,
)
from comfreyusher.entry._state import EntryState
from comfreyusher.messages import ResponseHead
from comfreyusher.platform import decode_terms

LOOKUP = types.SimpleNamespace(idempotent=True)
ORDER = types.SimpleNamespace(idempotent=False)


def answered(upstream, headers=()):
    """Return an attempt that an upstream of the group has answered."""
    return types.SimpleNamespace(
        grant_request=types.SimpleNamespace(group="s@r"),
        upstream=upstream,
        head=ResponseHead(200, headers),
    )


class ConnectionTests(unittest.TestCase):
    def setUp(self):
        self.state = EntryState("n.1", "r", "d", reuses_connections=True, now_s=100.0)

    def end(self, upstream, at_s=100.0, headers=()):
        """Record the response of an upstream at a time."""
        self.state = dataclasses.replace(self.state, now_s=at_s)
        self.state = record_idle_connection(self.state, answered(upstream, headers))

    def connected(self, route, at_s=100.0):
        """Return what the node names at a time."""
        state = dataclasses.replace(self.state, now_s=at_s)
        return find_connected_upstreams(state, "s@r", route)

    # Guards against orders on connections that the upstream may have forgotten.
    def test_old_connections_are_only_for_requests_that_may_be_repeated(self):
        self.end("a")
        soon_s = 100.0 + NON_IDEMPOTENT_MAX_IDLE_S
        self.assertEqual(self.connected(ORDER, soon_s - 0.1), ("a",))
        self.assertEqual(self.connected(ORDER, soon_s + 0.1), ())
        self.assertEqual(self.connected(LOOKUP, soon_s + 0.1), ("a",))
        self.assertEqual(self.connected(LOOKUP, 100.1 + IDEMPOTENT_MAX_IDLE_S), ())

    # Guards against naming connections that are in use or closed.
    def test_used_and_closed_connections_are_not_named(self):
        self.end("a")
        self.end("b", headers=((b"Connection", b"Close"),))
        self.state = record_used_connection(self.state, "s@r", "a")
        self.assertEqual(self.connected(LOOKUP), ())

    # Guards against grant requests that outgrow a datagram, and state without bound.
    def test_what_is_kept_and_named_is_bounded(self):
        for number in range(100):
            self.end(f"u{number}")
        self.assertEqual(len(self.state.idle_connections["s@r"]), MAX_KEPT_CONNECTIONS)
        named = self.connected(LOOKUP)
        self.assertEqual(len(named), MAX_TOLD_CONNECTIONS)
        self.assertEqual(named[0], "u99")

    # Guards against a change for deployments whose terms do not ask for reuse.
    def test_nothing_is_named_unless_the_terms_call_for_it(self):
        self.assertFalse(decode_terms(("base", "cost")).reuses_connections)
        self.assertTrue(decode_terms(("base", "pool")).reuses_connections)
        self.state = dataclasses.replace(self.state, reuses_connections=False)
        self.end("a")
        self.assertEqual(self.connected(LOOKUP), ())
