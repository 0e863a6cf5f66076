"""Example fleet of the demo: two regions, three services, two customers."""

from standins.fleet import Fleet, Location

NAGYALFOLD_1 = Location("nagyalfold-1", "nagyalfold")
NAGYALFOLD_2 = Location("nagyalfold-2", "nagyalfold")
DUNANTUL_1 = Location("nyugat-dunantul-1", "nyugat-dunantul")
DUNANTUL_2 = Location("nyugat-dunantul-2", "nyugat-dunantul")
NODE_LOCATIONS = (NAGYALFOLD_1, DUNANTUL_1, NAGYALFOLD_2, DUNANTUL_2)
UPSTREAM_LOCATIONS = (NAGYALFOLD_1, NAGYALFOLD_2, DUNANTUL_1)
SLOTS = 4
CUSTOMER_KEYS = {
    "kecskemet-tofu": "kecskemet-tofu-key-0001",
    "szeged-tofu": "szeged-tofu-key-0000001",
}
PROFILES = (
    {"name": "crest", "floor_share": 0.5, "max_wait_ms": 800},
    {"name": "bulk", "floor_share": 0.5, "max_wait_ms": 20000},
)
SERVICES = (
    {
        "name": "round-sheets",
        "profile": "crest",
        "slots": {"nagyalfold": 8, "nyugat-dunantul": 4},
        "routes": [{"prefix": "/sheets", "deadline_ms": 2000}],
    },
    {
        "name": "confirmations",
        "profile": "crest",
        "slots": {"nagyalfold": 8, "nyugat-dunantul": 4},
        "routes": [
            {
                "prefix": "/confirmations",
                "methods": ["POST"],
                "idempotent": False,
                "deadline_ms": 5000,
            }
        ],
    },
    {
        "name": "uploads",
        "profile": "bulk",
        "slots": {"nagyalfold": 8, "nyugat-dunantul": 4},
        "routes": [
            {
                "prefix": "/uploads",
                "methods": ["PUT"],
                "work_class": "long",
                "deadline_ms": 60000,
            },
            {"prefix": "/stock", "methods": ["GET"]},
        ],
    },
)


def start_example(fleet=None, node_count=4, node_changes=None, services=SERVICES):
    """Start platform, upstreams and nodes, and publish the declarations."""
    fleet = fleet or Fleet()
    fleet.start_platform()
    for service in services:
        for location in UPSTREAM_LOCATIONS:
            name = f"{service['name']}-{location.data_centre}"
            fleet.start_upstream(name, service["name"], location, SLOTS)
    for index in range(node_count):
        location = NODE_LOCATIONS[index % len(NODE_LOCATIONS)]
        fleet.start_node(f"vm-{index + 1}", location, node_changes)
    fleet.wait_ready()
    publish_example(fleet, services)
    return fleet


def publish_example(fleet, services=SERVICES):
    """Publish the declarations, and wait until they are in force everywhere."""
    node = next(iter(fleet.nodes.values()))
    for profile in PROFILES:
        fleet.publish(node, "profile", profile)
    for service in services:
        fleet.publish(node, "service", service)
    for name, key in CUSTOMER_KEYS.items():
        report = fleet.publish_customer(node, name, key)
    fleet.wait_in_force(report["offset"])


def build_headers(customer, **extra):
    """Return the headers of a customer's request.

    ``extra`` headers have underscores in place of hyphens.
    """
    headers = {"Authorization": f"Bearer {CUSTOMER_KEYS[customer]}"}
    headers.update({name.replace("_", "-"): value for name, value in extra.items()})
    return headers
