"""What a node knows of the fleet, as far as buckets and their holders need it.

Times are monotonic seconds.
"""

import dataclasses
import math

import immutables

from comfreyusher.flow import replace
from comfreyusher.membership import (
    Ownership,
    rank_owners,
    score_member,
    update_ownership,
)

# Datagrams of a fleet that starts at once make all views equal 1.2 s after the start.
MIN_SETTLE_S = 1.2
GROWTH_STOP_S = 0.3
# A node that is alone may have started while it is cut off from a fleet.
MAX_SETTLE_S = 3.0
LOST_KEPT_S = 600.0
MAX_REMOVALS = 256
FLEET = ""  # the ranking of the whole fleet prefers no region


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A member that this node no longer sees, and since when."""

    record: object
    removed_s: float


@dataclasses.dataclass(frozen=True)
class FleetView:
    """The members, the accounts with a rate, and what was lost.

    ``ownership`` holds the members without their regions. ``lost`` maps names of
    members that vanished without notice to the time of it. ``removals`` are the newest
    removals of any kind, and those before ``known_since_s`` were dropped.

    ``seen`` holds the names of all members since the start, ``unseen`` the other names
    in the store. ``seeds`` counts the other nodes in the settings.
    """

    own: object
    started_s: float
    accounts: immutables.Map = immutables.Map()
    members: immutables.Map = immutables.Map()
    ownership: Ownership = Ownership()
    lost: immutables.Map = immutables.Map()
    removals: tuple = ()
    known_since_s: float = -math.inf
    seen: frozenset = frozenset()
    unseen: frozenset = frozenset()
    seeds: int = 0
    grown_s: float = 0.0
    leaving: bool = False
    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0

    @property
    def settled_s(self):
        """When the view of a node that has started counts as complete."""
        if len(self.members) + len(self.lost) <= 1:
            return self.started_s + MAX_SETTLE_S
        stopped_s = max(self.started_s + MIN_SETTLE_S, self.grown_s + GROWTH_STOP_S)
        return min(stopped_s, self.started_s + MAX_SETTLE_S)


def update_view(view, quota_view, now):
    """Return the view after a ``QuotaView``."""
    view = replace(
        view,
        accounts=quota_view.accounts,
        leaving=quota_view.leaving,
        window_s=quota_view.window_s,
        overshoot=quota_view.overshoot,
        slack=quota_view.slack,
        seeds=_count_seeds(view.own, quota_view.seeds),
    )
    return _update_members(view, quota_view.members, quota_view.departed, now)


def _count_seeds(own, addresses):
    own_addresses = {f"{own.host}:{own.peer_port}", f"{own.host}:{own.gossip_port}"}
    return len(set(addresses) - own_addresses)


def record_named(view, names):
    """Return the view after the names of all nodes were read from the store."""
    return replace(view, unseen=names - view.seen - {view.own.name})


def _update_members(view, records, departed, now):
    members = immutables.Map({record.name: record for record in records})
    if members == view.members:
        return view
    removed = [view.members[name] for name in view.members if name not in members]
    joined = [name for name in members if name not in view.members]
    lost = view.lost
    for name, lost_s in lost.items():
        if name in members or now - lost_s > LOST_KEPT_S:
            lost = lost.delete(name)
    for record in removed:
        if record.name not in departed and record.name != view.own.name:
            lost = lost.set(record.name, now)
    removals = view.removals + tuple(Removal(record, now) for record in removed)
    known_since_s = view.known_since_s
    if len(removals) > MAX_REMOVALS:
        known_since_s = removals[-MAX_REMOVALS - 1].removed_s
    seen = view.seen.union(joined, departed)
    is_early = now < view.started_s + MAX_SETTLE_S
    return replace(
        view,
        members=members,
        ownership=update_ownership(
            view.ownership, [replace(record, region=FLEET) for record in records]
        ),
        lost=lost,
        removals=removals[-MAX_REMOVALS:],
        known_since_s=known_since_s,
        seen=seen,
        unseen=view.unseen - seen,
        grown_s=now if joined and is_early else view.grown_s,
    )


def is_settled(view, now):
    """Tell whether this node has had the time to learn of the fleet since its start."""
    return now >= view.settled_s


def rank_members(view, account):
    """Return the view, which caches the ranking, and the best members of an account."""
    ranking = rank_owners(view.ownership, account, FLEET)
    if ranking.ownership is not view.ownership:
        view = replace(view, ownership=ranking.ownership)
    return view, tuple(view.members[record.name] for record in ranking.owners)


def count_unseen(view, now):
    """Return how many other nodes may be alive that were not seen since the start.

    A node that has started while it is isolated has lost no member. Names in the store
    may be those of nodes that no longer exist, so they count as long as lost ones do.
    """
    if now - view.started_s > LOST_KEPT_S:
        return 0
    if view.seen <= {view.own.name}:
        return max(len(view.unseen), view.seeds)
    return len(view.unseen)


def reachable_share(view, now):
    """Return the live members as a share of those that may be alive."""
    lost = sum(1 for lost_s in view.lost.values() if now - lost_s <= LOST_KEPT_S)
    lost += count_unseen(view, now)
    return len(view.members) / max(1, len(view.members) + lost)


def count_known(view, now):
    """Return how many members may be alive."""
    lost = len(view.lost) + count_unseen(view, now)
    return max(1, len(view.members) + lost)


def first_since_s(view, account):
    """Return since when this node is the first member of an account.

    It must be the first one in its view now. Before that a better one may have lent.
    """
    own = score_member(account, FLEET, view.own)
    since_s = max(view.settled_s, view.known_since_s)
    for removal in reversed(view.removals):
        if removal.removed_s <= since_s:
            break
        if score_member(account, FLEET, removal.record) < own:
            return removal.removed_s
    return since_s
