"""A small fake workload: arrivals, upstreams with slots, and faults.

Time is simulated, so that runs are repeatable and need no processes. Nodes
are only numbers here: this is no cluster simulator, it compares decisions.
"""

import dataclasses
import heapq
import itertools
import random


@dataclasses.dataclass(frozen=True)
class Shape:
    """Sizes and load of one run; times in seconds."""

    name: str
    nodes: int
    upstreams: int
    slots: int
    service_s: float
    sigma: float
    deadline_s: float
    length_s: float
    base_load: float
    crest_load: float
    crest_s: float
    crest_rise_s: float = 2.0
    stall_upstream: int = -1
    stall_s: float = 0.0
    long_share: float = 0.0
    long_service_s: float = 2.0
    hop_s: float = 0.0005
    pairs: int = 1

    @property
    def capacity(self):
        """Requests a second that all slots can carry."""
        return self.upstreams * self.slots / mean_service(self)


def mean_service(shape):
    """Return the mean time of service of a lognormal with a median."""
    return shape.service_s * 2.718281828 ** (shape.sigma**2 / 2)


@dataclasses.dataclass(frozen=True)
class Request:
    """One request of the workload."""

    number: int
    node: int
    time_s: float
    work_s: float
    long: bool


@dataclasses.dataclass(frozen=True)
class Ended:
    """How a request ended."""

    request: Request
    outcome: str
    time_s: float
    wait_s: float = 0.0


def make_requests(shape, seed):
    """Return the requests of a run; the same for every way of deciding."""
    source = random.Random(seed)
    requests = []
    now = 0.0
    for number in itertools.count():
        rate = shape.capacity * load_at(shape, now)
        now += source.expovariate(rate)
        if now > shape.length_s:
            return requests
        long = source.random() < shape.long_share
        median = shape.long_service_s if long else shape.service_s
        work = median * source.lognormvariate(0, shape.sigma)
        requests.append(Request(number, source.randrange(shape.nodes), now, work, long))
    return requests


def load_at(shape, now):
    """Return the load as a share of capacity; it rises to the crest."""
    if now < shape.crest_s:
        return shape.base_load
    risen = min(1.0, (now - shape.crest_s) / shape.crest_rise_s)
    return shape.base_load + risen * (shape.crest_load - shape.base_load)


class World:
    """Upstreams that run work on slots, and a clock of events."""

    def __init__(self, shape, seed):
        self.shape = shape
        self.now = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.busy = [0] * shape.upstreams
        self.ended = []
        self.done_in_deadline = 0
        self.random = random.Random(seed + 1)

    def at(self, time_s, action):
        """Call an action later."""
        heapq.heappush(self.events, (time_s, next(self.numbers), action))

    def run(self):
        """Run all events in order."""
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def has_slot(self, upstream):
        """Tell whether an upstream would take one more request."""
        return self.busy[upstream] < self.shape.slots

    def start(self, upstream, request, on_end):
        """Run a request; ``on_end`` is called unless the upstream stalls."""
        self.busy[upstream] += 1
        if self.is_stalled(upstream):
            return
        hops = 2 * self.shape.hop_s
        self.at(self.now + request.work_s + hops, on_end)

    def is_stalled(self, upstream):
        """Tell whether work that starts now never ends."""
        stalled = upstream == self.shape.stall_upstream
        return stalled and self.now >= self.shape.stall_s

    def free(self, upstream):
        """Free a slot."""
        self.busy[upstream] -= 1

    def end(self, request, outcome, wait_s=0.0):
        """Note how a request ended."""
        self.ended.append(Ended(request, outcome, self.now, wait_s))


def quantile(values, share):
    """Return a quantile of some values, 0 for none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
