"""Measures and prints the slopes, and writes docs/CAPACITY.md from them."""

import dataclasses
import pathlib
import sys

from comfreyusher.feeds._watermarks import DELTA_SENDS
from extras.capacity.idle import measure_idle_node
from extras.capacity.slopes import (
    measure_all,
    measure_exchange_bytes,
    measure_feed_sizes,
    measure_gossip_sizes,
)

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"
NODES = 2400
UPSTREAMS = 24000
SERVICES = 800
ROUTES = 33000
CUSTOMERS = 48000
REGIONS = 2
DATA_CENTRES = 6
PEAK_REQUESTS_PER_S = 580_000
REQUESTS_PER_NODE_PER_S = PEAK_REQUESTS_PER_S / NODES
CONFIGURATION_CHANGES_PER_DAY = 5000
VM_CHANGES_PER_DAY = 150 + 4300
DAY_S = 86400
MAX_CORE_SHARE = 0.019
MAX_MEMORY_MB = 128
MAX_CONTROL_BYTES_PER_S = 8000
MAX_APPENDS_PER_S = 300
LINK_BYTES_PER_S = 30_000_000 / 8
GROUPS = SERVICES * REGIONS
UPSTREAMS_PER_GROUP = UPSTREAMS // GROUPS
APPEND_BUDGET_PER_S = 200
CHECKS_PER_S = 10
WATERMARKS_PER_S = 2
STORE_BYTES = 400_000_000


@dataclasses.dataclass(frozen=True)
class Row:
    """One figure at full size for a role of a node or a part of the system."""

    role: str
    measure: str
    figure: str
    limit: str
    over: bool
    mechanism: str


def membership_rows(slopes, gossip):
    """Return the rows of a member of the gossip protocol."""
    ping_without_updates, ping_with_updates, page = gossip
    update_share = min(1.0, VM_CHANGES_PER_DAY * 4 / DAY_S * 34 / 2)
    ping = ping_without_updates + update_share * (
        ping_with_updates - ping_without_updates
    )
    sent = 2 * ping + page / 5
    changes_per_s = VM_CHANGES_PER_DAY * 2 / DAY_S
    change_s = slopes["change of one member, ranking of 1,600 groups"].value_at(NODES)
    period_s = slopes["membership period"].value_at(NODES)
    core = period_s + changes_per_s * change_s
    state_mb = slopes["membership state"].value_at(NODES) / 1e6
    return [
        build_row(
            "gossip member", "state", state_mb, "MB", MAX_MEMORY_MB, "records by name"
        ),
        build_row(
            "gossip member",
            "processor",
            core * 100,
            "% of a core",
            MAX_CORE_SHARE * 100,
            "one ping per period; rankings updated incrementally",
        ),
        build_row(
            "gossip member",
            "sent",
            sent,
            "B/s",
            MAX_CONTROL_BYTES_PER_S,
            "changed records travel on pings, a page of members every 5 periods",
        ),
    ]


def configuration_rows(slopes, sizes, idle):
    """Return the rows of configuration and upstreams, for all nodes and readers."""
    watermarks, delta = sizes
    memory = (
        slopes["routes in memory"].value_at(ROUTES)
        + slopes["customers in memory"].value_at(CUSTOMERS)
        + slopes["upstream registry in memory"].value_at(UPSTREAMS)
    ) / 1e6
    core = change_core(slopes)
    others = NODES / REGIONS - 1
    sent = others * WATERMARKS_PER_S * watermarks
    sent += VM_CHANGES_PER_DAY / DAY_S * delta * DELTA_SENDS * others
    reads = CONFIGURATION_CHANGES_PER_DAY / DAY_S * REGIONS
    received = (
        CONFIGURATION_CHANGES_PER_DAY
        / DAY_S
        * slopes["configuration between nodes"].value_at(ROUTES)
    )
    start_s = slopes["declarations loaded by a new node"].value_at(CUSTOMERS)
    return [
        build_row(
            "every node",
            "memory: program, routes, customers, upstream registry",
            memory + idle.memory_mb,
            "MB",
            MAX_MEMORY_MB,
            f"program {idle.memory_mb:.0f} MB idle (measured), tables in hash maps",
        ),
        build_row(
            "every node",
            "processor for changes of configuration and upstream registry",
            core * 100,
            "% of a core",
            MAX_CORE_SHARE * 100,
            "rules and plans that did not change are reused",
        ),
        build_row(
            "every node",
            "watermarks received from the reader",
            WATERMARKS_PER_S * watermarks,
            "B/s",
            MAX_CONTROL_BYTES_PER_S,
            "one reader per region",
        ),
        build_row(
            "reader",
            "watermarks and deltas sent to its region",
            sent,
            "B/s",
            MAX_CONTROL_BYTES_PER_S,
            "one datagram per node every half second",
        ),
        build_row(
            "store",
            "reads of new configurations",
            reads,
            "calls/s",
            2000,
            "one reader per region; nodes forward the configuration",
        ),
        build_row(
            "every node",
            "configuration received from its parent",
            received,
            "B/s",
            MAX_CONTROL_BYTES_PER_S,
            "the whole document, compressed, along a tree in each data centre",
        ),
        build_row(
            "new node", "processor for declarations", start_s, "s", 0, "fast decoder"
        ),
    ]


