"""Decisions on the tokens that requests of client accounts with a rate need."""

from comfreyusher.entry._fingerprint import is_quarantined
from comfreyusher.entry._grant_requests import begin_attempt
from comfreyusher.entry._responses import send_error
from comfreyusher.flow import Envelope, continue_pipe, end_pipe, replace
from comfreyusher.messages import Outcome
from comfreyusher.quota import TokenWanted

QUOTA = "quota"
OVER_RATE_STATUS = 429


def require_token(state, request):
    """Hold the request until it has a token, if its client account has a rate.

    A quarantined request needs none, since it is not sent.
    """
    account = request.client_account
    if account is None or account.rate_per_s <= 0 or is_quarantined(state, request):
        return continue_pipe(state, request)
    wanted = Envelope(QUOTA, TokenWanted(request.exchange, account.name))
    return end_pipe(state, replace(request, held_for_token=True), wanted)


def handle_token_decision(state, request, decision):
    """Begin the first attempt of a request that has got a token, or refuse it."""
    if not request.held_for_token:
        return end_pipe(state, request)
    request = replace(request, held_for_token=False)
    if decision.granted:
        return begin_attempt(state, replace(request, has_token=True))
    name = request.client_account.name
    reason = f"client account {name} is over its rate"
    if decision.unanswered:
        reason = f"no holder of the rate of client account {name} answers"
    return send_error(
        state,
        request,
        Outcome.NOT_RUN,
        OVER_RATE_STATUS,
        reason,
        decision.retry_after_ms,
    )


def is_unused(request):
    """Tell whether a request of a caller that went away has not used its token."""
    was_sent = any(attempt.sent_s for attempt in request.attempts)
    return request.has_token and not was_sent and not request.may_have_run
