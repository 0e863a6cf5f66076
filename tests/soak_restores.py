"""Restores of the store from older copies, as one of the faults of the soak."""

import time

COPY_AGES_S = (0.5, 2.0, 6.0)
MAX_REWRITE_S = 1.5
QUIET_S = 3.0


class StoreRestores:
    """Restores the store now and then; its owners write the rest again.

    ``soak`` is the running ``Soak``, whose entries nobody changes meanwhile.
    """

    def __init__(self, soak, rng):
        self.soak = soak
        self.random = rng

    def run(self):
        """Restore the store until the soak stops."""
        soak = self.soak
        while not soak.stopping.wait(self.random.uniform(6.0, 12.0)):
            with soak.entries_lock:
                soak.last_store_fault_s = float("inf")
                self.restore()
                soak.last_store_fault_s = time.monotonic()

    def restore(self):
        """Restore the store once; find nodes that go back to an older configuration."""
        soak = self.soak
        restored_s = time.monotonic()
        routes = self.find_served_routes()
        soak.fleet.restore_platform(self.random.choice(COPY_AGES_S))
        time.sleep(self.random.uniform(0.0, MAX_REWRITE_S))
        self.check_served_routes(routes, restored_s)
        soak.write_configuration()
        for name in soak.entries:
            soak.write_upstream_again(name)

    def find_served_routes(self):
        """Return, by name, each node and the newest route that it serves."""
        routes = {}
        for name, node in list(self.soak.fleet.nodes.items()):
            for number in range(self.soak.version - 2, -1, -1):
                path = f"/new-{number}/"
                if self.soak.request_status(node, path) == 200:
                    routes[name] = (node, path)
                    break
        return routes

    def check_served_routes(self, routes, restored_s):
        """Find nodes without faults that no longer know a route."""
        for name, (node, path) in routes.items():
            status = self.soak.request_status(node, path)
            is_quiet = self.soak.last_node_fault_s[name] < restored_s - QUIET_S
            if status == 404 and is_quiet:
                self.soak.add_finding(f"REVERTED: {name} returned 404 for {path}")
