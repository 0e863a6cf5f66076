"""The choice of group and owner, and the offer."""

from comfreyusher.entry._answer import refuse
from comfreyusher.flow import Address, change, stopped
from comfreyusher.membership import rank_owners
from comfreyusher.messages import Offer, Outcome, ToNode, WorkClass, WorkKey
from comfreyusher.telemetry import format_context

MAX_OWNERS_TRIED = 3
SPILL_OVERHEAD_BYTES = 2048
SPILL_BURST_S = 2.0


def forward(state, visit):
    """Offer the request to the owner of the best group."""
    place = choose_group(state, visit)
    if place is None:
        reason = f"no upstream of {visit.match.service.name} is known"
        return refuse(state, visit, Outcome.NOT_RUN, 503, reason, 1000)
    ranking = rank_owners(state.ownership, place.name, place.region)
    state = change(state, ownership=ranking.ownership)
    for record in ranking.owners:
        if record.node not in visit.tried_owners:
            return offer_to(state, visit, place, record.node)
    reason = f"no owner of {place.name} could be reached"
    return refuse(state, visit, Outcome.NOT_RUN, 503, reason, 1000)


def choose_group(state, visit):
    """Return the group to try next: the own region's first, or ``None``."""
    places = [
        place
        for place in state.groups.get(visit.match.service.name, ())
        if place.name not in visit.tried_groups
    ]
    places.sort(key=lambda place: (place.region != state.region, place.name))
    return places[0] if places else None


def offer_to(state, visit, place, owner):
    """Send the offer to an owner."""
    number = state.works + 1
    key = WorkKey(state.node, number)
    route = visit.match.route
    request = visit.request
    remaining_ms = int((visit.deadline_s - state.now_s) * 1000)
    if remaining_ms <= 0:
        reason = "the deadline passed before the request was offered"
        return refuse(state, visit, Outcome.NOT_RUN, 503, reason, 1000)
    offer = Offer(
        key,
        place.name,
        route.work_class,
        remaining_ms,
        route.idempotent,
        visit.request_id,
        visit.fingerprint,
        format_context(visit.trace),
        request.head,
        b"".join((request.body, *visit.held)),
        visit.body_ended,
    )
    state = change(state, works=number)
    visit = change(
        visit,
        work=key,
        owner=owner,
        group=place.name,
        tried_owners=visit.tried_owners | {owner},
    )
    return stopped(state, visit, Address("peers", ToNode(owner, offer)))


def may_offer_again(visit):
    """Tell whether the request's body is still complete on this node."""
    return not visit.started and not visit.body_moved


def try_other_owner(state, visit):
    """Offer work that was certainly not run to the next owner, if any."""
    tried = len(visit.tried_owners)
    if not may_offer_again(visit) or tried >= MAX_OWNERS_TRIED:
        return None
    return forward(state, visit)


def try_other_group(state, visit):
    """Spill refused short work to the other region, within the budget."""
    if not may_offer_again(visit) or not visit.body_ended:
        return None
    if visit.match.route.work_class is WorkClass.LONG or visit.key is not None:
        return None
    visit = change(
        visit,
        tried_groups=visit.tried_groups | {visit.group},
        tried_owners=frozenset(),
    )
    if choose_group(state, visit) is None:
        return None
    state = refill_spill(state, visit.match.profile.spill_bytes_per_s)
    cost = len(visit.request.body) + SPILL_OVERHEAD_BYTES
    if state.spill_tokens < cost:
        return None
    state = change(state, spill_tokens=state.spill_tokens - cost)
    return forward(state, visit)


def refill_spill(state, rate_bytes_per_s):
    """Return the state with the spill budget of the time that passed."""
    earned = (state.now_s - state.spill_s) * rate_bytes_per_s
    tokens = min(state.spill_tokens + earned, rate_bytes_per_s * SPILL_BURST_S)
    return change(state, spill_tokens=tokens, spill_s=state.now_s)
