"""The owner's decisions on simulated demand: crest, detection, waits, noise."""

import dataclasses

from comfreyusher.messages import WorkClass
from comfreyusher.node._profile import default_profile
from comfreyusher.settings import FleetSettings
from tests.simulation import Behaviour, RequestKind, Simulation

SEED = 20261204
SOUND = Behaviour()
NOISY = Behaviour(failing_time_share=0.3, episode_period_s=9.0, failure_share=0.75)
STALL_S = 10.0
STALLED = Behaviour(hang_span=(STALL_S, 999.0))
SPREAD_FACTOR = 1.046


@dataclasses.dataclass(frozen=True)
class User:
    """One user's main service: upstreams, slots and the work of a request."""

    name: str
    upstreams: int
    slots: int
    work_s: float
    per_s: float


USERS = (
    User("Szójaút", 9, 4, 0.35, 25.0),
    User("Mkanda", 8, 3, 0.26, 22.0),
)


def simulate(user, behaviours, kinds, seconds):
    """Run one group of a user under the default profile."""
    profile = default_profile(FleetSettings())
    run = Simulation(behaviours, kinds, SEED, user.slots, profile)
    ejected = []
    run.hooks.append(lambda body: ejected.append((run.now - run.start_s, body)))
    run.run(seconds)
    return run, ejected


def crest(user):
    """Return the share of what the slots carry that is served at 1.5 times it."""
    carried = user.upstreams * user.slots / (user.work_s * SPREAD_FACTOR)
    kind = RequestKind("lookup", 1.5 * carried, user.work_s)
    run, _ = simulate(user, [SOUND] * user.upstreams, [kind], 20)
    served = [r for r in run.requests if r.outcome == "served"]
    late = [
        r
        for r in run.requests
        if r.outcome == "refused" and r.ended_s - r.arrived_s > 0.1
    ]
    return len(served) / (carried * 20), len(late)


def detection(user):
    """Return seconds from a stall to the last grant to the stalled upstream."""
    kind = RequestKind("lookup", user.per_s, user.work_s)
    behaviours = [STALLED] + [SOUND] * (user.upstreams - 1)
    run, _ = simulate(user, behaviours, [kind], 20)
    stalled = [
        when - run.start_s - STALL_S
        for when, name, _ in run.grants
        if name == "u0" and when - run.start_s > STALL_S
    ]
    early = [when for when in stalled if when < 3.0]
    return max(early, default=0.0)


def false_ejections(user):
    """Return ejections of sound upstreams in two minutes."""
    kind = RequestKind("lookup", user.per_s, user.work_s, error_share=0.012)
    _, ejected = simulate(user, [SOUND] * user.upstreams, [kind], 120)
    return len(ejected)


def behind_long(user):
    """Return the p99 wait in s of short work, without and with long work."""
    short = RequestKind("short", user.per_s, 0.05, deadline_s=3.0)
    long = RequestKind(
        "long", 1.0, 4.0, deadline_s=40.0, work_class=WorkClass.LONG, large=True
    )
    waits = []
    for kinds in ([short], [short, long]):
        run, _ = simulate(user, [SOUND] * user.upstreams, kinds, 30)
        begun = {
            request.number: request.arrived_s for request in run.requests_of("short")
        }
        found = sorted(
            when - begun[request.number]
            for when, _, request in run.grants
            if request.number in begun
        )
        waits.append(found[int(len(found) * 0.99)])
    return tuple(waits)


def failed_bookings(user):
    """Return the share of bookings that fail while upstreams fail for seconds."""
    kind = RequestKind("booking", 32, 0.26, idempotent=False, error_share=0.012)
    run, _ = simulate(user, [NOISY] * 10, [kind], 40)
    return run.outcome_share("failed")
