"""Benchmarks of the owner's decisions on simulated demand and faults."""

import dataclasses

from comfreyusher.messages import WorkClass
from comfreyusher.node._profile import default_profile
from comfreyusher.settings import FleetSettings
from tests.simulation import Behaviour, RequestKind, Simulation

SEED = 20261204
HEALTHY = Behaviour()
INTERMITTENT = Behaviour(
    failing_time_share=0.3, episode_period_s=9.0, failure_share=0.75
)
STALL_START_S = 10.0
STALLED = Behaviour(hang_span=(STALL_START_S, 999.0))
# Mean of the simulated log-normal durations (sigma 0.3) divided by their median.
MEAN_TO_MEDIAN = 1.046


@dataclasses.dataclass(frozen=True)
class User:
    """Main service of one user of the project.

    ``slots`` is the number per upstream, ``duration_s`` the median duration of a
    request.
    """

    name: str
    upstreams: int
    slots: int
    duration_s: float
    rate_per_s: float


USERS = (
    User("Szójaút", 9, 4, 0.35, 25.0),
    User("Mkanda", 8, 3, 0.26, 22.0),
)


def simulate(user, behaviours, kinds, seconds):
    """Simulate one group of a user with the default profile.

    Returns the simulation and its ejections, each with its time in seconds.
    """
    profile = default_profile(FleetSettings())
    run = Simulation(behaviours, kinds, SEED, user.slots, profile)
    ejected = []
    run.hooks.append(lambda body: ejected.append((run.now - run.start_s, body)))
    run.run(seconds)
    return run, ejected


def measure_overload(user):
    """Return the served share of the slots' capacity, at 1.5 times that load.

    Also returns the number of requests that were refused after more than 100 ms.
    """
    capacity_per_s = user.upstreams * user.slots / (user.duration_s * MEAN_TO_MEDIAN)
    kind = RequestKind("lookup", 1.5 * capacity_per_s, user.duration_s)
    run, _ = simulate(user, [HEALTHY] * user.upstreams, [kind], 20)
    served = [r for r in run.requests if r.outcome == "served"]
    late_refusals = [
        r
        for r in run.requests
        if r.outcome == "refused" and r.ended_s - r.arrived_s > 0.1
    ]
    return len(served) / (capacity_per_s * 20), len(late_refusals)


def measure_stall_detection(user):
    """Return the seconds from a stall to the last grant to the stalled upstream.

    Grants from 3 s after the stall on do not count.
    """
    kind = RequestKind("lookup", user.rate_per_s, user.duration_s)
    behaviours = [STALLED] + [HEALTHY] * (user.upstreams - 1)
    run, _ = simulate(user, behaviours, [kind], 20)
    stalled = [
        when - run.start_s - STALL_START_S
        for when, name, _ in run.grants
        if name == "u0" and when - run.start_s > STALL_START_S
    ]
    early = [when for when in stalled if when < 3.0]
    return max(early, default=0.0)


def count_false_ejections(user):
    """Return the number of ejections of healthy upstreams in two minutes."""
    kind = RequestKind("lookup", user.rate_per_s, user.duration_s, error_share=0.012)
    _, ejected = simulate(user, [HEALTHY] * user.upstreams, [kind], 120)
    return len(ejected)


def measure_short_waits(user):
    """Return the p99 wait in s of short requests, without and with long ones."""
    short = RequestKind("short", user.rate_per_s, 0.05, deadline_s=3.0)
    long = RequestKind(
        "long", 1.0, 4.0, deadline_s=40.0, work_class=WorkClass.LONG, large=True
    )
    waits = []
    for kinds in ([short], [short, long]):
        run, _ = simulate(user, [HEALTHY] * user.upstreams, kinds, 30)
        arrived_s = {
            request.number: request.arrived_s for request in run.requests_of("short")
        }
        ordered = sorted(
            when - arrived_s[request.number]
            for when, _, request in run.grants
            if request.number in arrived_s
        )
        waits.append(ordered[int(len(ordered) * 0.99)])
    return tuple(waits)


def measure_failed_bookings(user):
    """Return the failed share of bookings while upstreams fail for seconds."""
    kind = RequestKind("booking", 32, 0.26, idempotent=False, error_share=0.012)
    run, _ = simulate(user, [INTERMITTENT] * 10, [kind], 40)
    return run.outcome_share("failed")
