"""Slopes of memory, bytes and processor time over sizes, measured in this process."""

import dataclasses
import gc
import random
import statistics
import time
import tracemalloc

import immutables
import msgspec

from comfreyusher.accounts import AccountEntry, encode_account_record
from comfreyusher.accounts._entry import encode_entry
from comfreyusher.declarations import (
    Declarations,
    Part,
    PlatformConfiguration,
    Profile,
    Route,
    apply_record,
    digest_key,
    encode_record,
    new_record,
    read_newest_records,
)
from comfreyusher.feeds import UpstreamRegistry, apply_delta, compress_record
from comfreyusher.flow import replace
from comfreyusher.membership import (
    GossipSettings,
    Ownership,
    advance_time,
    handle_message,
    new_state,
    rank_owners,
    update_ownership,
)
from comfreyusher.messages import (
    AttemptReport,
    FeedWatermarks,
    GossipKind,
    GossipMessage,
    GrantRequest,
    MemberRecord,
    RegisteredUpstream,
    TopicWatermark,
    UpstreamDelta,
    Verdict,
    WorkClass,
)
from comfreyusher.node import PlanState, derive_plans, update_upstream_specs
from comfreyusher.owner import CheckDue, Plan, UpstreamSpec, decide, new_group
from comfreyusher.peering._codec import encode_datagram
from comfreyusher.platform import Record
from comfreyusher.routing import (
    RoutingTable,
    find_customer,
    find_route,
    set_published_routes,
    update_table,
)
from standins.documents import build_configuration, build_random_routes

SEED = 20261204
STARTUP_TICKS = 10
MEMBERS = (100, 300, 1000, 3000)
ROUTES = (1000, 4000, 12000, 33000)
CUSTOMERS = (1000, 6000, 20000, 48000)
UPSTREAMS = (10, 30, 100, 300)
ALL_UPSTREAMS = (1000, 4000, 12000, 24000)
GROUPS = (100, 400, 800, 1600)
ENTRIES = (100, 500, 1000, 2000)
ROUTES_PER_SERVICE = 41
GOSSIP = GossipSettings()


@dataclasses.dataclass(frozen=True)
class Slope:
    """A straight line through measured points; ``correlation`` is Pearson's r."""

    name: str
    unit: str
    sizes: tuple
    values: tuple
    slope: float
    intercept: float
    correlation: float

    def value_at(self, size):
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(name, unit, sizes, values):
    """Return the ``Slope`` of measured points by linear regression."""
    regression = statistics.linear_regression(sizes, values)
    flat = len(set(values)) == 1
    correlation = 1.0 if flat else statistics.correlation(sizes, values)
    return Slope(
        name,
        unit,
        sizes,
        tuple(values),
        regression.slope,
        regression.intercept,
        correlation,
    )


def measure_seconds(action, times):
    """Return the processor seconds of one call, as the minimum of three rounds."""
    rounds = []
    for _ in range(3):
        gc.collect()
        started = time.process_time()
        for _ in range(times):
            action()
        rounds.append((time.process_time() - started) / times)
    return min(rounds)


