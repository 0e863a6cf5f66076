"""Load spreading: more than the floor's share of the sound upstreams is in use.

It does not wait for failures: what was in use before they begin counts as well, and
some become known only after seconds. Once many requests fail, no sound upstream may
stay idle.
"""

import enum

from comfreyusher.owner._usage import RECENT_FAILURE_S, is_sound
from comfreyusher.owner._window import count_totals

SPREAD_ABOVE_FAILED_SHARE = 0.04

# Half of the time in which the floor's share must get a request: if all nodes are lost
# at any moment, what was used in the other half still counts.
IDLE_AFTER_S = 1.0
FLOOR_MARGIN_SHARE = 0.05
UNCERTAIN_UPSTREAMS = 2
MAX_SPREAD_RISK = 0.85
# An upstream that fails for longer than this is tried less often.
LASTING_FAILURE_S = 4.0
LASTING_FAILURE_PAUSE_S = 10.0


class Spreading(enum.IntEnum):
    """Which idle upstreams get requests before the others.

    ``FLOOR`` uses the least risky of them, ``ALL`` any that has not failed recently.
    """

    NONE = 0
    FLOOR = 1
    ALL = 2


def choose_spreading(group, now):
    """Return the ``Spreading`` that the group needs now."""
    if do_many_requests_fail(group, now):
        return Spreading.ALL
    sound = [u for u in group.upstreams.values() if is_sound(u, now)]
    in_use = sum(not is_idle(upstream, now) for upstream in sound)
    too_few = in_use < count_wanted(group, len(sound))
    return Spreading.FLOOR if too_few else Spreading.NONE


def count_wanted(group, sound):
    """Return how many of the ``sound`` upstreams of a group should be in use.

    Not all that this owner takes for sound are so, which matters in small groups.
    """
    spare_share = max(0.0, 1.0 - group.plan.profile.floor_share - FLOOR_MARGIN_SHARE)
    spare = int(spare_share * max(0, sound - UNCERTAIN_UPSTREAMS))
    return sound - spare


def do_many_requests_fail(group, now):
    """Tell whether so many requests fail that no sound upstream may stay idle."""
    served, failed = count_totals(group.outcomes, now)
    return failed > SPREAD_ABOVE_FAILED_SHARE * (served + failed)


def may_spread_to(upstream, risk, spreading, now):
    """Tell whether load spreading may use an upstream that is idle.

    To keep the floor in use, one whose failures last is tried less often.
    """
    if spreading is Spreading.NONE or not is_idle(upstream, now):
        return False
    if spreading is Spreading.ALL:
        return has_no_recent_trouble(upstream, now)
    lasting_s = upstream.last_failure_s - upstream.failing_since_s
    lasting = lasting_s > LASTING_FAILURE_S
    pause_s = LASTING_FAILURE_PAUSE_S if lasting else RECENT_FAILURE_S
    return risk <= MAX_SPREAD_RISK and now - upstream.last_trouble_s > pause_s


def is_idle(upstream, now):
    """Tell whether an upstream has got no attempt recently."""
    return now - upstream.last_grant_s > IDLE_AFTER_S


def has_no_recent_trouble(upstream, now):
    """Tell whether an upstream has neither failed, stalled nor refused recently."""
    return now - upstream.last_trouble_s > RECENT_FAILURE_S
