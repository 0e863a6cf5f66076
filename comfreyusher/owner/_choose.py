"""Choice of the upstream for the next piece of work.

Every upstream with a free slot has a cost: the risk that it fails, weighed by
what a failure costs this request, and small parts for load, pace and distance.
A request that must not be repeated loses all by a failure; an idempotent one
loses a little time and teaches the owner something.
"""

import dataclasses
import enum
import math

from comfreyusher.flow import replace
from comfreyusher.health import failure_probability
from comfreyusher.owner._room import fits, free_limit, is_allowed, takes_work
from comfreyusher.owner._spread import is_unused, needs_spread, seems_sound
from comfreyusher.owner._state import NEVER_S

REPEATABLE_RISK_WEIGHT = 0.8
LOAD_WEIGHT = 0.03
PACE_WEIGHT = 0.1
FAR_WEIGHT = 0.025
FAR_WEIGHT_LARGE = 0.2
UNTRIED_BONUS = 0.4
PROBE_AFTER_S = 1.0
HOLD_RISK = 0.4
HOLD_GAIN = 0.2
HOLD_MARGIN = 1.0
DEFAULT_USUAL_S = 0.2


class Purpose(enum.IntEnum):
    """For what an upstream is chosen; the smallest goes first.

    SPREAD keeps the floor's share of upstreams in use, PROBE finds out whether
    one that failed is well again.
    """

    SPREAD = 0
    PROBE = 1
    SERVE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An upstream for work, the risk that it fails, and why it was chosen."""

    upstream: object
    risk: float
    purpose: Purpose = Purpose.SERVE


@dataclasses.dataclass(frozen=True, slots=True)
class Prospect:
    """An upstream that may get work: the risk that it fails, and if it has a slot."""

    upstream: object
    risk: float
    free: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Survey:
    """What the choices of one moment share: the ``Prospect`` tuple, and the spread."""

    prospects: tuple
    spreading: bool

    def has_free(self):
        """Tell whether any upstream could take one more request."""
        return any(prospect.free for prospect in self.prospects)


def survey_upstreams(group, now):
    """Return the ``Survey`` of a group."""
    prospects = tuple(
        _prospect_of(group, upstream, now)
        for upstream in group.upstreams.values()
        if takes_work(upstream)
    )
    return Survey(prospects, needs_spread(group, now))


def survey_again(survey, group, name, now):
    """Return the survey after one upstream of the group got work."""
    renewed = _prospect_of(group, group.upstreams[name], now)
    prospects = tuple(
        renewed if prospect.upstream.name == name else prospect
        for prospect in survey.prospects
    )
    return replace(survey, prospects=prospects)


def _prospect_of(group, upstream, now):
    risk = failure_probability(upstream.odds, group.plan.profile.detection, now)
    free = upstream.in_flight < free_limit(group, upstream, now)
    return Prospect(upstream, risk, free)


def choose_upstream(group, work, survey, now):
    """Return the ``Choice`` for the work, or ``None`` to let it wait.

    While requests fail, a sound upstream that is unused comes first. Attempts
    that may be repeated also try upstreams that failed, now and then.
    """
    best, best_rank = None, (math.inf,)
    least_risk, safe_slots = 1.0, 0
    for prospect in survey.prospects:
        upstream, risk = prospect.upstream, prospect.risk
        if not is_allowed(upstream, work, now):
            continue
        least_risk = min(least_risk, risk)
        safe_slots += upstream.slots if risk < HOLD_RISK else 0
        if not prospect.free or not fits(group, upstream, work):
            continue
        purpose = purpose_of(upstream, work.ask, risk, survey.spreading, now)
        cost = cost_of(upstream, work.ask, risk) if purpose is Purpose.SERVE else 0.0
        rank = (purpose, cost, upstream.last_grant_s, upstream.name)
        if rank < best_rank:
            best, best_rank = Choice(upstream, risk, purpose), rank
    if best is None or best.purpose is not Purpose.SERVE:
        return best
    much_safer = best.risk >= HOLD_RISK and best.risk - least_risk >= HOLD_GAIN
    if much_safer and is_served_in_time(group, work, safe_slots, now):
        return None
    return best


def purpose_of(upstream, ask, risk, spreading, now):
    """Return for what an upstream would be chosen."""
    if spreading and is_unused(upstream, now) and seems_sound(upstream, now):
        return Purpose.SPREAD
    if risk >= HOLD_RISK and is_probe_due(upstream, ask, now):
        return Purpose.PROBE
    return Purpose.SERVE


def cost_of(upstream, ask, risk):
    """Return the cost of an upstream for an attempt; the smallest is chosen.

    An upstream that has just joined is tried once, however proven the others
    are: nothing would ever be known of it otherwise.
    """
    cost = risk * (1.0 if is_last_chance(ask) else REPEATABLE_RISK_WEIGHT)
    cost += LOAD_WEIGHT * upstream.in_flight / upstream.slots
    cost += PACE_WEIGHT * max(0.0, upstream.pace - 1.0)
    if upstream.data_centre != ask.data_centre:
        cost += FAR_WEIGHT_LARGE if ask.large else FAR_WEIGHT
    if upstream.joined and upstream.last_grant_s == NEVER_S:
        cost -= UNTRIED_BONUS
    return cost


def is_probe_due(upstream, ask, now):
    """Tell whether an attempt should find out if a failing upstream is well again.

    After a good answer the next one follows at once, after a failure it rests.
    """
    if is_last_chance(ask) or upstream.in_flight:
        return False
    last_bad_s = max(upstream.last_bad_s, upstream.last_stall_s)
    return now - last_bad_s > PROBE_AFTER_S


def is_last_chance(ask):
    """Tell whether a failure of the attempt would probably be final."""
    return ask.last_attempt or not ask.idempotent


def is_served_in_time(group, work, safe_slots, now):
    """Tell whether safe upstreams would answer the work within its target.

    What exceeds the safe slots has to go to the others in any case, only later.
    """
    if not safe_slots:
        return False
    usual_s = group.usual_s.get(work.ask.route_key, DEFAULT_USUAL_S)
    turns = 1 + len(group.queue) / safe_slots
    return now + usual_s * (turns + HOLD_MARGIN) < work.target_s