def measure_bytes(build):
    """Return the bytes that the result of ``build`` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return size


def measure_slope(name, unit, sizes, measure_value):
    """Measure a value at all sizes, and return its ``Slope``."""
    return fit_line(name, unit, sizes, [measure_value(size) for size in sizes])


# Membership ----------------------------------------------------------------------


def new_member(number):
    """Return the member record of a node."""
    name = f"vm-{number:05d}"
    return MemberRecord(
        f"{name}.1796379000000",
        name,
        "10.0.0.1",
        7001,
        7000,
        f"data-centre-{number % 6}",
        f"region-{number % 2}",
        1796379000000,
    )


def build_member_state(count):
    """Return the membership state of a node that knows ``count`` members."""
    state = new_state(new_member(0))
    for start in range(1, count, 16):
        page = tuple(new_member(n) for n in range(start, min(count, start + 16)))
        message = GossipMessage("x.1", GossipKind.PAGE, members=page)
        state = handle_message(state, message, 0.0, GOSSIP).state
    return dataclasses.replace(state, remaining_sends=immutables.Map())


def shuffle(names):
    """Return names in a random order that is the same in each run."""
    return tuple(random.Random(SEED).sample(names, len(names)))


def time_gossip_period(count):
    """Return the time of one gossip period: five ticks, and a ping with changes."""
    state = build_member_state(count)
    for _ in range(STARTUP_TICKS):
        state = advance_time(state, 0.0, GOSSIP, shuffle).state
    changed_records = tuple(new_member(n) for n in range(1, 9))
    ping = GossipMessage("vm-00001.1", GossipKind.PING, 1, "", changed_records, 5)

    def run():
        now = 10.0
        current = state
        for _ in range(5):
            now += 0.2
            current = advance_time(current, now, GOSSIP, shuffle).state
        handle_message(current, ping, now, GOSSIP)

    return measure_seconds(run, 5)


def measure_membership():
    """Return the slopes of membership."""
    return [
        measure_slope(
            "membership state",
            "B",
            MEMBERS,
            lambda n: measure_bytes(lambda: build_member_state(n)),
        ),
        measure_slope("membership period", "s", MEMBERS, time_gossip_period),
        measure_slope(
            "change of one member, ranking of 1,600 groups",
            "s",
            MEMBERS,
            time_member_change,
        ),
    ]


def time_member_change(count):
    """Return the time to remove one member from all rankings and add it again."""
    members = [new_member(n) for n in range(count)]
    ownership = build_ownership(members, 1600)

    def run():
        remaining = update_ownership(ownership, members[1:])
        for group in range(1600):
            remaining = rank_owners(
                remaining, f"group-{group}", f"region-{group % 2}"
            ).ownership
        update_ownership(remaining, members)

    return measure_seconds(run, 1)


def build_ownership(members, groups):
    """Return an ownership with cached rankings of a number of groups."""
    ownership = update_ownership(Ownership(), members)
    for group in range(groups):
        region = f"region-{group % 2}"
        ownership = rank_owners(ownership, f"group-{group}", region).ownership
    return ownership


def measure_gossip_sizes():
    """Return the bytes of a ping without and with changed records, and of a page."""
    own = new_member(0)
    empty_ping = GossipMessage(own.node, GossipKind.PING, 10**6, "", (own,), 10**6)
    changed_records = (own, *(new_member(n) for n in range(1, 9)))
    full_ping = dataclasses.replace(empty_ping, members=changed_records)
    page = dataclasses.replace(
        empty_ping, members=tuple(new_member(n) for n in range(16))
    )
    return tuple(len(encode_datagram(m)) + 16 for m in (empty_ping, full_ping, page))


# Configuration -------------------------------------------------------------------


def build_platform_configuration(routes):
    """Return the platform's configuration with a number of routes."""
    route_list = tuple(
        Route(f"/s{n % 800}/r{n}/", "h", parts=(Part(f"service-{n % 800}", 1),))
        for n in range(routes)
    )
    return PlatformConfiguration(1, route_list)


def measure_configuration_bytes(routes):
    """Return the size of the configuration document as nodes send it, compressed."""
    route_list = build_random_routes(
        routes, routes, 100, lambda number: f"service-{number % 800}"
    )
    value = msgspec.json.encode(build_configuration(1, route_list))
    return len(compress_record(Record("config", value, 1)).value)


def encode_customers(customers):
    """Return the encoded records of a number of customers."""
    records = []
    for number in range(customers):
        body = {"name": f"customer-{number}", "key_digests": [digest_key(str(number))]}
        record = new_record("customer", body["name"], 0, body, "op")
        records.append(encode_record(record))
    return records


def apply_records(records):
    """Return the declarations after a profile and encoded records."""
    declarations = Declarations()
    profile = new_record("profile", "p", 0, {"name": "p"}, "op")
    for offset, text in enumerate([encode_record(profile), *records]):
        declarations = apply_record(declarations, offset, text)
    return declarations


def time_route_lookup(routes):
    """Return the time of one route lookup."""
    table = set_published_routes(RoutingTable(), build_platform_configuration(routes))
    return measure_seconds(
        lambda: find_route(table, "GET", "h", "/s7/r7/a/b?c=d"), 2000
    )


def time_configuration_change(routes):
    """Return the time to apply a configuration in which one route changed."""
    first = build_platform_configuration(routes)
    table = set_published_routes(RoutingTable(), first)
    other = replace(first.routes[0], deadline_ms=1)
    after = replace(first, version=2, routes=(other, *first.routes[1:]))
    return measure_seconds(lambda: set_published_routes(table, after), 2)


