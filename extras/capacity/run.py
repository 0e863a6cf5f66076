"""Prints measured slopes, and writes docs/CAPACITY.md from them."""

import dataclasses
import pathlib
import sys

from comfreyusher.feeds._watermarks import DELTA_SENDS
from extras.capacity.idle import measure_idle_node
from extras.capacity.slopes import (
    feed_bytes,
    gossip_bytes,
    grant_bytes,
    measure_all,
)

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"
NODES = 2400
UPSTREAMS = 24000
SERVICES = 800
ROUTES = 33000
CUSTOMERS = 48000
REGIONS = 2
DATA_CENTRES = 6
PEAK_PER_S = 580_000
PER_NODE_PER_S = PEAK_PER_S / NODES
CHANGES_PER_DAY = 5000
VM_CHANGES_PER_DAY = 150 + 4300
DAY_S = 86400
LIMIT_CORE = 0.019
LIMIT_MB = 128
LIMIT_BYTES_PER_S = 8000
LIMIT_APPENDS_PER_S = 300
LINK_BYTES_PER_S = 30_000_000 / 8
GROUPS = SERVICES * REGIONS
PER_GROUP = UPSTREAMS // GROUPS
APPEND_BUDGET_PER_S = 200
WATCHES_PER_S = 10
MARKS_PER_S = 2
KEPT_BYTES = 400_000_000


@dataclasses.dataclass(frozen=True)
class Row:
    """One figure of a role at full size."""

    role: str
    measure: str
    figure: str
    limit: str
    over: bool
    mechanism: str


def membership_rows(slopes, gossip):
    """Return the rows of a gossip member."""
    quiet, busy, page = gossip
    news_share = min(1.0, VM_CHANGES_PER_DAY * 4 / DAY_S * 34 / 2)
    ping = quiet + news_share * (busy - quiet)
    sent = 2 * ping + page / 5
    changes_per_s = VM_CHANGES_PER_DAY * 2 / DAY_S
    change_s = slopes["change of one member, ranking of 1,600 groups"].at(NODES)
    period_s = slopes["membership period"].at(NODES)
    core = period_s + changes_per_s * change_s
    state_mb = slopes["membership state"].at(NODES) / 1e6
    return [
        row("gossip member", "state", state_mb, "MB", LIMIT_MB, "records by name"),
        row(
            "gossip member",
            "processor",
            core * 100,
            "% of a core",
            LIMIT_CORE * 100,
            "one ping a period; rankings changed in place",
        ),
        row(
            "gossip member",
            "sent",
            sent,
            "B/s",
            LIMIT_BYTES_PER_S,
            "news rides on pings, a page each 5 periods",
        ),
    ]


def configuration_rows(slopes, sizes, idle):
    """Return the rows of configuration and upstreams: every node, and a reader."""
    mark, change = sizes
    memory = (
        slopes["routes in memory"].at(ROUTES)
        + slopes["customers in memory"].at(CUSTOMERS)
        + slopes["list of upstreams in memory"].at(UPSTREAMS)
    ) / 1e6
    core = change_core(slopes)
    others = NODES / REGIONS - 1
    told = others * MARKS_PER_S * mark
    told += VM_CHANGES_PER_DAY / DAY_S * change * DELTA_SENDS * others
    reads = CHANGES_PER_DAY / DAY_S * REGIONS
    handed = CHANGES_PER_DAY / DAY_S * slopes["configuration as it travels"].at(ROUTES)
    start_s = slopes["declarations of a fresh node"].at(CUSTOMERS)
    return [
        row(
            "every node",
            "memory: program, routes, customers, list",
            memory + idle.memory_mb,
            "MB",
            LIMIT_MB,
            f"program {idle.memory_mb:.0f} MB idle (measured), tables by hash maps",
        ),
        row(
            "every node",
            "processor for changes of configuration and list",
            core * 100,
            "% of a core",
            LIMIT_CORE * 100,
            "rules and plans that did not change are kept",
        ),
        row(
            "every node",
            "marks heard from the reader",
            MARKS_PER_S * mark,
            "B/s",
            LIMIT_BYTES_PER_S,
            "one reader a region",
        ),
        row(
            "reader",
            "marks and changes to its region",
            told,
            "B/s",
            LIMIT_BYTES_PER_S,
            "a datagram a node each half second",
        ),
        row(
            "store",
            "reads of new configurations",
            reads,
            "calls/s",
            2000,
            "the reader of each region; nodes hand it on",
        ),
        row(
            "every node",
            "configuration from its parent",
            handed,
            "B/s",
            LIMIT_BYTES_PER_S,
            "the whole document, compressed, along a tree of each data centre",
        ),
        row(
            "fresh node", "processor for declarations", start_s, "s", 0, "fast decoder"
        ),
    ]


