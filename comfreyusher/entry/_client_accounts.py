"""Client accounts: whose request it is, its rank, and what its upstream is told."""

import xxhash

from comfreyusher.entry._responses import send_error
from comfreyusher.entry._state import KeyFault
from comfreyusher.flow import continue_pipe, replace
from comfreyusher.messages import Outcome
from comfreyusher.platform import find_account_keys
from comfreyusher.routing import find_client_account, has_client_accounts

MAX_ROUTE_PRIORITY = 1_000_000
KEY_REASONS = {
    KeyFault.MISSING: "send the key of a client account as 'Authorization: Token KEY'",
    KeyFault.UNKNOWN: "the key in 'Authorization' is not one of a client account",
    KeyFault.UNDECIDED: "this node waits for a newer configuration, which may allow it",
}
# Most nodes have a new version after this time; the spread keeps callers apart.
UNDECIDED_RETRY_AFTER_MS = 400
UNDECIDED_SPREAD_MS = 400


def identify_client_account(state, request):
    """Find the client account by the key in the request.

    Reject a request without a known key, unless its route is public. That is final, so
    it is left open while a newer configuration exists that may allow the request.
    """
    if not has_client_accounts(state.table):
        if request.client_account is not None:
            request = replace(request, client_account=None)
        return continue_pipe(state, request)
    keys = find_account_keys(request.start.head)
    account = find_client_account(state.table, keys[0]) if len(keys) == 1 else None
    if account is None and not request.match.route.public:
        return _refuse(state, request, has_key=bool(keys))
    return continue_pipe(state, replace(request, client_account=account))


def _refuse(state, request, has_key):
    fault = KeyFault.UNKNOWN if has_key else KeyFault.MISSING
    status, retry_after_ms = 401, 0
    if state.is_outdated:
        fault, status = KeyFault.UNDECIDED, 503
        spread_ms = (
            xxhash.xxh32_intdigest(request.request_id.encode()) % UNDECIDED_SPREAD_MS
        )
        retry_after_ms = UNDECIDED_RETRY_AFTER_MS + spread_ms
    request = replace(request, client_account=None, key_fault=fault)
    reason = KEY_REASONS[fault]
    return send_error(state, request, Outcome.NOT_RUN, status, reason, retry_after_ms)


def rank_request(state, request):
    """Return the rank of a request: by its account's priority, then by its route's.

    A request without an account ranks like one of an account with priority 0. Without
    client accounts the rank is the route's priority.
    """
    priority = request.match.route.priority
    if not has_client_accounts(state.table):
        return priority
    account = request.client_account
    first_rank = account.priority * (MAX_ROUTE_PRIORITY + 1) if account else 0
    return first_rank + min(priority, MAX_ROUTE_PRIORITY)


def name_account(state, request):
    """Return the name of the account to tell the upstream, empty for none.

    ``None`` means that there are no client accounts, so that nothing is told. A
    request that was identified before the last account was removed still is one of
    its account, and its key is still not sent.
    """
    if request.client_account is not None:
        return request.client_account.name
    return "" if has_client_accounts(state.table) else None