def time_customer_lookup(customers):
    """Return the time of one customer lookup."""
    table = update_table(RoutingTable(), apply_records(encode_customers(customers)))
    return measure_seconds(lambda: find_customer(table, "7"), 2000)


def time_declaration_change(customers):
    """Return the time to apply one declaration and to update the routing table."""
    declarations = apply_records(encode_customers(customers))
    table = update_table(RoutingTable(), declarations)
    body = {"name": "customer-7", "key_digests": [digest_key("other")]}
    text = encode_record(new_record("customer", "customer-7", 1, body, "op"))

    def run():
        after = apply_record(declarations, declarations.offset, text)
        update_table(table, after)

    return measure_seconds(run, 2)


def measure_table_bytes(records):
    """Return the bytes of the declarations and the routing table."""

    def build():
        declarations = apply_records(records)
        return declarations, update_table(RoutingTable(), declarations)

    return measure_bytes(build)


def time_declaration_load(customers):
    """Return the time in which a new node loads all declarations."""
    records = list(enumerate(encode_customers(customers)))

    def run():
        update_table(RoutingTable(), read_newest_records(records, len(records)))

    return measure_seconds(run, 1)


def measure_configuration():
    """Return the slopes of the configuration."""
    return [
        measure_slope("route lookup", "s", ROUTES, time_route_lookup),
        measure_slope(
            "routes in memory",
            "B",
            ROUTES,
            lambda n: measure_bytes(
                lambda: set_published_routes(
                    RoutingTable(), build_platform_configuration(n)
                )
            ),
        ),
        measure_slope("configuration applied", "s", ROUTES, time_configuration_change),
        measure_slope(
            "configuration between nodes", "B", ROUTES, measure_configuration_bytes
        ),
        measure_slope("customer lookup", "s", CUSTOMERS, time_customer_lookup),
        measure_slope(
            "customers in memory",
            "B",
            CUSTOMERS,
            lambda n: measure_table_bytes(encode_customers(n)),
        ),
        measure_slope(
            "one declaration applied", "s", CUSTOMERS, time_declaration_change
        ),
        measure_slope(
            "declarations loaded by a new node", "s", CUSTOMERS, time_declaration_load
        ),
    ]


# Upstreams and owners ------------------------------------------------------------


def new_upstream(number):
    """Return the registry entry of an upstream."""
    return RegisteredUpstream(
        f"i-{number:010x}",
        f"service-{number % 800}",
        "10.0.0.1",
        80,
        f"data-centre-{number % 6}",
        4,
        started_ms=1796379000000,
    )


def map_regions():
    """Return the region of each data centre."""
    return {f"data-centre-{n}": f"region-{n % 2}" for n in range(6)}


def time_plan_update(upstreams):
    """Return the time to derive plans of 800 services after one upstream changed."""
    table = set_published_routes(RoutingTable(), build_platform_configuration(800))
    entries = [new_upstream(n) for n in range(upstreams)]
    plan_state = update_upstream_specs(
        PlanState(), entries, map_regions(), "region-0", 1.0
    )
    plan_state = derive_plans(plan_state, table)
    leaving = replace(new_upstream(7), leaving=True)

    def run():
        after = update_upstream_specs(
            plan_state, (leaving,), map_regions(), "region-0", 1.0
        )
        derive_plans(after, table)

    return measure_seconds(run, 2)


def build_registry(upstreams):
    """Return a registry of a number of upstreams."""
    entries = tuple(new_upstream(n) for n in range(upstreams))
    return apply_delta(UpstreamRegistry(), entries, 0.0, 0.0).registry


def measure_feed_sizes():
    """Return the bytes of a reader's watermarks, and of a delta of one upstream."""
    topic_watermarks = tuple(
        TopicWatermark(topic, 10**6, 10**6, 500)
        for topic in ("configuration", "upstreams", "declarations")
    )
    watermarks = FeedWatermarks("vm-00001.1796379000000", topic_watermarks)
    delta = UpstreamDelta("vm-00001.1796379000000", 10**6, 10**6, (new_upstream(7),))
    return tuple(len(encode_datagram(body)) + 16 for body in (watermarks, delta))


