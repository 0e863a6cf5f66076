"""Slopes of state and processor time over sizes, measured in this process."""

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
from comfreyusher.node import PlanBook, derive_plans, update_members
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
TICKS_OF_START = 10
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
    """A straight line through measured points; ``fit`` is Pearson's r."""

    name: str
    unit: str
    sizes: tuple
    values: tuple
    slope: float
    intercept: float
    fit: float

    def at(self, size):
        """Return the value at a size."""
        return self.intercept + self.slope * size


def line_through(name, unit, sizes, values):
    """Return the slope of measured points."""
    found = statistics.linear_regression(sizes, values)
    flat = len(set(values)) == 1
    fit = 1.0 if flat else statistics.correlation(sizes, values)
    return Slope(name, unit, sizes, tuple(values), found.slope, found.intercept, fit)


def seconds_of(action, times):
    """Return the processor seconds of one call, the best of three rounds."""
    rounds = []
    for _ in range(3):
        gc.collect()
        started = time.process_time()
        for _ in range(times):
            action()
        rounds.append((time.process_time() - started) / times)
    return min(rounds)


def bytes_of(build):
    """Return the bytes that what ``build`` makes keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def measure(name, unit, sizes, point):
    """Return the slope of a measure over sizes."""
    return line_through(name, unit, sizes, [point(size) for size in sizes])


# Membership ----------------------------------------------------------------------


def member(number):
    """Return the record of a node."""
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


def known_state(count):
    """Return the state of a node that knows a number of members."""
    state = new_state(member(0))
    for start in range(1, count, 16):
        page = tuple(member(n) for n in range(start, min(count, start + 16)))
        message = GossipMessage("x.1", GossipKind.PAGE, members=page)
        state = handle_message(state, message, 0.0, GOSSIP).state
    return dataclasses.replace(state, remaining_sends=immutables.Map())


def shuffle(names):
    """Return names in random order."""
    return tuple(random.Random(SEED).sample(names, len(names)))


def period_seconds(count):
    """Return the time of one period: five ticks, a ping, an answer, news."""
    state = known_state(count)
    for _ in range(TICKS_OF_START):
        state = advance_time(state, 0.0, GOSSIP, shuffle).state
    news = tuple(member(n) for n in range(1, 9))
    ping = GossipMessage("vm-00001.1", GossipKind.PING, 1, "", news, 5)

    def run():
        now = 10.0
        current = state
        for _ in range(5):
            now += 0.2
            current = advance_time(current, now, GOSSIP, shuffle).state
        handle_message(current, ping, now, GOSSIP)

    return seconds_of(run, 5)


def measure_membership():
    """Return the slopes of the membership."""
    return [
        measure(
            "membership state",
            "B",
            MEMBERS,
            lambda n: bytes_of(lambda: known_state(n)),
        ),
        measure("membership period", "s", MEMBERS, period_seconds),
        measure(
            "change of one member, ranking of 1,600 groups",
            "s",
            MEMBERS,
            change_seconds,
        ),
    ]


def change_seconds(count):
    """Return the time to drop one member from all rankings and take it back."""
    members = [member(n) for n in range(count)]
    ownership = ranked(members, 1600)

    def run():
        less = update_ownership(ownership, members[1:])
        for group in range(1600):
            less = rank_owners(less, f"group-{group}", f"region-{group % 2}").ownership
        update_ownership(less, members)

    return seconds_of(run, 1)


def ranked(members, groups):
    """Return an ownership with rankings for a number of groups."""
    ownership = update_ownership(Ownership(), members)
    for group in range(groups):
        region = f"region-{group % 2}"
        ownership = rank_owners(ownership, f"group-{group}", region).ownership
    return ownership


def gossip_bytes():
    """Return the bytes of a ping with nothing new, and with full news."""
    own = member(0)
    quiet = GossipMessage(own.node, GossipKind.PING, 10**6, "", (own,), 10**6)
    news = (own, *(member(n) for n in range(1, 9)))
    busy = dataclasses.replace(quiet, members=news)
    page = dataclasses.replace(quiet, members=tuple(member(n) for n in range(16)))
    return tuple(len(encode_datagram(m)) + 16 for m in (quiet, busy, page))


# Configuration -------------------------------------------------------------------


def published(routes):
    """Return the operator's configuration with a number of routes."""
    made = tuple(
        Route(f"/s{n % 800}/r{n}/", "h", parts=(Part(f"service-{n % 800}", 1),))
        for n in range(routes)
    )
    return PlatformConfiguration(1, made)


