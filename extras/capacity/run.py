"""Prints measured slopes, and writes docs/CAPACITY.md from them."""

import dataclasses
import pathlib
import sys

from extras.capacity.idle import measure_idle_node
from extras.capacity.slopes import gossip_bytes, measure_all, record_bytes

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
RETENTION_S = 7 * DAY_S
WATCHES_PER_S = 10
READERS = 2 * DATA_CENTRES


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
    """Return the rows of configuration: every node, and a log reader."""
    service, customer = sizes
    memory = (
        slopes["routes in memory"].at(ROUTES)
        + slopes["customers in memory"].at(CUSTOMERS)
        + slopes["list of upstreams in memory"].at(UPSTREAMS)
    ) / 1e6
    plans_s = slopes["plans of all services"].at(UPSTREAMS)
    per_change = slopes["one change applied"].at(CUSTOMERS) + plans_s
    events = (CHANGES_PER_DAY + VM_CHANGES_PER_DAY) / DAY_S
    core = events * per_change
    neighbours = NODES // DATA_CENTRES - 2
    pushed = CHANGES_PER_DAY / DAY_S * service * neighbours / 2
    restated = (SERVICES + CUSTOMERS) / (RETENTION_S / 2)
    transfer_mb = slopes["transfer to a fresh node"].at(CUSTOMERS) / 1e6
    start_s = slopes["fresh node from a peer"].at(CUSTOMERS)
    starts = VM_CHANGES_PER_DAY / DAY_S
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
            "processor for changes of declarations and list",
            core * 100,
            "% of a core",
            LIMIT_CORE * 100,
            "tables and plans take only what changed",
        ),
        row(
            "log reader",
            "pushes to its data centre",
            pushed,
            "B/s",
            LIMIT_BYTES_PER_S,
            f"{READERS} readers, two a data centre",
        ),
        row(
            "log",
            "restated declarations",
            restated,
            "appends/s",
            LIMIT_APPENDS_PER_S,
            "each once in half a week's retention",
        ),
        row(
            "fresh node",
            "bytes from a peer",
            transfer_mb,
            "MB",
            0,
            f"one of {NODES} nodes gives; {starts * 3600:.0f} starts an hour",
        ),
        row("fresh node", "processor to take them", start_s, "s", 0, "fast decoder"),
    ]


def total_row(slopes, idle):
    """Return the row of all control of one node together."""
    changes_per_s = VM_CHANGES_PER_DAY * 2 / DAY_S
    members = slopes["membership period"].at(NODES) + changes_per_s * slopes[
        "change of one member, ranking of 1,600 groups"
    ].at(NODES)
    events = (CHANGES_PER_DAY + VM_CHANGES_PER_DAY) / DAY_S
    change = slopes["one change applied"].at(CUSTOMERS)
    change += slopes["plans of all services"].at(UPSTREAMS)
    watch = slopes["owner, one watch"].at(PER_GROUP) * WATCHES_PER_S * GROUPS / NODES
    core = idle.core + members + events * change + watch
    return row(
        "every node",
        "processor for all control together",
        core * 100,
        "% of a core",
        LIMIT_CORE * 100,
        f"timers, list and log of an idle node are {idle.core:.2%} of it (measured)",
    )


def owner_rows(slopes):
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
    kept = fleet * RETENTION_S * 0.25
    carried = kept / (RETENTION_S / 2)
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
            "carrier",
            "records carried on, a quarter of the peak as mean load",
            carried,
            "B/s",
            LINK_BYTES_PER_S,
            "one node appends what is older than half of the retention",
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

- **Requests.** A node's own path costs over a millisecond of a core for entry and
  again for owner (docs/measurements), so 242 requests/s a node fill half of a core
  or more, and the added latency misses its target before anything else breaks. It
  would take a cheaper path: fewer events a request, or a compiled core.
- **Processor for control.** If its row is bold: an idle node's own timers and calls
  are the larger part, then deriving all plans anew at each change of a VM; plans per
  group, and a list that is filtered by region, would bring it under.
- **Memory.** If its row is bold: customers take over a kilobyte each. Only readers
  need whole declarations; entries need a digest and a name, some 150 bytes.
- **Pushes of a log reader.** 400 nodes of a data centre hear from two readers. A tree
  of pushes with a fan-out of twenty would cost each node 600 B/s.
- **Accounts.** Their bytes over the region link are the first limit outside the
  nodes. It needs a log in each region, or accounts kept as counts and digests with
  the full entries in the region's own store.
- **Copies to the buddy** are far over 8 kB/s if they count as control. Copying only
  the request id and customer (some 60 bytes, the rest is in the batch) would cut
  them to a quarter, still over; only sharing the copy with the offer to the owner
  would bring them under.
- **Carrying** accounts past retention costs as much as the mean load in every half
  of a retention, for ever. A store that keeps them is what the size needs.

## Days

- 4,300 replacements a day are one each 20 s: each moves 1/2,400 of the groups
  (two thirds of a group), with slow start, and starts with one transfer.
- Loss of a rack or switch (some 40 nodes): suspicion in a few periods; entry nodes
  go to the next owner at the first failed connection, without waiting for gossip.
- Loss of a data centre (400 nodes, 4,000 upstreams): a third of a region's groups
  get new owners at once; entries whose node and buddy both stood there end open.
- Regions without each other: each region owns its groups; no spill; the region
  without the store publishes nothing and holds accounts compressed in memory, at
  60 bytes an entry some 15 kB/s a node, 52 MB an hour.
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
        *configuration_rows(slopes, record_bytes(), idle),
        total_row(slopes, idle),
        *owner_rows(slopes),
        *account_rows(slopes),
    ]
    for one in rows:
        mark = "OVER" if one.over else "    "
        print(f"{mark} {one.role}: {one.measure}: {one.figure} (limit {one.limit})")
    PAGE.write_text(render(slopes, rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