def change_core(slopes):
    """Return the share of a core for changes of configuration and upstreams."""
    plans_s = slopes["plans of all services"].value_at(UPSTREAMS)
    configuration_s = slopes["configuration applied"].value_at(ROUTES) + plans_s
    declaration_s = slopes["one declaration applied"].value_at(CUSTOMERS)
    changes = CONFIGURATION_CHANGES_PER_DAY / DAY_S * (configuration_s + declaration_s)
    return changes + VM_CHANGES_PER_DAY / DAY_S * plans_s


def total_row(slopes, idle):
    """Return the row of the whole control plane of one node."""
    changes_per_s = VM_CHANGES_PER_DAY * 2 / DAY_S
    membership = slopes["membership period"].value_at(NODES) + changes_per_s * slopes[
        "change of one member, ranking of 1,600 groups"
    ].value_at(NODES)
    checks = (
        slopes["owner, one periodic check"].value_at(UPSTREAMS_PER_GROUP)
        * CHECKS_PER_S
        * GROUPS
        / NODES
    )
    core = idle.core_share + membership + change_core(slopes) + checks
    return build_row(
        "every node",
        "processor for the whole control plane",
        core * 100,
        "% of a core",
        MAX_CORE_SHARE * 100,
        f"timers and reads of an idle node are {idle.core_share:.2%} of it (measured)",
    )


def owner_rows(slopes, exchange_bytes):
    """Return the rows of entry nodes and owners at the peak."""
    request_s = slopes["owner, one request"].value_at(UPSTREAMS_PER_GROUP)
    check_s = slopes["owner, one periodic check"].value_at(UPSTREAMS_PER_GROUP)
    groups = GROUPS / NODES
    lookup = slopes["route lookup"].value_at(ROUTES) + slopes[
        "customer lookup"
    ].value_at(CUSTOMERS)
    return [
        build_row(
            "entry",
            "route and customer lookup, of a core at the peak",
            lookup * REQUESTS_PER_NODE_PER_S * 100,
            "% of a core",
            0,
            "hash maps",
        ),
        build_row(
            "owner",
            f"decisions at the peak, groups of {UPSTREAMS_PER_GROUP}",
            request_s * REQUESTS_PER_NODE_PER_S * 100,
            "% of a core",
            0,
            "one queue per group",
        ),
        build_row(
            "owner",
            "periodic checks of its groups",
            check_s * CHECKS_PER_S * groups * 100,
            "% of a core",
            MAX_CORE_SHARE * 100,
            f"{groups:.2f} groups per node on average",
        ),
        build_row(
            "entry and owner",
            "datagrams of one request",
            exchange_bytes,
            "B",
            0,
            "grant request, grant, attempt report, acknowledgement",
        ),
        build_row(
            "owner",
            "busiest group: share of one core for decisions",
            request_s * PEAK_REQUESTS_PER_S / GROUPS * 100,
            "% of a core",
            0,
            f"{PEAK_REQUESTS_PER_S / GROUPS:.0f} requests/s if all groups "
            "get the same load",
        ),
    ]


def account_rows(slopes):
    """Return the rows of the request accounts."""
    entry = slopes["account batch in the log"].slope
    replication = slopes["account entries replicated to a peer"].slope
    compression = slopes["compression of an account batch"].slope
    per_node = REQUESTS_PER_NODE_PER_S * entry
    fleet = PEAK_REQUESTS_PER_S * entry
    hours = STORE_BYTES / (fleet * 0.25) / 3600
    return [
        build_row(
            "account writer",
            "compression",
            compression * REQUESTS_PER_NODE_PER_S * 100,
            "% of a core",
            MAX_CORE_SHARE * 100,
            "zlib, once per batch",
        ),
        build_row(
            "account writer",
            "log bytes of one node",
            per_node,
            "B/s",
            MAX_CONTROL_BYTES_PER_S,
            "one batch every few seconds",
        ),
        build_row(
            "account writer",
            "replication of accepted and ended requests to its replica node",
            2 * replication * REQUESTS_PER_NODE_PER_S,
            "B/s",
            MAX_CONTROL_BYTES_PER_S,
            "counted as control plane here, though part of each request",
        ),
        build_row(
            "log",
            "account appends of the fleet",
            APPEND_BUDGET_PER_S,
            "appends/s",
            MAX_APPENDS_PER_S,
            f"each node every {NODES / APPEND_BUDGET_PER_S:.0f} s",
        ),
        build_row(
            "region link",
            "accounts from the region without the store",
            fleet / REGIONS,
            "B/s",
            LINK_BYTES_PER_S,
            "batches are compressed on the link",
        ),
        build_row(
            "store",
            "retention of the accounts, at a mean load of a quarter of the peak",
            hours,
            "h",
            0,
            "400 MB in all; keyed batches stay until it is full",
        ),
    ]