def travelling_bytes(routes):
    """Return the size of the operator's document as it goes from node to node."""
    made = build_random_routes(
        routes, routes, 100, lambda number: f"service-{number % 800}"
    )
    value = msgspec.json.encode(build_configuration(1, made))
    return len(compress_record(Record("config", value, 1)).value)


def customer_texts(customers):
    """Return records of a number of customers."""
    texts = []
    for number in range(customers):
        body = {"name": f"customer-{number}", "key_digests": [digest_key(str(number))]}
        record = new_record("customer", body["name"], 0, body, "op")
        texts.append(encode_record(record))
    return texts


def fold(texts):
    """Return the catalogue after records."""
    catalogue = Declarations()
    profile = new_record("profile", "p", 0, {"name": "p"}, "op")
    for offset, text in enumerate([encode_record(profile), *texts]):
        catalogue = apply_record(catalogue, offset, text)
    return catalogue


def lookup_seconds(routes):
    """Return the time of one route lookup."""
    table = set_published_routes(RoutingTable(), published(routes))
    return seconds_of(lambda: find_route(table, "GET", "h", "/s7/r7/a/b?c=d"), 2000)


def publish_seconds(routes):
    """Return the time to take a configuration of which one route changed."""
    first = published(routes)
    table = set_published_routes(RoutingTable(), first)
    other = replace(first.routes[0], deadline_ms=1)
    after = replace(first, version=2, routes=(other, *first.routes[1:]))
    return seconds_of(lambda: set_published_routes(table, after), 2)


def customer_seconds(customers):
    """Return the time of one customer lookup."""
    table = update_table(RoutingTable(), fold(customer_texts(customers)))
    return seconds_of(lambda: find_customer(table, "7"), 2000)


def change_table_seconds(customers):
    """Return the time to fold one change and to build its tables."""
    catalogue = fold(customer_texts(customers))
    table = update_table(RoutingTable(), catalogue)
    body = {"name": "customer-7", "key_digests": [digest_key("other")]}
    text = encode_record(new_record("customer", "customer-7", 1, body, "op"))

    def run():
        after = apply_record(catalogue, catalogue.offset, text)
        update_table(table, after)

    return seconds_of(run, 2)


def tables_bytes(texts):
    """Return the bytes of catalogue and tables."""

    def build():
        catalogue = fold(texts)
        return catalogue, update_table(RoutingTable(), catalogue)

    return bytes_of(build)


def fresh_seconds(customers):
    """Return the time of a fresh node to take all declarations."""
    texts = list(enumerate(customer_texts(customers)))

    def run():
        update_table(RoutingTable(), read_newest_records(texts, len(texts)))

    return seconds_of(run, 1)


def measure_configuration():
    """Return the slopes of the configuration."""
    return [
        measure("route lookup", "s", ROUTES, lookup_seconds),
        measure(
            "routes in memory",
            "B",
            ROUTES,
            lambda n: bytes_of(
                lambda: set_published_routes(RoutingTable(), published(n))
            ),
        ),
        measure("configuration applied", "s", ROUTES, publish_seconds),
        measure("configuration as it travels", "B", ROUTES, travelling_bytes),
        measure("customer lookup", "s", CUSTOMERS, customer_seconds),
        measure(
            "customers in memory",
            "B",
            CUSTOMERS,
            lambda n: tables_bytes(customer_texts(n)),
        ),
        measure("one change applied", "s", CUSTOMERS, change_table_seconds),
        measure("declarations of a fresh node", "s", CUSTOMERS, fresh_seconds),
    ]


# Upstreams and owners ------------------------------------------------------------


def upstream(number):
    """Return an upstream's entry."""
    return RegisteredUpstream(
        f"i-{number:010x}",
        f"service-{number % 800}",
        "10.0.0.1",
        80,
        f"data-centre-{number % 6}",
        4,
        started_ms=1796379000000,
    )


def regions():
    """Return the region of each data centre."""
    return {f"data-centre-{n}": f"region-{n % 2}" for n in range(6)}


