"""State of a group, as its owner keeps it. Times are monotonic seconds."""

import dataclasses

import immutables

from comfreyusher.declarations import Profile
from comfreyusher.flow import replace
from comfreyusher.health import (
    FailureEstimate,
    Health,
    Standing,
    new_failure_estimate,
    new_health,
    return_to_service,
)
from comfreyusher.messages import GrantRequest, WorkClass
from comfreyusher.owner._arrivals import Arrivals
from comfreyusher.owner._budget import new_budget
from comfreyusher.owner._window import Window

RECENT_DURATIONS = 128
NEVER_S = -1e9
FIRST_SLACK = 2
SERVED_SPAN_S = 2.0
SERVED_SLICE_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An upstream as it is listed; ``warm_s`` is when it is warm."""

    name: str
    host: str
    port: int
    slots: int
    leaving: bool = False
    data_centre: str = ""
    warm_s: float = 0.0
    born_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What configuration and the list say about a group.

    ``budget_slack`` is the group's part of the service's.
    """

    group: str
    profile: Profile
    configured_slots: int
    members: tuple = ()
    budget_slack: int = 0


@dataclasses.dataclass(frozen=True)
class Upstream:
    """An upstream and the work on it.

    ``shed_limit`` is lowered when the upstream sheds and recovers with time.
    ``joined`` tells that it came while this node owned the group, ``lapsed`` that
    it is out only because its entry is gone. ``pace`` is
    how much longer than usual its work takes. ``last_bad_s`` is when it failed
    last, ``last_stall_s`` when work on it took far longer than
    usual, ``unreached`` holds ``Unreached`` by entry node.
    """

    name: str
    host: str
    port: int
    slots: int
    data_centre: str
    born_ms: int
    warm_s: float
    health: Health
    odds: FailureEstimate
    in_flight: int = 0
    long_in_flight: int = 0
    joined: bool = False
    lapsed: bool = False
    last_grant_s: float = NEVER_S
    last_bad_s: float = NEVER_S
    last_stall_s: float = NEVER_S
    shed_limit: float = float("inf")
    pace: float = 1.0
    unreached: immutables.Map = immutables.Map()


@dataclasses.dataclass(frozen=True)
class Work:
    """An attempt; ``upstream`` is empty while it is queued.

    ``spread`` tells that the upstream was chosen so as not to stay unused.
    """

    ask: GrantRequest
    deadline_s: float
    target_s: float
    queued_s: float
    upstream: str = ""
    granted_s: float = 0.0
    risk: float = 0.0
    spread: bool = False
    stalls: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Crashes of upstreams while the same request ran on them."""

    crashed: frozenset
    seen_s: float


@dataclasses.dataclass(frozen=True)
class Group:
    """All that the owner of a group knows.

    ``works`` maps attempts to ``Work``. ``queued_long`` holds the places of
    ``queue`` whose work is long. ``usual_s`` maps routes to the usual
    time of their work. ``short_peak`` is the recent largest number of slots
    that short requests needed at once, ``since_s`` when this node began to own
    the group, ``first_slack`` the repeats that it may grant at once. ``budget``
    counts first and repeated attempts, ``served`` the requests that were served
    lately and those that were not, ``arrivals`` the admitted requests.
    ``quarantine`` maps fingerprints to their end.
    """

    plan: Plan
    budget: Window
    served: Window = Window(SERVED_SPAN_S, SERVED_SLICE_S)
    upstreams: immutables.Map = immutables.Map()
    works: immutables.Map = immutables.Map()
    queue: tuple = ()
    queued_long: tuple = ()
    usual_s: immutables.Map = immutables.Map()
    arrivals: Arrivals = Arrivals()
    recent_short_s: tuple = ()
    recent_long_s: tuple = ()
    short_limit_s: float = 0.0
    long_limit_s: float = 0.0
    short_mean_s: float = 0.0
    long_mean_s: float = 0.0
    short_peak: float = 0.0
    since_s: float = 0.0
    first_slack: int = FIRST_SLACK
    suspicions: immutables.Map = immutables.Map()
    quarantine: immutables.Map = immutables.Map()
    ejected_total: int = 0
    refused_total: int = 0

    def is_long(self, work):
        """Tell the class of a piece of work."""
        return work.ask.work_class is WorkClass.LONG


def new_group(plan, now, first_slack=FIRST_SLACK):
    """Return the state of a group that this node has begun to own."""
    first_s = plan.profile.detection.first_stall_ms / 1000
    group = Group(
        plan=plan,
        budget=new_budget(plan.profile.retries),
        short_limit_s=first_s,
        long_limit_s=first_s * 10,
        since_s=now,
        first_slack=first_slack,
    )
    return apply_plan(group, plan, now, first=True)


def apply_plan(group, plan, now, first=False):
    """Return the group under a new plan; work in flight goes on.

    With ``first`` the listed upstreams count as warm unless the list says that
    they are not: the owner is new, not they.
    """
    upstreams = group.upstreams
    listed = {member.name: member for member in plan.members}
    for name, upstream in upstreams.items():
        if name not in listed and not upstream.in_flight:
            upstreams = upstreams.delete(name)
        elif name not in listed and upstream.health.standing is not Standing.LEAVING:
            lapsed = replace(set_standing(upstream, Standing.LEAVING), lapsed=True)
            upstreams = upstreams.set(name, lapsed)
    for name, member in listed.items():
        known = upstreams.get(name)
        if known is None or known.born_ms != member.born_ms:
            known = _new_upstream(plan, member, now, first)
        elif member.leaving:
            known = set_standing(known, Standing.LEAVING)
        elif known.lapsed:
            known = replace(known, health=return_to_service(known.health, now))
        known = replace(
            known,
            host=member.host,
            port=member.port,
            slots=member.slots,
            warm_s=member.warm_s,
            lapsed=False,
        )
        upstreams = upstreams.set(name, known)
    return replace(group, plan=plan, upstreams=upstreams)


def _new_upstream(plan, member, now, first):
    health = new_health(now, member.leaving)
    if first and health.standing is Standing.COLD:
        health = replace(health, standing=Standing.HEALTHY, since_s=NEVER_S)
    return Upstream(
        member.name,
        member.host,
        member.port,
        member.slots,
        member.data_centre,
        member.born_ms,
        member.warm_s,
        health,
        new_failure_estimate(plan.profile.detection, now),
        joined=not first,
    )


def set_standing(upstream, standing):
    """Return the upstream with another standing."""
    health = replace(upstream.health, standing=standing)
    return replace(upstream, health=health)


def replace_upstream(group, upstream):
    """Return the group with one upstream replaced."""
    return replace(group, upstreams=group.upstreams.set(upstream.name, upstream))