def build_group(upstreams):
    """Return a group of a number of upstreams without slow start."""
    specs = tuple(UpstreamSpec(f"u{n}", "h", 1, 4) for n in range(upstreams))
    plan = Plan("g", Profile(name="p", slow_start_ms=0), upstreams * 4, specs)
    group = new_group(plan, 0.0)
    return decide(group, CheckDue(), 1.0).state


def new_grant_request(number):
    """Return a grant request with a request number."""
    return GrantRequest(
        "vm-00001.1796379000000",
        number,
        1,
        "g",
        "0f0f0f0f",
        WorkClass.SHORT,
        0,
        True,
        False,
        1,
        2000,
        1200,
        0,
        False,
        False,
        "data-centre-1",
        "9c41d07be2a35f68",
        "0123456789abcdef",
    )


def time_request(upstreams):
    """Return the owner's time for one grant request and its attempt report."""
    state = {"group": build_group(upstreams), "number": 0}

    def run():
        state["number"] += 1
        step = decide(state["group"], new_grant_request(state["number"]), 2.0)
        grant = step.messages[0].body.body
        report = AttemptReport(grant.key, "g", grant.upstream, Verdict.GOOD, 10)
        state["group"] = decide(step.state, report, 2.01).state

    return measure_seconds(run, 200)


def measure_exchange_bytes():
    """Return the bytes of a grant request, its grant, the report and its ack."""
    step = decide(build_group(15), new_grant_request(1), 2.0)
    grant = step.messages[0].body.body
    report = AttemptReport(grant.key, "g", grant.upstream, Verdict.GOOD, 10)
    ack = decide(step.state, report, 2.1).messages[0].body.body
    bodies = (new_grant_request(1), grant, report, ack)
    return sum(len(encode_datagram(body)) + 16 for body in bodies)


def time_check(upstreams):
    """Return the owner's time for one periodic check of a group."""
    group = build_group(upstreams)
    return measure_seconds(lambda: decide(group, CheckDue(), 2.0), 50)


def measure_owner():
    """Return the slopes of plans, registry and owner."""
    return [
        measure_slope("plans of all services", "s", ALL_UPSTREAMS, time_plan_update),
        measure_slope(
            "upstream registry in memory",
            "B",
            ALL_UPSTREAMS,
            lambda n: measure_bytes(lambda: build_registry(n)),
        ),
        measure_slope("owner, one request", "s", UPSTREAMS, time_request),
        measure_slope("owner, one periodic check", "s", UPSTREAMS, time_check),
        measure_slope(
            "owner, one group in memory",
            "B",
            UPSTREAMS,
            lambda n: measure_bytes(lambda: build_group(n)),
        ),
    ]


# Accounts ------------------------------------------------------------------------


def build_account_entries(count):
    """Return account entries like those that a node writes."""
    source = random.Random(SEED)
    return [
        AccountEntry(
            "vm-00001.1796379000000",
            number,
            1796379000000 + number * 4,
            f"{source.getrandbits(128):032x}",
            f"customer-{source.randrange(48000)}",
            f"service-{source.randrange(800)}",
            "GET",
            f"/s{source.randrange(800)}/r{source.randrange(41)}/{source.randrange(10**6)}",
            "done",
            200,
            1796379000010 + number * 4,
        )
        for number in range(1, count + 1)
    ]


def measure_accounts():
    """Return the slopes of the request accounts."""
    return [
        measure_slope(
            "account batch in the log",
            "B",
            ENTRIES,
            lambda n: len(encode_account_record("o", "o", build_account_entries(n))),
        ),
        measure_slope(
            "compression of an account batch",
            "s",
            ENTRIES,
            lambda n: measure_seconds(
                lambda: encode_account_record("o", "o", build_account_entries(n)), 1
            ),
        ),
        measure_slope(
            "account entries replicated to a peer",
            "B",
            ENTRIES,
            lambda n: sum(
                len(encode_entry(entry)) for entry in build_account_entries(n)
            ),
        ),
    ]


def measure_all():
    """Return all slopes by name."""
    slopes = [
        *measure_membership(),
        *measure_configuration(),
        *measure_owner(),
        *measure_accounts(),
    ]
    return {slope.name: slope for slope in slopes}