def plans_seconds(upstreams):
    """Return the time to derive 800 services' plans after one upstream changed."""
    table = set_published_routes(RoutingTable(), published(800))
    entries = [upstream(n) for n in range(upstreams)]
    book = update_members(PlanBook(), entries, regions(), "region-0", 1.0)
    book = derive_plans(book, table)
    leaving = replace(upstream(7), leaving=True)

    def run():
        after = update_members(book, (leaving,), regions(), "region-0", 1.0)
        derive_plans(after, table)

    return seconds_of(run, 2)


def listing(upstreams):
    """Return a listing of a number of upstreams."""
    entries = tuple(upstream(n) for n in range(upstreams))
    return apply_delta(UpstreamRegistry(), entries, 0.0, 0.0).registry


def feed_bytes():
    """Return the bytes of a reader's mark, and of a change of one upstream."""
    marks = tuple(
        TopicWatermark(topic, 10**6, 10**6, 500)
        for topic in ("configuration", "upstreams", "declarations")
    )
    mark = FeedWatermarks("vm-00001.1796379000000", marks)
    one = UpstreamDelta("vm-00001.1796379000000", 10**6, 10**6, (upstream(7),))
    return tuple(len(encode_datagram(body)) + 16 for body in (mark, one))


def owned_group(upstreams):
    """Return a group of a number of upstreams, warm."""
    members = tuple(UpstreamSpec(f"u{n}", "h", 1, 4) for n in range(upstreams))
    plan = Plan("g", Profile(name="p", slow_start_ms=0), upstreams * 4, members)
    group = new_group(plan, 0.0)
    return decide(group, CheckDue(), 1.0).state


def ask_of(number):
    """Return an ask."""
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


def request_seconds(upstreams):
    """Return the owner's time for one ask and its report."""
    state = {"group": owned_group(upstreams), "number": 0}

    def run():
        state["number"] += 1
        step = decide(state["group"], ask_of(state["number"]), 2.0)
        grant = step.messages[0].body.body
        report = AttemptReport(grant.key, "g", grant.upstream, Verdict.GOOD, 10)
        state["group"] = decide(step.state, report, 2.01).state

    return seconds_of(run, 200)


def grant_bytes():
    """Return the bytes of an ask, its grant, its report and the confirmation."""
    step = decide(owned_group(15), ask_of(1), 2.0)
    grant = step.messages[0].body.body
    report = AttemptReport(grant.key, "g", grant.upstream, Verdict.GOOD, 10)
    heard = decide(step.state, report, 2.1).messages[0].body.body
    bodies = (ask_of(1), grant, report, heard)
    return sum(len(encode_datagram(body)) + 16 for body in bodies)


def watch_seconds(upstreams):
    """Return the owner's time for one watch of a group."""
    group = owned_group(upstreams)
    return seconds_of(lambda: decide(group, CheckDue(), 2.0), 50)


def measure_owner():
    """Return the slopes of an owner."""
    return [
        measure("plans of all services", "s", ALL_UPSTREAMS, plans_seconds),
        measure(
            "list of upstreams in memory",
            "B",
            ALL_UPSTREAMS,
            lambda n: bytes_of(lambda: listing(n)),
        ),
        measure("owner, one request", "s", UPSTREAMS, request_seconds),
        measure("owner, one watch", "s", UPSTREAMS, watch_seconds),
        measure(
            "owner, one group in memory",
            "B",
            UPSTREAMS,
            lambda n: bytes_of(lambda: owned_group(n)),
        ),
    ]


# Accounts ------------------------------------------------------------------------


def entries(count):
    """Return account entries as a node would make them."""
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
    """Return the slopes of the accounts."""
    return [
        measure(
            "account batch in the log",
            "B",
            ENTRIES,
            lambda n: len(encode_account_record("o", "o", entries(n))),
        ),
        measure(
            "packing of an account batch",
            "s",
            ENTRIES,
            lambda n: seconds_of(
                lambda: encode_account_record("o", "o", entries(n)), 1
            ),
        ),
        measure(
            "account copies to a peer",
            "B",
            ENTRIES,
            lambda n: sum(len(encode_entry(entry)) for entry in entries(n)),
        ),
    ]


def measure_all():
    """Return all slopes by name."""
    found = [
        *measure_membership(),
        *measure_configuration(),
        *measure_owner(),
        *measure_accounts(),
    ]
    return {slope.name: slope for slope in found}
