"""Ways to decide for an upstream, on the fake workload.

``nodes`` ways let every node choose by its own view and the upstream shed the
excess. ``credits`` shares slots out among nodes. ``owner`` runs the product's
own decisions, one owner a region or a data centre.
"""

import dataclasses

from comfreyusher.declarations import Detection, Profile
from comfreyusher.health import Health, Standing, note_bad, note_good
from comfreyusher.messages import (
    AnswerHead,
    Offer,
    Refusal,
    ReplyStart,
    RequestHead,
    SendCancel,
    SendStart,
    ToNode,
    WorkClass,
    WorkKey,
)
from comfreyusher.owner import Clock, Ejected, Member, Plan, decide, new_group
from extras.bench.workload import World, make_requests, quantile

WATCH_S = 0.1
RETRIES = 3
EJECT_AT = 6.9
CREDIT_PERIOD_S = 0.5
OK = AnswerHead(200)
HEAD = RequestHead("GET", "/")


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Measures of one run."""

    way: str
    answered_share: float
    refused_late: int
    refuse_p99_ms: float
    lost: int
    ejections: int
    detection_s: float
    short_p50_ms: float
    short_p99_ms: float


# Every node on its own ---------------------------------------------------------


class NodeView:
    """What one node knows of the upstreams from its own requests."""

    def __init__(self, upstreams):
        self.in_flight = [0] * upstreams
        self.health = [Health(standing=Standing.HEALTHY)] * upstreams
        self.turn = 0


def pick_random(world, view, allowed):
    """Pick any upstream."""
    return world.random.choice(allowed)


def pick_round_robin(world, view, allowed):
    """Pick the next upstream in turn."""
    view.turn += 1
    return allowed[view.turn % len(allowed)]


def pick_least_loaded(world, view, allowed):
    """Pick the upstream with the least in flight from this node."""
    return min(allowed, key=lambda u: (view.in_flight[u], world.random.random()))


def pick_two_choices(world, view, allowed):
    """Pick the less loaded of two random upstreams."""
    two = [world.random.choice(allowed) for _ in range(2)]
    return min(two, key=lambda u: view.in_flight[u])


def run_by_nodes(shape, seed, name, pick, ejects=True):
    """Run a way in which every node decides by its own view."""
    world = World(shape, seed)
    views = [NodeView(shape.upstreams) for _ in range(shape.nodes)]
    found = {}

    def judge(node, upstream, bad):
        view = views[node]
        health = view.health[upstream]
        health = note_bad(health) if bad else note_good(health, world.now)
        view.health[upstream] = health
        if bad and ejects and health.evidence >= EJECT_AT:
            found.setdefault((node, upstream), world.now)

    def allowed_for(node, tried):
        left = [
            u
            for u in range(shape.upstreams)
            if u not in tried and (node, u) not in found
        ]
        return left

    def arrive(request, tried=()):
        allowed = allowed_for(request.node, tried)
        if not allowed or len(tried) > RETRIES:
            world.end(request, "refused")
            return
        view = views[request.node]
        upstream = pick(world, view, allowed)
        if not world.has_slot(upstream):
            later = world.now + 2 * shape.hop_s
            world.at(later, lambda: arrive(request, (*tried, upstream)))
            return
        run_on(request, view, upstream)

    def run_on(request, view, upstream):
        state = {"open": True}
        view.in_flight[upstream] += 1
        started = world.now

        def finish():
            if not state["open"]:
                return
            state["open"] = False
            view.in_flight[upstream] -= 1
            world.free(upstream)
            judge(request.node, upstream, False)
            world.end(request, "done", started - request.time_s)

        def stall():
            if state["open"]:
                judge(request.node, upstream, True)

        def expire():
            if not state["open"]:
                return
            state["open"] = False
            view.in_flight[upstream] -= 1
            world.free(upstream)
            world.end(request, "lost")

        world.start(upstream, request, finish)
        for times in (1, 2, 3):
            world.at(started + stall_limit_of(shape, request) * times, stall)
        world.at(request.time_s + deadline_of(shape, request), expire)

    for request in make_requests(shape, seed):
        world.at(request.time_s, lambda r=request: arrive(r))
    world.run()
    detections = [t for (node, u), t in found.items() if u == shape.stall_upstream]
    wrong = sum(1 for _, u in found if u != shape.stall_upstream)
    detection = None
    if len(detections) >= 0.9 * shape.nodes:
        detection = sorted(detections)[int(0.9 * shape.nodes) - 1] - shape.stall_s
    return measure(world, name, wrong, detection)


# Credits -------------------------------------------------------------------------


def run_by_credits(shape, seed, name):
    """Share all slots out among nodes by their demand of the last period."""
    world = World(shape, seed)
    total = shape.upstreams * shape.slots
    credits = [
        total // shape.nodes + (n < total % shape.nodes) for n in range(shape.nodes)
    ]
    used = [0] * shape.nodes
    demand = [0] * shape.nodes

    def share_out():
        wanted = sum(demand) or 1
        left = total
        order = sorted(range(shape.nodes), key=lambda n: -demand[n])
        for node in order:
            credits[node] = min(left, round(total * demand[node] / wanted))
            left -= credits[node]
            demand[node] = 0
        if world.now < shape.length_s:
            world.at(world.now + CREDIT_PERIOD_S, share_out)

    def arrive(request):
        demand[request.node] += 1
        if used[request.node] >= credits[request.node]:
            world.end(request, "refused")
            return
        free = [u for u in range(shape.upstreams) if world.has_slot(u)]
        if not free:
            world.end(request, "refused")
            return
        upstream = min(free, key=lambda u: world.busy[u])
        used[request.node] += 1
        started = world.now

        def finish():
            used[request.node] -= 1
            world.free(upstream)
            world.end(request, "done", started - request.time_s)

        world.start(upstream, request, finish)

    world.at(CREDIT_PERIOD_S, share_out)
    for request in make_requests(shape, seed):
        world.at(request.time_s, lambda r=request: arrive(r))
    world.run()
    return measure(world, name, 0, None)


# Owner ---------------------------------------------------------------------------


def run_by_owner(shape, seed, name, owners=1, profile=None, ejects=True):
    """Run the product's decisions, the upstreams split among some owners."""
    world = World(shape, seed)
    profile = profile or Profile(
        name="p",
        floor_share=0.5,
        slow_start_ms=0,
        max_wait_ms=int(shape.deadline_s * 1000),
    )
    if not ejects:
        detection = Detection(evidence_to_eject=100.0)
        profile = dataclasses.replace(profile, detection=detection)
    groups = []
    for owner in range(owners):
        names = [u for u in range(shape.upstreams) if u % owners == owner]
        members = tuple(Member(str(u), "h", 1, shape.slots) for u in names)
        plan = Plan(f"g{owner}", profile, len(names) * shape.slots, members)
        groups.append(new_group(plan, 0.0))
    running = {}
    requests = {}
    found = {}

    def send(owner, message):
        step = decide(groups[owner], message, world.now)
        groups[owner] = step.state
        for address in step.messages:
            take(owner, address.body)

    def take(owner, body):
        if isinstance(body, SendStart):
            begin(owner, body.exchange)
        elif isinstance(body, SendCancel):
            upstream = running.pop(body.exchange, None)
            if upstream is not None:
                world.free(upstream)
        elif isinstance(body, Ejected):
            found.setdefault(int(body.upstream), []).append(world.now)
        elif isinstance(body, ToNode) and isinstance(body.body, Refusal):
            outcome = "refused" if body.body.outcome.value == "not-run" else "lost"
            world.end(requests[body.body.key], outcome)

    def begin(owner, attempt):
        request = requests[attempt.key]
        work = groups[owner].works[attempt.key]
        upstream = int(work.upstream)
        running[attempt] = upstream
        wait_s = world.now - request.time_s

        def finish():
            if running.pop(attempt, None) is None:
                return
            world.free(upstream)
            world.end(request, "done", wait_s)
            send(owner, ReplyStart(attempt, OK, b"", True))

        world.start(upstream, request, finish)

    def arrive(request):
        key = WorkKey("n", request.number)
        requests[key] = request
        limit_s = deadline_of(shape, request)
        offer = Offer(
            key,
            "g",
            WorkClass.LONG if request.long else WorkClass.SHORT,
            int(limit_s * 1000),
            True,
            str(request.number),
            str(request.number),
            "",
            HEAD,
        )
        owner = request.number % owners
        world.at(world.now + shape.hop_s, lambda: send(owner, offer))

    def watch():
        for owner in range(owners):
            send(owner, Clock())
        if world.now < shape.length_s + 10:
            world.at(world.now + WATCH_S, watch)

    world.at(WATCH_S, watch)
    for request in make_requests(shape, seed):
        world.at(request.time_s, lambda r=request: arrive(r))
    world.run()
    hits = [t for t in found.get(shape.stall_upstream, []) if t >= shape.stall_s]
    wrong = sum(len(times) for u, times in found.items() if u != shape.stall_upstream)
    detection = min(hits) - shape.stall_s if hits else None
    return measure(world, name, wrong, detection)


