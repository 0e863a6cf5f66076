"""State of a group, as its owner keeps it. Times are monotonic seconds."""

import dataclasses

import immutables

from comfreyusher.declarations import Profile
from comfreyusher.flow import change
from comfreyusher.health import Health, Standing, new_health
from comfreyusher.messages import Offer, WorkClass, WorkKey

RECENT_DURATIONS = 128
RETRY_TOKENS_MAX = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Identity of one dispatch; a late reply to an earlier one is ignored."""

    key: WorkKey
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An upstream as the platform's list shows it."""

    name: str
    host: str
    port: int
    slots: int
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What configuration and the list say about a group."""

    group: str
    profile: Profile
    configured_slots: int
    members: tuple = ()


@dataclasses.dataclass(frozen=True)
class Upstream:
    """An upstream and the work on it.

    ``limit`` is lowered when the upstream sheds and recovers with time.
    """

    name: str
    host: str
    port: int
    slots: int
    health: Health
    in_flight: int = 0
    long_in_flight: int = 0
    last_pick: int = 0
    shed_limit: float = float("inf")
    opinion_asked_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Work:
    """Offered work; ``upstream`` is empty while it is queued.

    ``ready_s`` is when the whole request was on its way to the upstream, or 0.
    ``held`` keeps body bytes until the upstream's socket took the first.
    ``may_have_run`` is set once an earlier dispatch may have taken effect.
    """

    offer: Offer
    deadline_s: float
    queued_s: float
    held: tuple = ()
    held_ended: bool = True
    upstream: str = ""
    dispatched_s: float = 0.0
    ready_s: float = 0.0
    attempts: int = 0
    stalls: int = 0
    started: bool = False
    credited: bool = False
    may_have_run: bool = False
    tried: frozenset = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Crashes of upstreams while the same request ran on them."""

    crashed: frozenset
    seen_s: float


@dataclasses.dataclass(frozen=True)
class Group:
    """All that the owner of a group knows.

    ``short_peak`` is the recent largest number of short requests that ran or
    waited at once; it decays with time.
    """

    plan: Plan
    upstreams: immutables.Map = immutables.Map()
    works: immutables.Map = immutables.Map()
    short_queue: tuple = ()
    long_queue: tuple = ()
    recent_short_s: tuple = ()
    recent_long_s: tuple = ()
    short_limit_s: float = 0.0
    long_limit_s: float = 0.0
    short_mean_s: float = 0.0
    long_mean_s: float = 0.0
    short_peak: float = 0.0
    retry_tokens: float = RETRY_TOKENS_MAX
    suspicions: immutables.Map = immutables.Map()
    picks: int = 0
    ejected_total: int = 0
    refused_total: int = 0

    def is_long(self, work):
        """Tell the class of a piece of work."""
        return work.offer.work_class is WorkClass.LONG


def new_group(plan, now):
    """Return the state of a group that this node has begun to own."""
    first_s = plan.profile.detection.first_stall_ms / 1000
    group = Group(plan=plan, short_limit_s=first_s, long_limit_s=first_s * 10)
    return apply_plan(group, plan, now)


def apply_plan(group, plan, now):
    """Return the group under a new plan; work in flight goes on."""
    upstreams = group.upstreams
    listed = {member.name: member for member in plan.members}
    for name, upstream in upstreams.items():
        if name not in listed and not upstream.in_flight:
            upstreams = upstreams.delete(name)
        elif name not in listed:
            upstreams = upstreams.set(name, set_standing(upstream, Standing.LEAVING))
    for name, member in listed.items():
        known = upstreams.get(name)
        if known is None:
            health = new_health(now, member.leaving)
            known = Upstream(name, member.host, member.port, member.slots, health)
        elif member.leaving:
            known = set_standing(known, Standing.LEAVING)
        known = change(known, host=member.host, port=member.port, slots=member.slots)
        upstreams = upstreams.set(name, known)
    return change(group, plan=plan, upstreams=upstreams)


def set_standing(upstream, standing):
    """Return the upstream with another standing."""
    health = change(upstream.health, standing=standing)
    return change(upstream, health=health)
