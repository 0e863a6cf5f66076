"""Routes of odd paths: which one matches, and how much work that takes."""

import collections
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.declarations import Part, PlatformConfiguration, Route
from comfreyusher.flow import replace
from comfreyusher.routing import (
    RoutingTable,
    find_route,
    set_published_routes,
    update_table,
)
from tests.test_declarations import fold, service_text

SLASHES = 15_900
MAX_LOOKUPS = 200
PATHS = st.text("/ab", max_size=9).map("/{}".format)


class CountingTable(dict):
    """A table that counts its look-ups and the characters that they hash."""

    counts = collections.Counter()

    def get(self, key, default=None):
        """Look up a key, and count it."""
        self.counts["lookups"] += 1
        self.counts["characters"] += len(key[1])
        return super().get(key, default)


def build_table(published, declared):
    """Return a table with routes of the platform and of a declaration."""
    routes = (Route(prefix, "h", parts=(Part("p", 1),)) for prefix in published)
    table = update_table(RoutingTable(), fold([service_text("d", 0, *declared)]))
    return set_published_routes(table, PlatformConfiguration(1, tuple(routes)))


def match_each_prefix(published, declared, path):
    """Return the service and prefix of the match, by trying each prefix in turn."""
    declared = {prefix.rstrip("/") or "/" for prefix in declared}
    for host_routes, host_declared in ((published, ()), ((), declared)):
        end = len(path)
        while end > 0:
            if path[:end] in host_routes:
                return "p", path[:end]
            if (path[:end].rstrip("/") or "/") in host_declared:
                return "d", path[:end].rstrip("/") or "/"
            end = end - 1 if path[end - 1] == "/" else path.rfind("/", 0, end) + 1
    return None


class OddPathTests(unittest.TestCase):
    # Guards against a limit on the prefixes that changes which route matches.
    @given(st.lists(PATHS, max_size=3), st.lists(PATHS, max_size=3, unique=True), PATHS)
    @settings(max_examples=500, derandomize=True, deadline=None)
    def test_the_same_route_matches_as_when_each_prefix_is_tried(
        self, published, declared, path
    ):
        match = find_route(build_table(published, declared), "GET", "h", path)
        expected = match_each_prefix(published, declared, path)
        if expected is None:
            self.assertIsNone(match)
            return
        prefix = match.route.prefix
        if match.service == "d":
            prefix = prefix.rstrip("/") or "/"
        self.assertEqual((match.service, prefix), expected)

    # Guards against a path whose look-up takes the time of its length squared.
    def test_a_path_of_many_slashes_takes_few_lookups(self):
        table = build_table(["/history/"], ["/orders/long/prefix"])
        table = replace(
            table,
            routes=CountingTable(table.routes),
            published_routes=CountingTable(table.published_routes),
        )
        for path in ("/" * SLASHES, "/a" * (SLASHES // 2), "a/" * (SLASHES // 2)):
            CountingTable.counts.clear()
            self.assertIsNone(find_route(table, "GET", "h", path))
            self.assertLess(CountingTable.counts["lookups"], MAX_LOOKUPS)
            self.assertLess(CountingTable.counts["characters"], len(path))


if __name__ == "__main__":
    unittest.main()
