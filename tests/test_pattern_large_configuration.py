"""Load pattern: a large configuration reaches a region over a narrow link.

The links are those of the users' grown deployment: 60 Mbit/s between regions and
10 Mbit/s for a VM. A configuration of 1,200 routes is some 250 kB.
"""

import unittest

from comfreyusher.feeds import rank_readers
from tests.region import Region

NODES = 52
REGION_MBPS = 60.0
NODE_MBPS = 10.0
ROUTES = 1200
APPLY_S = 3.0


class LargeConfigurationTests(unittest.TestCase):
    def region(self, **kwargs):
        region = Region(NODES, REGION_MBPS, NODE_MBPS, APPLY_S, **kwargs)
        region.publish(1, 10)
        region.start()
        region.run(8.0)
        return region

    # Guards against a version with many new routes that is late on some nodes.
    def test_many_new_routes_are_in_force_in_time(self):
        region = self.region()
        region.publish(2, ROUTES)
        region.run(10.0)
        self.assertEqual(region.find_late_nodes(2, 8.0 + APPLY_S), [])

    # Guards against changes in quick succession that fill the link with documents.
    def test_a_series_of_changes_is_in_force_in_time(self):
        region = self.region()
        for step in range(12):
            region.publish(2 + step, ROUTES)
            region.run(0.33)
        ended_s = region.now
        region.run(10.0)
        self.assertEqual(region.find_late_nodes(13, ended_s + APPLY_S), [])

    # Guards against reads of the store that time out because all VMs of a region
    # start at once.
    def test_a_region_that_starts_at_once_has_its_configuration_in_time(self):
        region = Region(NODES, REGION_MBPS, NODE_MBPS, APPLY_S)
        region.publish(1, ROUTES)
        region.start()
        region.run(10.0)
        self.assertEqual(region.find_late_nodes(1, APPLY_S), [])

    # Guards against nodes that get a configuration only with their late read of the
    # store, since their parent is dead but still counted as alive.
    def test_a_dead_parent_delays_no_node_by_half_of_the_bound(self):
        names = [f"vm-{number}.1" for number in range(0, NODES, 3)]
        root = rank_readers("d0", names)[0]
        region = self.region(silent=(root,))
        region.publish(2, 10)
        region.run(10.0)
        late = region.find_late_nodes(2, 8.0 + APPLY_S * 0.4)
        self.assertEqual([name for name in late if name != root], [])

    # Guards against traffic on the narrow link that grows with the number of nodes.
    def test_few_nodes_read_the_store(self):
        region = self.region()
        before = region.link.transmitted_bytes
        region.publish(2, ROUTES)
        region.run(5.0)
        size = len(region.records[-1].value)
        self.assertLess(region.link.transmitted_bytes - before, 5 * size)


if __name__ == "__main__":
    unittest.main()
