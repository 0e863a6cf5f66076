"""Grant requests: which group and owner to ask, and when to ask another."""

import immutables

from comfreyusher.entry._client_accounts import rank_request
from comfreyusher.entry._connections import find_connected_upstreams
from comfreyusher.entry._fingerprint import is_quarantined
from comfreyusher.entry._messages import SendReport
from comfreyusher.entry._owners import (
    CROSS_REGION_RESEND_TIMEOUT_S,
    find_other_loads,
    is_busy,
)
from comfreyusher.entry._responses import UNKNOWN_STATUS, send_error, send_response
from comfreyusher.entry._state import (
    Attempt,
    AttemptPhase,
    GrantConditions,
    UpstreamGroup,
)
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.membership import rank_owners
from comfreyusher.messages import (
    AttemptReport,
    DenialReason,
    GrantRequest,
    Outcome,
    ToNode,
    Verdict,
)
from comfreyusher.telemetry import format_context

DATAGRAMS = "datagrams"
ENTRY = "entry"
SPILL_OVERHEAD_BYTES = 2048
SPILL_BURST_S = 2.0
OWN_REGION_MAX_RISK = 0.45
LOW_RISK = GrantConditions(no_wait=True, max_risk=0.25)
GRANT_REQUESTS_PER_OWNER = 2
SKIP_SILENT_OWNER_S = 3.0
NO_GROUP_RETRY_AFTER_MS = 500
MAX_ATTEMPTS = 12


def begin_attempt(state, request):
    """Ask the owner of the best group for an upstream.

    A request that is quarantined meanwhile gets no further attempt.
    """
    if is_quarantined(state, request):
        return give_up(state, request, DenialReason.QUARANTINED.value)
    group = choose_group(state, request)
    if group is None:
        reason = f"no upstream of {request.match.service} is known"
        return give_up(state, request, reason, NO_GROUP_RETRY_AFTER_MS)
    may_spill = group.region == state.region and can_spill(state, request)
    limit_risk = may_spill and is_last_send(request)
    conditions = (
        GrantConditions(max_risk=OWN_REGION_MAX_RISK)
        if limit_risk
        else GrantConditions()
    )
    return request_grant(state, request, group, conditions)


def can_spill(state, request):
    """Tell whether the request may still go to a group of another region.

    Large bodies stay in their region, because sending them to another one
    costs more than they are worth.
    """
    if request.spilled or request.body_released or not request.body_ended:
        return False
    if request.match.route.large:
        return False
    return choose_group(state, request, spilling=True) is not None


def choose_group(state, request, spilling=False):
    """Return the group of the own region, else another one, else ``None``.

    With ``spilling`` only groups of other regions count.
    """
    groups = [
        group
        for group in state.groups.get(request.match.service, ())
        if not spilling or group.region != state.region
    ]
    groups.sort(key=lambda group: (group.region != state.region, group.name))
    return groups[0] if groups else None


def request_grant(state, request, group, conditions, tried_owners=()):
    """Begin an attempt with the best owner of a group.

    ``tried_owners`` are the owners that got a grant request before and granted
    nothing.
    """
    number = len(request.attempts) + 1
    ranking = rank_owners(state.ownership, group.name, group.region)
    state = replace(state, ownership=ranking.ownership)
    owner, rank = choose_owner(state, ranking.owners, tried_owners)
    grant_request = build_grant_request(
        state, request, group.name, number, rank, conditions
    )
    loads = find_other_loads(state, group.name, owner)
    if loads:
        grant_request = replace(grant_request, other_loads=loads)
    tried_owners = (*tried_owners, owner)
    attempt = Attempt(
        grant_request, owner, group.region, state.running_s, tried_owners=tried_owners
    )
    request = replace(request, attempts=(*request.attempts, attempt))
    return end_pipe(state, request, Envelope(DATAGRAMS, ToNode(owner, grant_request)))


def choose_owner(state, owners, tried_owners):
    """Return the next owner to ask and its rank.

    Owners that were silent recently are skipped. If none is left, this node is
    its own owner.
    """
    for rank, record in enumerate(owners):
        silent = state.silent_owners.get(record.node, 0.0) > state.now_s
        if record.node not in tried_owners and not silent:
            return record.node, rank
    return state.node, len(owners)


def build_grant_request(state, request, group_name, number, rank, conditions):
    """Return the grant request of an attempt, with the remaining time."""
    route = request.match.route
    avoided_upstreams = tuple(
        name
        for name, until_s in state.avoided_upstreams.items()
        if until_s > state.now_s
    )
    return GrantRequest(
        state.node,
        request.exchange,
        number,
        group_name,
        request.match.route_key,
        route.work_class,
        rank,
        route.idempotent,
        route.large,
        rank_request(state, request),
        max(0, int((request.deadline_s - state.now_s) * 1000)),
        max(0, int((request.target_s - state.now_s) * 1000)),
        request.sends,
        request.sends + 1 >= max_sends(request),
        conditions.no_wait,
        state.data_centre,
        request.request_id,
        request.fingerprint,
        request.tried_upstreams,
        avoided_upstreams,
        format_context(request.trace) if request.trace.sampled else "",
        conditions.max_risk,
        client_account=request.client_account.name if request.client_account else "",
        connected_upstreams=find_connected_upstreams(state, group_name, route),
        hedge=conditions.hedge,
    )


def conditions_of(grant_request):
    """Return the conditions that a grant request was made with."""
    return GrantConditions(
        grant_request.no_wait, grant_request.max_risk, grant_request.hedge
    )