def change_core(slopes):
    """Return the share of a core that changes of configuration and list take."""
    plans_s = slopes["plans of all services"].at(UPSTREAMS)
    publish_s = slopes["configuration applied"].at(ROUTES) + plans_s
    declared_s = slopes["one change applied"].at(CUSTOMERS)
    changes = CHANGES_PER_DAY / DAY_S * (publish_s + declared_s)
    return changes + VM_CHANGES_PER_DAY / DAY_S * plans_s


def total_row(slopes, idle):
    """Return the row of all control of one node together."""
    changes_per_s = VM_CHANGES_PER_DAY * 2 / DAY_S
    members = slopes["membership period"].at(NODES) + changes_per_s * slopes[
        "change of one member, ranking of 1,600 groups"
    ].at(NODES)
    watch = slopes["owner, one watch"].at(PER_GROUP) * WATCHES_PER_S * GROUPS / NODES
    core = idle.core + members + change_core(slopes) + watch
    return row(
        "every node",
        "processor for all control together",
        core * 100,
        "% of a core",
        LIMIT_CORE * 100,
        f"timers and reads of an idle node are {idle.core:.2%} of it (measured)",
    )


def owner_rows(slopes, exchange):
    """Return the rows of entry and owner at the peak."""
    request_s = slopes["owner, one request"].at(PER_GROUP)
    watch_s = slopes["owner, one watch"].at(PER_GROUP)
    groups = GROUPS / NODES
    lookup = slopes["route lookup"].at(ROUTES) + slopes["customer lookup"].at(CUSTOMERS)
    return [
        row(
            "entry",
            "route and customer lookup, of a core at the peak",
            lookup * PER_NODE_PER_S * 100,
            "% of a core",
            0,
            "hash maps",
        ),
        row(
            "owner",
            f"decisions at the peak, groups of {PER_GROUP}",
            request_s * PER_NODE_PER_S * 100,
            "% of a core",
            0,
            "one queue a group",
        ),
        row(
            "owner",
            "watch of its groups",
            watch_s * WATCHES_PER_S * groups * 100,
            "% of a core",
            LIMIT_CORE * 100,
            f"{groups:.2f} groups a node on average",
        ),
        row(
            "entry and owner",
            "datagrams of one request",
            exchange,
            "B",
            0,
            "ask, grant, report, confirmation",
        ),
        row(
            "owner",
            "busiest group: share of one core for decisions",
            request_s * PEAK_PER_S / GROUPS * 100,
            "% of a core",
            0,
            f"{PEAK_PER_S / GROUPS:.0f} requests/s if all are alike",
        ),
    ]


def account_rows(slopes):
    """Return the rows of the accounts."""
    entry = slopes["account batch in the log"].slope
    copy = slopes["account copies to a peer"].slope
    packing = slopes["packing of an account batch"].slope
    per_node = PER_NODE_PER_S * entry
    fleet = PEAK_PER_S * entry
    hours = KEPT_BYTES / (fleet * 0.25) / 3600
    return [
        row(
            "account writer",
            "packing",
            packing * PER_NODE_PER_S * 100,
            "% of a core",
            LIMIT_CORE * 100,
            "zlib, once a batch",
        ),
        row(
            "account writer",
            "log bytes of one node",
            per_node,
            "B/s",
            LIMIT_BYTES_PER_S,
            "batches of some seconds",
        ),
        row(
            "account writer",
            "copies to its buddy, begun and ended",
            2 * copy * PER_NODE_PER_S,
            "B/s",
            LIMIT_BYTES_PER_S,
            "counted as control here, though part of each request",
        ),
        row(
            "log",
            "account appends of the fleet",
            APPEND_BUDGET_PER_S,
            "appends/s",
            LIMIT_APPENDS_PER_S,
            f"each node each {NODES / APPEND_BUDGET_PER_S:.0f} s",
        ),
        row(
            "region link",
            "accounts of the region without the store",
            fleet / REGIONS,
            "B/s",
            LINK_BYTES_PER_S,
            "batches cross the link compressed",
        ),
        row(
            "store",
            "reach of the accounts, a quarter of the peak as mean load",
            hours,
            "h",
            0,
            "400 MB in all; keyed batches stay until then",
        ),
    ]


