"""Datagrams of the protocol, and the records that travel on them."""

from comfreyusher.flow import Step, replace
from comfreyusher.messages import GossipKind, GossipMessage, ToHostPort

MEMBERS_PER_MESSAGE = 8


def pick_updates(state, settings):
    """Pick the records with the most remaining sends, and count one send of each."""
    chosen = sorted(state.remaining_sends.items(), key=lambda item: -item[1])
    records = ()
    remaining_sends = state.remaining_sends
    for name, left in chosen[:MEMBERS_PER_MESSAGE]:
        records += (state.members[name],) if name in state.members else ()
        remaining_sends = (
            remaining_sends.set(name, left - 1)
            if left > 1
            else remaining_sends.delete(name)
        )
    return Step(replace(state, remaining_sends=remaining_sends), records)


def send_to(state, record, kind, sequence=0, target="", members=()):
    """Return a datagram of a kind to a member."""
    return send(state, record.host, record.gossip_port, kind, sequence, target, members)


def send(state, host, port, kind, sequence=0, target="", members=()):
    """Return a datagram of a kind to an address, with records of ``members``.

    The own record travels on all but pages, which hold only what they are sent for.
    """
    own = state.own
    if own not in members and kind is not GossipKind.PAGE:
        members = (own, *members)
    message = GossipMessage(
        own.node, kind, sequence, target, members, own.offset, own.era
    )
    return ToHostPort(host, port, message)


def member_name(node):
    """Return the name of a node's member, without the incarnation."""
    return node.rpartition(".")[0]
