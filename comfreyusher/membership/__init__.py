"""Membership of the fleet by gossip, and ownership of groups by its members."""

from comfreyusher.membership._ownership import (
    Ownership,
    choose_holders,
    rank_owners,
    score_member,
    update_ownership,
)
from comfreyusher.membership._protocol import (
    GossipSettings,
    advance_time,
    begin_leaving,
    handle_message,
    join,
)
from comfreyusher.membership._state import (
    MembershipState,
    live_members,
    new_state,
)
from comfreyusher.membership._task import (
    LeaveFleet,
    MembersChanged,
    MembershipTask,
    OffsetReached,
    SeedsFound,
)

__all__ = [
    "GossipSettings",
    "LeaveFleet",
    "MembersChanged",
    "MembershipState",
    "MembershipTask",
    "OffsetReached",
    "Ownership",
    "SeedsFound",
    "advance_time",
    "begin_leaving",
    "choose_holders",
    "handle_message",
    "join",
    "live_members",
    "new_state",
    "rank_owners",
    "score_member",
    "update_ownership",
]
