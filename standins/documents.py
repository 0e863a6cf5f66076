"""Documents as the platform's operator and its upstreams write them into the store."""

import random


def configuration(version, routes):
    """Return the operator's configuration."""
    return {"version": f"{version:08x}", "resources": routes}


def route(name, host, path, service, kind="safe", timeout="2000ms", target=""):
    """Return a route of a configuration; without ``target`` it has none."""
    times = {"timeout": timeout}
    if target:
        times["target_latency"] = target
    return {
        "entry_kind": "routes",
        "metadata": {"name": name},
        "spec": {
            "hostname": host,
            "path_prefix": path,
            "kind": kind,
            **times,
            "service": service,
            "max_attempts": 2,
        },
    }


def random_routes(count, seed, hosts, service_of, target=""):
    """Return routes on a number of hosts, with names and paths from a seed.

    ``service_of`` returns the service of a route by its number.
    """
    chance = random.Random(seed)
    return [
        route(
            f"r-{chance.getrandbits(40):x}",
            f"h{number % hosts}.example",
            f"/{chance.getrandbits(40):x}/",
            service_of(number),
            target=target,
        )
        for number in range(count)
    ]


def upstream_entry(**fields):
    """Return an upstream's entry, with some fields set."""
    return {
        "service": "s",
        "address": "10.0.0.9:80",
        "zone": "d",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "warmup_left": "0ms",
        "born": 0,
        "seq": 1,
        **fields,
    }
