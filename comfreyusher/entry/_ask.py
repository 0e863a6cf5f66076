"""Attempts: which group and owner to ask, and when to ask another."""

from comfreyusher.entry._answer import deliver, refuse
from comfreyusher.entry._messages import ReportTo
from comfreyusher.entry._owners import ASK_WAIT_FAR_S, is_busy
from comfreyusher.entry._state import Attempt, GroupPlace, Phase, Terms
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.membership import rank_owners
from comfreyusher.messages import AttemptReport, GrantRequest, Outcome, ToNode, Verdict
from comfreyusher.telemetry import format_context

DATAGRAMS = "datagrams"
REPORTS = "entry"
SPILL_OVERHEAD_BYTES = 2048
SPILL_BURST_S = 2.0
HOME_MAX_RISK = 0.45
SAFER = Terms(spare=True, max_risk=0.25)
ASKS_PER_OWNER = 2
SILENT_OWNER_S = 3.0
NO_GROUP_RETRY_MS = 500
MAX_ATTEMPTS = 12


def begin_attempt(state, visit):
    """Ask the owner of the best group for an upstream."""
    place = choose_group(state, visit)
    if place is None:
        reason = f"no upstream of {visit.match.service} is known"
        return give_up(state, visit, reason, NO_GROUP_RETRY_MS)
    may_spill = place.region == state.region and may_try_elsewhere(state, visit)
    safer = may_spill and is_last_send(visit)
    terms = Terms(max_risk=HOME_MAX_RISK) if safer else Terms()
    return ask_group(state, visit, place, terms)


def may_try_elsewhere(state, visit):
    """Tell whether a group of another region is still to be asked, if need be.

    Large bodies stay in their region: crossing costs more than they are worth.
    """
    if visit.spilled or visit.body_moved or not visit.body_ended:
        return False
    if visit.match.route.large:
        return False
    return choose_group(state, visit, spilling=True) is not None


def choose_group(state, visit, spilling=False):
    """Return the group of the own region, or another one, or ``None``.

    With ``spilling`` only groups of other regions count.
    """
    places = [
        place
        for place in state.groups.get(visit.match.service, ())
        if not spilling or place.region != state.region
    ]
    places.sort(key=lambda place: (place.region != state.region, place.name))
    return places[0] if places else None


def ask_group(state, visit, place, terms, asked=()):
    """Begin an attempt with the best owner of a group.

    ``asked`` are owners that were asked for the request before in vain.
    """
    number = len(visit.attempts) + 1
    ranking = rank_owners(state.ownership, place.name, place.region)
    state = replace(state, ownership=ranking.ownership)
    owner, rank = choose_owner(state, ranking.owners, asked)
    ask = build_ask(state, visit, place.name, number, rank, terms)
    asked = (*asked, owner)
    attempt = Attempt(ask, owner, place.region, state.awake_s, asked_owners=asked)
    visit = replace(visit, attempts=(*visit.attempts, attempt))
    return end_pipe(state, visit, Envelope(DATAGRAMS, ToNode(owner, ask)))


def choose_owner(state, owners, asked):
    """Return the next owner to ask and its rank; this node is the last one.

    Owners that were silent a moment ago are passed over.
    """
    for rank, record in enumerate(owners):
        silent = state.silent_owners.get(record.node, 0.0) > state.now_s
        if record.node not in asked and not silent:
            return record.node, rank
    return state.node, len(owners)


def build_ask(state, visit, group, number, rank, terms):
    """Return the ask of an attempt, with the time that is left."""
    route = visit.match.route
    avoided = tuple(
        name for name, until_s in state.avoided.items() if until_s > state.now_s
    )
    return GrantRequest(
        state.node,
        visit.exchange,
        number,
        group,
        visit.match.route_key,
        route.work_class,
        rank,
        route.idempotent,
        route.large,
        route.priority,
        max(0, int((visit.deadline_s - state.now_s) * 1000)),
        max(0, int((visit.target_s - state.now_s) * 1000)),
        visit.sends,
        visit.sends + 1 >= max_sends(visit),
        terms.spare,
        state.data_centre,
        visit.request_id,
        visit.fingerprint,
        visit.tried,
        avoided,
        format_context(visit.trace) if visit.trace.sampled else "",
        terms.max_risk,
    )


