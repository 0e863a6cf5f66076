"""What the quota task gets of the configuration, the settings and the members."""

import immutables

from comfreyusher.quota import QuotaView
from comfreyusher.settings import parse_duration_ms

NO_QUOTA = QuotaView(immutables.Map(), ())


def select_limited(client_accounts):
    """Return the client accounts with a rate, by name."""
    limited = {a.name: a for a in client_accounts if a.rate_per_s > 0}
    return immutables.Map(limited)


def build_quota_view(accounts, changed, fleet, leaving):
    """Return the view for the quota task; ``changed`` are the newest members."""
    return QuotaView(
        accounts,
        changed.members,
        changed.departed,
        leaving,
        parse_duration_ms(fleet.quota_window) / 1000,
        fleet.quota_overshoot,
        fleet.quota_slack,
        (*fleet.seeds, *fleet.gossip_seeds),
    )
