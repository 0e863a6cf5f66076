"""The token bucket of one client account at its holder. Times are monotonic seconds."""

import dataclasses
import math

from comfreyusher.flow import replace

# Without a burst a bucket must still hold what arrives in a moment by chance.
MIN_CAPACITY = 1.0
MIN_CAPACITY_S = 0.1
# Shares of the allowed overshoot and slack that are lent while the first holder does
# not answer; docs/design/quotas.md adds up all shares.
RESERVE_RATE_SHARE = 0.2
# At once, and again in each window: together half of the slack.
RESERVE_SLACK_SHARE = 0.25
LENT_MEAN_S = 5.0


@dataclasses.dataclass(frozen=True)
class Bucket:
    """Tokens of an account, and a small reserve for when another member is first.

    ``rate_per_s`` and ``capacity`` are those of the last configuration that had the
    account. ``is_first`` tells that this node lends at the full rate. ``slot_s`` is
    the time that the last node without tokens was told to ask again.
    """

    rate_per_s: float
    capacity: float
    level: float
    refilled_s: float
    is_first: bool = False
    reserve: float = 0.0
    reserve_s: float = 0.0
    slot_s: float = 0.0
    lent_per_s: float = 0.0
    used_s: float = 0.0


def capacity_of(account):
    """Return how many tokens the bucket of a client account holds."""
    return max(account.burst, MIN_CAPACITY, MIN_CAPACITY_S * account.rate_per_s)


def new_bucket(account, level, now, slack):
    """Return the bucket of an account that was not in use at this node."""
    capacity = capacity_of(account)
    reserve = slack * RESERVE_SLACK_SHARE
    return Bucket(
        account.rate_per_s,
        capacity,
        min(level, capacity),
        now,
        reserve=reserve,
        reserve_s=now,
        used_s=now,
    )


def refill(bucket, share, view, now):
    """Return the bucket with what it earned since the last time."""
    elapsed_s = max(0.0, now - bucket.refilled_s)
    level = bucket.level + elapsed_s * bucket.rate_per_s * share
    full = view.slack * RESERVE_SLACK_SHARE
    reserve_rate = bucket.rate_per_s * view.overshoot * RESERVE_RATE_SHARE
    reserve_rate += full / view.window_s
    reserve = bucket.reserve + max(0.0, now - bucket.reserve_s) * reserve_rate
    return replace(
        bucket,
        level=min(bucket.capacity, level),
        refilled_s=max(now, bucket.refilled_s),
        reserve=min(full, reserve),
        reserve_s=now,
        lent_per_s=bucket.lent_per_s * math.exp(-elapsed_s / LENT_MEAN_S),
    )


def change_limits(bucket, account):
    """Return the bucket under a new rate and burst; it was refilled at the old rate."""
    capacity = capacity_of(account)
    return replace(
        bucket,
        rate_per_s=account.rate_per_s,
        capacity=capacity,
        level=min(bucket.level, capacity),
    )


def take(bucket, wanted, now):
    """Return the bucket and the whole tokens that it lends, at most ``wanted``."""
    count = max(0, min(wanted, int(bucket.level)))
    return replace(
        bucket,
        level=bucket.level - count,
        lent_per_s=bucket.lent_per_s + count / LENT_MEAN_S,
        used_s=now,
    ), count


def take_reserve(bucket, wanted, now):
    """Return the bucket and the tokens that it lends from its reserve."""
    count = max(0, min(wanted, int(bucket.reserve)))
    return replace(bucket, reserve=bucket.reserve - count, used_s=now), count


def put_back(bucket, count):
    """Return the bucket with tokens that were not used."""
    return replace(bucket, level=min(bucket.capacity, bucket.level + count))
