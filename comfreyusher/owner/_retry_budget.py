"""The retry budget of a group: a share of its requests, plus some slack.

Every attempt needs a grant of the group's owner, so the owner counts for all
VMs. The sliding window of the budget counts first attempts and retries.
"""

from comfreyusher.owner._window import SlidingWindow, count_totals

BUCKET_S = 0.25


def new_retry_budget(retries):
    """Return an empty budget with the window of the profile's ``retries``."""
    return SlidingWindow(retries.window_ms / 1000, BUCKET_S)


def available_slack(slack, initial_slack, owned_since_s, window_s, now):
    """Return how many retries beyond the share an owner may grant now.

    The slack grows over ``window_s`` seconds from ``owned_since_s``, when the node
    became the owner. An earlier owner may have spent the slack of the window just
    before, so only ``initial_slack`` is available at once.
    """
    return max(initial_slack, slack * min(1.0, (now - owned_since_s) / window_s))


def allows_retry(retry_budget, share, slack, now):
    """Tell whether one more retry stays within the budget."""
    first_attempts, retries = count_totals(retry_budget, now)
    return retries + 1 <= share * first_attempts + slack