def is_last_send(request):
    """Tell whether no retry could follow a failure of the next attempt."""
    if not request.match.route.idempotent:
        return True
    return request.sends + 1 >= max_sends(request)


def max_sends(request):
    """Return the maximum number of upstreams that a request may be sent to."""
    return (
        request.match.route.max_attempts or request.match.profile.retries.max_attempts
    )


def replace_attempt(request, attempt):
    """Return the request with one attempt replaced."""
    number = attempt.grant_request.attempt
    before, after = request.attempts[: number - 1], request.attempts[number:]
    return replace(request, attempts=(*before, attempt, *after))


def live_attempts(request):
    """Return the attempts that may still get a response."""
    return [a for a in request.attempts if a.phase is not AttemptPhase.ENDED]


# Owners that do not respond ------------------------------------------------------


def repeat_grant_request(state, request, attempt):
    """Resend a grant request, to the next owner if this one is silent.

    An owner that answers other requests is only busy, and is kept: two owners of
    a group at the same time would grant each slot twice.
    """
    cross_region = attempt.region != state.region
    if (
        cross_region
        and state.running_s - attempt.last_contact_s < CROSS_REGION_RESEND_TIMEOUT_S
    ):
        return end_pipe(state, request)
    is_silent = attempt.unanswered_requests >= GRANT_REQUESTS_PER_OWNER and not is_busy(
        state, attempt.owner
    )
    if is_silent and attempt.owner != state.node:
        silent = state.silent_owners.set(
            attempt.owner, state.now_s + SKIP_SILENT_OWNER_S
        )
        state = replace(state, silent_owners=silent)
        report = build_withdrawal(attempt)
        step = request_from_next_owner(state, request, attempt)
        return end_pipe(step.state, step.item, report, *step.messages)
    return _resend_grant_request(state, request, attempt)


def build_withdrawal(attempt):
    """Return a report that tells an owner that an attempt needs no upstream."""
    report = AttemptReport(
        attempt.key, attempt.grant_request.group, "", Verdict.CANCELLED, 0
    )
    return Envelope(ENTRY, SendReport(attempt.owner, report))


def request_from_next_owner(state, request, attempt):
    """End an attempt that was not granted, and ask the next owner."""
    request = replace_attempt(request, replace(attempt, phase=AttemptPhase.ENDED))
    if attempt.tentative:
        return begin_attempt(state, request)
    group = UpstreamGroup(attempt.grant_request.group, attempt.region)
    tried_owners = attempt.tried_owners
    conditions = conditions_of(attempt.grant_request)
    return request_grant(state, request, group, conditions, tried_owners)


def request_from_first_owner(state, request, attempt):
    """Ask the first owner of a group once more, although it was silent."""
    group = UpstreamGroup(attempt.grant_request.group, attempt.region)
    conditions = conditions_of(attempt.grant_request)
    regardless = replace(state, silent_owners=immutables.Map())
    step = request_grant(regardless, request, group, conditions)
    state = replace(step.state, silent_owners=state.silent_owners)
    return end_pipe(state, step.item, *step.messages)


def _resend_grant_request(state, request, attempt):
    now = state.now_s
    grant_request = replace(
        attempt.grant_request,
        remaining_ms=max(0, int((request.deadline_s - now) * 1000)),
        target_ms=max(0, int((request.target_s - now) * 1000)),
    )
    unanswered_requests = attempt.unanswered_requests + 1
    attempt = replace(
        attempt,
        grant_request=grant_request,
        last_contact_s=state.running_s,
        unanswered_requests=unanswered_requests,
    )
    request = replace_attempt(request, attempt)
    return end_pipe(
        state, request, Envelope(DATAGRAMS, ToNode(attempt.owner, grant_request))
    )


# Other regions, and giving up ----------------------------------------------------


def try_other_region(state, request, conditions):
    """Send a request to another region if the spill budget in bytes allows it.

    Return ``None`` if it does not.
    """
    if not can_spill(state, request):
        return None
    group = choose_group(state, request, spilling=True)
    state = refill_spill_tokens(state, request.match.profile.spill_bytes_per_s)
    cost = request.buffered_bytes + SPILL_OVERHEAD_BYTES
    if state.spill_tokens < cost:
        return None
    state = replace(state, spill_tokens=state.spill_tokens - cost)
    request = replace(request, spilled=True)
    return request_grant(state, request, group, conditions)


def refill_spill_tokens(state, rate_bytes_per_s):
    """Return the state with the token bucket of the spill budget refilled."""
    earned = (state.now_s - state.spill_refilled_s) * rate_bytes_per_s
    tokens = min(state.spill_tokens + earned, rate_bytes_per_s * SPILL_BURST_S)
    return replace(state, spill_tokens=tokens, spill_refilled_s=state.now_s)


def give_up(state, request, reason, retry_after_ms=0):
    """End a request without a successful response, unless an attempt still runs.

    The caller gets the error response of an upstream if there is one that may be
    sent. Otherwise the outcome tells whether the request may have run.
    """
    if live_attempts(request):
        return end_pipe(state, request)
    if request.failed_responses and not request.streaming_attempt:
        return send_response(state, request, request.failed_responses[0])
    if request.may_have_run or request.streaming_attempt:
        return send_error(state, request, Outcome.UNKNOWN, UNKNOWN_STATUS, reason)
    return send_error(state, request, Outcome.NOT_RUN, 503, reason, retry_after_ms)