def build_row(role, measure, value, unit, limit, mechanism):
    """Return a row; a limit of 0 means that there is none."""
    figure = f"{value:,.3g} {unit}" if value < 1000 else f"{value:,.0f} {unit}"
    limit_text = f"{limit:,.3g} {unit}" if limit else "-"
    if limit >= 1000:
        limit_text = f"{limit:,.0f} {unit}"
    return Row(
        role, measure, figure, limit_text, bool(limit) and value > limit, mechanism
    )


def render(slopes, rows):
    """Return the text of the page."""
    lines = [
        "# Capacity",
        "",
        "Written by `make capacity` from slopes measured in one process on one",
        "machine. The size: 2,400 nodes, 24,000 upstreams in 800 services, 580,000",
        "requests/s, 33,000 routes, 48,000 customers, 2 regions, 6 data centres. The",
        "limits of the control plane hold for one node. Figures over a limit are bold;",
        "the end of the page tells what would bring each below its limit. Nothing here",
        "was run at full size.",
        "",
        "| role | measure | at full size | limit | mechanism |",
        "| --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        figure = f"**{row.figure}**" if row.over else row.figure
        lines.append(
            f"| {row.role} | {row.measure} | {figure} | {row.limit} | {row.mechanism} |"
        )
    lines += ["", "## Slopes", "", "| measure | sizes | values | slope | at 0 | r |"]
    lines.append("| --- | --- | --- | --- | --- | --- |")
    for slope in slopes.values():
        sizes = ", ".join(f"{size:,}" for size in slope.sizes)
        values = ", ".join(f"{value:.3g}" for value in slope.values)
        lines.append(
            f"| {slope.name} ({slope.unit}) | {sizes} | {values} | "
            f"{slope.slope:.3g} | {slope.intercept:.3g} | {slope.correlation:.3f} |"
        )
    return "\n".join(lines) + "\n\n" + CONCLUSIONS


CONCLUSIONS = """## What breaks first, and what would fix it

- **Requests.** A node's own path costs milliseconds of a core for entry and owner
  together (see the bench's processor seconds in docs/measurements/platform.md), so 242
  requests/s per node fill most of a core before anything else breaks. A fix needs a
  cheaper path: fewer events per request, or a compiled core.
- **The reader.** One node sends to 1,200 others twice a second. One reader per data
  centre and relays with a fan-out of twenty would bring it below 8 kB/s; watermarks
  could also be sent less often in larger regions, up to the bound of 2.5 s.
- **The configuration from node to node.** Each change moves the whole document, and a
  node sends it to up to four others. Sending only the changes since the version that
  the requester names would bring it below 8 kB/s.
- **Memory.** If its row is bold: customers take over a kilobyte each. Only readers
  need whole declarations; entry nodes need a digest and a name, some 150 bytes.
- **Accounts.** Their bytes over the region link are the first limit outside the nodes,
  and the store's 400 MB are full within minutes. Accounts of this size need a store of
  their own.
- **Replication to the replica node** is far over 8 kB/s if it counts as control plane.

## Daily changes and failures

- 4,300 replacements a day are one every 20 s: each moves 1/2,400 of the groups, and
  starts with two reads of the store.
- Loss of a rack or switch (some 40 nodes): entry nodes go to the next owner after two
  datagrams, without waiting for gossip; the next reader takes over within 1.8 s.
- Loss of a data centre (400 nodes, 4,000 upstreams): a third of a region's groups get
  new owners at once; account entries whose node and replica node were both there stay
  open.
- Regions cut off from each other: each region owns its groups and has its own reader;
  requests do not spill over; the region without the store continues with its last
  known state and holds accounts in memory.
"""


def main():
    """Measure the slopes, print the figures and write the page."""
    idle = measure_idle_node()
    slopes = measure_all()
    for slope in slopes.values():
        print(
            f"{slope.name}: slope {slope.slope:.4g} {slope.unit}, intercept "
            f"{slope.intercept:.4g}, r {slope.correlation:.3f}"
        )
    rows = [
        *membership_rows(slopes, measure_gossip_sizes()),
        *configuration_rows(slopes, measure_feed_sizes(), idle),
        total_row(slopes, idle),
        *owner_rows(slopes, measure_exchange_bytes()),
        *account_rows(slopes),
    ]
    for row in rows:
        status = "OVER" if row.over else "    "
        print(f"{status} {row.role}: {row.measure}: {row.figure} (limit {row.limit})")
    PAGE.write_text(render(slopes, rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
