"""Entries of the store, as the platform's operator and the upstreams write them."""

import random


def build_configuration(version, routes):
    """Return the operator's configuration with a version and routes."""
    return {"version": f"{version:08x}", "resources": routes}


def build_route(name, host, path, service, kind="safe", timeout="2000ms", target=""):
    """Return a route of a configuration; an empty ``target`` leaves it out."""
    durations = {"timeout": timeout}
    if target:
        durations["target_latency"] = target
    return {
        "entry_kind": "routes",
        "metadata": {"name": name},
        "spec": {
            "hostname": host,
            "path_prefix": path,
            "kind": kind,
            **durations,
            "service": service,
            "max_attempts": 2,
        },
    }


def build_random_routes(route_count, seed, host_count, choose_service, target=""):
    """Return routes on a number of hosts, with names and paths drawn from a seed.

    ``choose_service`` returns the service of a route by the number of the route.
    """
    rng = random.Random(seed)
    return [
        build_route(
            f"r-{rng.getrandbits(40):x}",
            f"h{number % host_count}.example",
            f"/{rng.getrandbits(40):x}/",
            choose_service(number),
            target=target,
        )
        for number in range(route_count)
    ]


def build_client_account(name, keys, **fields):
    """Return a client account of a configuration; ``fields`` are added to it."""
    return {
        "entry_kind": "tenants",
        "metadata": {"name": name},
        "spec": {"api_keys": list(keys), **fields},
    }


def build_upstream_entry(**fields):
    """Return an upstream's entry; ``fields`` replace its default values."""
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