# Measures --------------------------------------------------------------------------


def deadline_of(shape, request):
    """Return the deadline of a request; long ones have a wide one."""
    return 60.0 if request.long else shape.deadline_s


def stall_limit_of(shape, request):
    """Return the age of a stall that a node with its own view assumes."""
    median = shape.long_service_s if request.long else shape.service_s
    return max(0.2, 8 * 1.96 * median)


def measure(world, name, ejections, detection):
    """Return the measures of a run, from the crest on if there is one."""
    shape = world.shape
    after = shape.crest_s + shape.crest_rise_s
    seen = [e for e in world.ended if e.request.time_s >= after]
    done = [
        e
        for e in seen
        if e.outcome == "done"
        and e.time_s - e.request.time_s <= deadline_of(shape, e.request)
    ]
    could = min(len(seen), shape.capacity * max(0.001, shape.length_s - after))
    refused = [e.time_s - e.request.time_s for e in seen if e.outcome == "refused"]
    waits = [
        e.wait_s for e in world.ended if e.outcome == "done" and not e.request.long
    ]
    return Outcome(
        name,
        len(done) / max(1, could),
        sum(1 for wait in refused if wait > 0.1),
        quantile(refused, 0.99) * 1000,
        sum(1 for e in world.ended if e.outcome == "lost"),
        ejections,
        -1.0 if detection is None else detection,
        quantile(waits, 0.5) * 1000,
        quantile(waits, 0.99) * 1000,
    )