def row(role, measure, value, unit, limit, mechanism):
    """Return a row; a limit of 0 means that none is stated."""
    figure = f"{value:,.3g} {unit}" if value < 1000 else f"{value:,.0f} {unit}"
    shown = f"{limit:,.3g} {unit}" if limit else "-"
    if limit >= 1000:
        shown = f"{limit:,.0f} {unit}"
    return Row(role, measure, figure, shown, bool(limit) and value > limit, mechanism)


def render(slopes, rows):
    """Return the text of the page."""
    lines = [
        "# Capacity",
        "",
        "Written by `make capacity` from slopes measured in one process on one",
        "machine. The size: 2,400 nodes, 24,000 upstreams in 800 services, 580,000",
        "requests/s, 33,000 routes, 48,000 customers, 2 regions, 6 data centres. The",
        "limits for control are those of one node. Figures over a limit are bold;",
        "below the table stands what would bring each under. Nothing here was run at",
        "full size.",
        "",
        "| role | measure | at full size | limit | mechanism |",
        "| --- | --- | --- | --- | --- |",
    ]
    for one in rows:
        figure = f"**{one.figure}**" if one.over else one.figure
        lines.append(
            f"| {one.role} | {one.measure} | {figure} | {one.limit} | {one.mechanism} |"
        )
    lines += ["", "## Slopes", "", "| measure | sizes | values | slope | at 0 | r |"]
    lines.append("| --- | --- | --- | --- | --- | --- |")
    for slope in slopes.values():
        sizes = ", ".join(f"{size:,}" for size in slope.sizes)
        values = ", ".join(f"{value:.3g}" for value in slope.values)
        lines.append(
            f"| {slope.name} ({slope.unit}) | {sizes} | {values} | "
            f"{slope.slope:.3g} | {slope.intercept:.3g} | {slope.fit:.3f} |"
        )
    return "\n".join(lines) + "\n\n" + AFTERWORD


AFTERWORD = """## What breaks first, and what would mend it

- **Requests.** A node's own path costs milliseconds of a core for entry and owner
  together (see the bench's processor seconds in docs/measurements/platform.md), so 242
  requests/s a node fill most of a core before anything else breaks. It would take a
  cheaper path: fewer events a request, or a compiled core.
- **The reader.** One node tells 1,200 others twice a second. A reader a data centre and
  relays with a fan-out of twenty, would bring it under 8 kB/s; marks could also grow
  rarer with the size of the region, up to the bound of 2.5 s.
- **The configuration from node to node.** Each change moves the whole document, and a
  node sends it to up to four others. Only what changed, against the version that the
  asker names, would bring it under 8 kB/s.
- **Memory.** If its row is bold: customers take over a kilobyte each. Only readers
  need whole declarations; entries need a digest and a name, some 150 bytes.
- **Accounts.** Their bytes over the region link are the first limit outside the nodes,
  and the store's 400 MB are full within minutes. Accounts of this size need a store of
  their own.
- **Copies to the buddy** are far over 8 kB/s if they count as control.

## Days

- 4,300 replacements a day are one each 20 s: each moves 1/2,400 of the groups, and
  starts with two reads of the store.
- Loss of a rack or switch (some 40 nodes): entry nodes go to the next owner after two
  datagrams, without waiting for gossip; the next reader takes over within 1.8 s.
- Loss of a data centre (400 nodes, 4,000 upstreams): a third of a region's groups get
  new owners at once; entries whose node and buddy both stood there end open.
- Regions without each other: each region owns its groups and has its own reader; no
  spill; the region without the store goes on with what it knows and holds accounts in
  memory.
"""


def main():
    """Measure, print and write."""
    idle = measure_idle_node()
    slopes = measure_all()
    for slope in slopes.values():
        print(
            f"{slope.name}: slope {slope.slope:.4g} {slope.unit}, intercept "
            f"{slope.intercept:.4g}, r {slope.fit:.3f}"
        )
    rows = [
        *membership_rows(slopes, gossip_bytes()),
        *configuration_rows(slopes, feed_bytes(), idle),
        total_row(slopes, idle),
        *owner_rows(slopes, grant_bytes()),
        *account_rows(slopes),
    ]
    for one in rows:
        mark = "OVER" if one.over else "    "
        print(f"{mark} {one.role}: {one.measure}: {one.figure} (limit {one.limit})")
    PAGE.write_text(render(slopes, rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
