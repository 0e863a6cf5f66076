"""What a node derives from the configuration, the list and the membership."""

import dataclasses

import immutables

from comfreyusher.entry import UpstreamGroup
from comfreyusher.flow import drop_before
from comfreyusher.membership import score_member
from comfreyusher.owner import Plan, UpstreamSpec
from comfreyusher.routing import find_profile

SLACK_SHARE = 0.7
DEPARTED_KEPT_S = 120.0
NOBODY = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class PlanBook:
    """Plans by group, and the members that they were made from.

    ``members`` maps every group to a map of ``Member`` by name; ``used`` holds
    those maps as the plans saw them. ``homes`` maps upstreams to their group,
    ``departed`` those that leave or are gone to when that was heard.
    """

    members: immutables.Map = immutables.Map()
    homes: immutables.Map = immutables.Map()
    used: immutables.Map = immutables.Map()
    plans: immutables.Map = immutables.Map()
    departed: immutables.Map = immutables.Map()


def update_members(book, entries, regions, own_region, now):
    """Return the book after entries of upstreams changed.

    ``regions`` maps data centres to regions; a data centre that is not there
    counts as the own region.
    """
    members, homes = book.members, book.homes
    for entry in entries:
        home = homes.get(entry.name)
        if home is not None:
            members = members.set(home, members[home].delete(entry.name))
            homes = homes.delete(entry.name)
        if entry.removed:
            continue
        region = regions.get(entry.data_centre, own_region)
        group = group_name(entry.service, region)
        found = members.get(group, NOBODY).set(entry.name, _member_of(entry, now))
        members = members.set(group, found)
        homes = homes.set(entry.name, group)
    departed = _update_departed(book.departed, entries, now)
    return dataclasses.replace(book, members=members, homes=homes, departed=departed)


def _update_departed(departed, entries, now):
    departed = drop_before(departed, now - DEPARTED_KEPT_S)
    for entry in entries:
        if entry.removed or entry.leaving:
            departed = departed.set(entry.name, departed.get(entry.name, now))
        elif entry.name in departed:
            departed = departed.delete(entry.name)
    return departed


def derive_plans(book, table):
    """Return the book with a plan for every group that has upstreams.

    A plan whose profile and members are the same is kept as it is.
    """
    counts = {}
    for group, found in book.members.items():
        if found:
            service = group.rpartition("@")[0]
            counts[service] = counts.get(service, 0) + 1
    plans, used = {}, {}
    for group, found in book.members.items():
        service, _, region = group.rpartition("@")
        profile = find_profile(table, service)
        if profile is None or not found:
            continue
        used[group] = found
        slots = _configured_slots(table, service, region, found)
        slack = int(profile.retries.budget_slack * SLACK_SHARE / counts[service])
        plans[group] = _plan_of(book, group, profile, slots, found, slack)
    return dataclasses.replace(
        book, plans=immutables.Map(plans), used=immutables.Map(used)
    )


def _configured_slots(table, service, region, found):
    """Return the slots that floors are shares of: declared, or those listed."""
    declared = table.services.get(service)
    if declared is not None and region in declared.slots:
        return declared.slots[region]
    return sum(member.slots for member in found.values() if not member.leaving)


def _plan_of(book, group, profile, slots, found, slack):
    known = book.plans.get(group)
    if known is not None and book.used.get(group) is found:
        same_slots = known.configured_slots == slots and known.budget_slack == slack
        if known.profile is profile and same_slots:
            return known
    members = tuple(sorted(found.values(), key=lambda member: member.name))
    return Plan(group, profile, slots, members, slack)


def derive_groups(plans):
    """Return the groups with upstreams, by service."""
    groups = {}
    for name, plan in plans.items():
        if any(not member.leaving for member in plan.upstream_specs):
            service, _, region = name.rpartition("@")
            groups.setdefault(service, []).append(UpstreamGroup(name, region))
    return immutables.Map({name: tuple(places) for name, places in groups.items()})


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


def _member_of(entry, now):
    warm_s = (
        now + entry.remaining_warmup_ms / 1000 if entry.remaining_warmup_ms else 0.0
    )
    return UpstreamSpec(
        entry.name,
        entry.host,
        entry.port,
        entry.slots,
        entry.leaving,
        entry.data_centre,
        warm_s,
        entry.started_ms,
    )


def _is_near(own, record):
    return record.region == own.region and record.data_centre != own.data_centre


def _is_close(own, record):
    return record.region == own.region


def _is_any(own, record):
    return True
