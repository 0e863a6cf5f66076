"""What a node derives from the declarations, the list and the membership."""

import dataclasses

import immutables

from comfreyusher.declarations import list_in_force
from comfreyusher.entry import GroupPlace
from comfreyusher.membership import score_member
from comfreyusher.owner import Member, Plan

READERS_PER_DATA_CENTRE = 2
UPSTREAM = "upstream"
LEAVING = "leaving"
NOBODY = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class Roles:
    """This node's part in the fleet; node ids, or empty."""

    reader: bool
    restater: bool
    carrier: bool
    neighbours: tuple
    buddy: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlanBook:
    """Plans by group, and the members that they were made from.

    ``members`` maps every group of the list to a map of ``Member`` by name;
    ``used`` holds those maps as the plans saw them.
    """

    members: immutables.Map = immutables.Map()
    used: immutables.Map = immutables.Map()
    plans: immutables.Map = immutables.Map()


def update_members(book, before, after, names):
    """Return the book after the VMs with these names changed on the list."""
    members = book.members
    for name in names:
        for vms, keep in ((before, False), (after, True)):
            vm = vms.get(name)
            if vm is None or vm.role != UPSTREAM:
                continue
            group = group_name(vm.service, vm.region)
            found = members.get(group, immutables.Map())
            if keep:
                found = found.set(name, _member_of(vm))
            elif name in found:
                found = found.delete(name)
            members = members.set(group, found)
    return dataclasses.replace(book, members=members)


def derive_plans(book, catalogue):
    """Return the book with a plan for every group: one a service and region.

    A plan whose profile, slots and members are the same is kept as it is.
    """
    profiles = {value.name: value for value in list_in_force(catalogue, "profile")}
    plans, used = {}, {}
    for service in list_in_force(catalogue, "service"):
        profile = profiles.get(service.profile)
        if profile is None:
            continue
        for region, slots in service.slots.items():
            group = group_name(service.name, region)
            used[group] = book.members.get(group, NOBODY)
            plans[group] = _plan_of(book, group, profile, slots, used[group])
    return dataclasses.replace(
        book, plans=immutables.Map(plans), used=immutables.Map(used)
    )


def _plan_of(book, group, profile, slots, found):
    known = book.plans.get(group)
    if known is not None and book.used.get(group) is found:
        if known.profile is profile and known.configured_slots == slots:
            return known
    members = tuple(sorted(found.values(), key=lambda member: member.name))
    return Plan(group, profile, slots, members)


def derive_groups(plans):
    """Return the groups with upstreams, by service."""
    groups = {}
    for name, plan in plans.items():
        if plan.members:
            service, _, region = name.rpartition("@")
            groups.setdefault(service, []).append(GroupPlace(name, region))
    return immutables.Map({name: tuple(places) for name, places in groups.items()})


def derive_roles(own, members):
    """Return the roles of this node among the live members.

    Every role is a rendezvous choice, so that nodes with the same view agree
    without asking each other.
    """
    same = [record for record in members if record.data_centre == own.data_centre]
    ranked = rank_by_name(f"readers of {own.data_centre}", same)
    readers = {record.node for record in ranked[:READERS_PER_DATA_CENTRE]}
    neighbours = tuple(r.node for r in same if r.node not in readers)
    first = rank_by_name("carrier", members)[:1]
    return Roles(
        reader=own.node in readers or own not in members,
        restater=bool(first) and first[0].node == own.node,
        carrier=bool(first) and first[0].node == own.node,
        neighbours=neighbours,
        buddy=choose_buddy(own, members),
    )


def choose_buddy(own, members):
    """Return the node that keeps copies of this node's account entries.

    Another data centre of the region comes first, then the own one.
    """
    others = [record for record in members if record.node != own.node]
    for fits in (_is_near, _is_close, _is_any):
        fitting = [record for record in others if fits(own, record)]
        if fitting:
            return rank_by_name(f"buddy of {own.name}", fitting)[0].node
    return ""


def rank_by_name(purpose, members):
    """Return members in the rendezvous order of a purpose."""
    return sorted(members, key=lambda record: score_member(purpose, "", record))


def group_name(service, region):
    """Return the name of a service's group in a region."""
    return f"{service}@{region}"


def _member_of(vm):
    return Member(vm.name, vm.host, vm.port, vm.slots, vm.state == LEAVING)


def _is_near(own, record):
    return record.region == own.region and record.data_centre != own.data_centre


def _is_close(own, record):
    return record.region == own.region


def _is_any(own, record):
    return True