def is_last_send(visit):
    """Tell whether a failure of the next attempt could not be mended."""
    if not visit.match.route.idempotent:
        return True
    return visit.sends + 1 >= max_sends(visit)


def max_sends(visit):
    """Return how many upstreams one request may be sent to."""
    return visit.match.route.max_attempts or visit.match.profile.retries.max_attempts


def replace_attempt(visit, attempt):
    """Return the visit with one attempt replaced."""
    number = attempt.ask.attempt
    before, after = visit.attempts[: number - 1], visit.attempts[number:]
    return replace(visit, attempts=(*before, attempt, *after))


def live_attempts(visit):
    """Return the attempts that may still bring an answer."""
    return [a for a in visit.attempts if a.phase is not Phase.ENDED]


# Owners that do not answer -------------------------------------------------------


def ask_again(state, visit, attempt):
    """Repeat an ask, to the next owner if this one stays silent.

    An owner that answers other asks works through its queue. Two owners at
    once would give away each slot twice.
    """
    far = attempt.region != state.region
    if far and state.awake_s - attempt.told_s < ASK_WAIT_FAR_S:
        return end_pipe(state, visit)
    is_silent = attempt.unheard >= ASKS_PER_OWNER and not is_busy(state, attempt.owner)
    if is_silent and attempt.owner != state.node:
        silent = state.silent_owners.set(attempt.owner, state.now_s + SILENT_OWNER_S)
        state = replace(state, silent_owners=silent)
        report = withdraw(attempt)
        step = ask_next_owner(state, visit, attempt)
        return end_pipe(step.state, step.item, report, *step.messages)
    return _send_ask(state, visit, attempt)


def withdraw(attempt):
    """Tell an owner that an attempt needs no upstream any more."""
    report = AttemptReport(attempt.key, attempt.ask.group, "", Verdict.CANCELLED, 0)
    return Envelope(REPORTS, ReportTo(attempt.owner, report))


def ask_next_owner(state, visit, attempt):
    """End an attempt that was not granted, and ask the next owner."""
    visit = replace_attempt(visit, replace(attempt, phase=Phase.ENDED))
    if attempt.tentative:
        return begin_attempt(state, visit)
    place = GroupPlace(attempt.ask.group, attempt.region)
    asked = attempt.asked_owners
    terms = Terms(attempt.ask.no_wait, attempt.ask.max_risk)
    return ask_group(state, visit, place, terms, asked)


def _send_ask(state, visit, attempt):
    now = state.now_s
    ask = replace(
        attempt.ask,
        remaining_ms=max(0, int((visit.deadline_s - now) * 1000)),
        target_ms=max(0, int((visit.target_s - now) * 1000)),
    )
    unheard = attempt.unheard + 1
    attempt = replace(attempt, ask=ask, told_s=state.awake_s, unheard=unheard)
    visit = replace_attempt(visit, attempt)
    return end_pipe(state, visit, Envelope(DATAGRAMS, ToNode(attempt.owner, ask)))


# Other groups, and the end ---------------------------------------------------------


def try_other_region(state, visit, terms):
    """Spill a request to another region, within the budget of bytes."""
    if not may_try_elsewhere(state, visit):
        return None
    place = choose_group(state, visit, spilling=True)
    state = refill_spill(state, visit.match.profile.spill_bytes_per_s)
    cost = visit.kept_bytes + SPILL_OVERHEAD_BYTES
    if state.spill_tokens < cost:
        return None
    state = replace(state, spill_tokens=state.spill_tokens - cost)
    visit = replace(visit, spilled=True)
    return ask_group(state, visit, place, terms)


def refill_spill(state, rate_bytes_per_s):
    """Return the state with the spill budget of the time that passed."""
    earned = (state.now_s - state.spill_s) * rate_bytes_per_s
    tokens = min(state.spill_tokens + earned, rate_bytes_per_s * SPILL_BURST_S)
    return replace(state, spill_tokens=tokens, spill_s=state.now_s)


def give_up(state, visit, reason, retry_after_ms=0):
    """End a visit without a good answer, by what is known of its attempts."""
    if visit.failure and not visit.streaming:
        return deliver(state, visit, visit.failure[0])
    if visit.ran or visit.streaming:
        return refuse(state, visit, Outcome.UNKNOWN, 502, reason)
    return refuse(state, visit, Outcome.NOT_RUN, 503, reason, retry_after_ms)
