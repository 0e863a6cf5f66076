"""Plans, groups and the replica node, derived from the node's view of the fleet."""

import dataclasses

import immutables

from comfreyusher.departures import has_left
from comfreyusher.entry import UpstreamGroup
from comfreyusher.feeds import RegionChanged
from comfreyusher.flow import drop_before
from comfreyusher.membership import score_member
from comfreyusher.owner import Plan, UpstreamSpec
from comfreyusher.routing import find_profile

RETRY_SLACK_SAFETY_FACTOR = 0.7
DEPARTED_KEPT_S = 120.0
NO_SPECS = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class PlanState:
    """Plans by group, and the upstreams that they were derived from.

    ``specs_by_group`` maps every group to a map of ``UpstreamSpec`` by name, and
    ``planned_specs`` holds those maps as they were when the plans were derived.
    ``group_by_upstream`` maps upstreams to their group. ``departed`` maps upstreams
    that are leaving or gone to the time when this node learned of it, and
    ``departures`` those that said so themselves to their ``Departure``.
    """

    specs_by_group: immutables.Map = immutables.Map()
    group_by_upstream: immutables.Map = immutables.Map()
    planned_specs: immutables.Map = immutables.Map()
    plans: immutables.Map = immutables.Map()
    departed: immutables.Map = immutables.Map()
    departures: immutables.Map = immutables.Map()


def update_departures(state, departures):
    """Return the state after upstreams said that they are leaving.

    The store may tell of it later, or not at all. An owner may know, and grant, an
    upstream that is not registered here yet.
    """
    specs_by_group, departed = state.specs_by_group, state.departed
    for name, departure in departures.items():
        if state.departures.get(name) == departure:
            continue
        group = state.group_by_upstream.get(name)
        if group is not None:
            spec = specs_by_group[group][name]
            if not has_left(departures, name, spec.started_ms):
                continue
            leaving = dataclasses.replace(spec, leaving=True)
            specs = specs_by_group[group].set(name, leaving)
            specs_by_group = specs_by_group.set(group, specs)
        departed = departed.set(name, departed.get(name, departure.heard_s))
    return dataclasses.replace(
        state, specs_by_group=specs_by_group, departed=departed, departures=departures
    )


def update_upstream_specs(state, entries, regions, own_region, now):
    """Return the state after entries of upstreams changed.

    ``regions`` maps data centres to regions; a data centre that it does not have
    is taken to be in the own region.
    """
    specs_by_group, group_by_upstream = state.specs_by_group, state.group_by_upstream
    entries = [_add_departure(state.departures, entry) for entry in entries]
    for entry in entries:
        old_group = group_by_upstream.get(entry.name)
        if old_group is not None:
            specs_by_group = specs_by_group.set(
                old_group, specs_by_group[old_group].delete(entry.name)
            )
            group_by_upstream = group_by_upstream.delete(entry.name)
        if entry.removed:
            continue
        region = regions.get(entry.data_centre, own_region)
        group = group_name(entry.service, region)
        specs = specs_by_group.get(group, NO_SPECS).set(
            entry.name, _build_upstream_spec(entry, now)
        )
        specs_by_group = specs_by_group.set(group, specs)
        group_by_upstream = group_by_upstream.set(entry.name, group)
    departed = _update_departed(state.departed, entries, now)
    return dataclasses.replace(
        state,
        specs_by_group=specs_by_group,
        group_by_upstream=group_by_upstream,
        departed=departed,
    )


def _add_departure(departures, entry):
    """Return the entry as leaving if its upstream said so."""
    if entry.removed or entry.leaving:
        return entry
    if not has_left(departures, entry.name, entry.started_ms):
        return entry
    return dataclasses.replace(entry, leaving=True)


def _update_departed(departed, entries, now):
    departed = drop_before(departed, now - DEPARTED_KEPT_S)
    for entry in entries:
        if entry.removed or entry.leaving:
            departed = departed.set(entry.name, departed.get(entry.name, now))
        elif entry.name in departed:
            departed = departed.delete(entry.name)
    return departed


def derive_plans(state, table, **fields):
    """Return the state with a plan for every group that has upstreams.

    ``fields`` are those of ``Plan`` that are the same for all groups. A plan that is
    unchanged is kept as it is.
    """
    group_counts = {}
    for group, specs in state.specs_by_group.items():
        if specs:
            service = group.rpartition("@")[0]
            group_counts[service] = group_counts.get(service, 0) + 1
    plans, planned_specs = {}, {}
    for group, specs in state.specs_by_group.items():
        service, _, region = group.rpartition("@")
        profile = find_profile(table, service)
        if profile is None or not specs:
            continue
        planned_specs[group] = specs
        slots = _configured_slots(table, service, region, specs)
        slack = int(
            profile.retries.budget_slack
            * RETRY_SLACK_SAFETY_FACTOR
            / group_counts[service]
        )
        plan = Plan(group, profile, slots, (), slack, **fields)
        plans[group] = _derive_plan(state, plan, specs)
    return dataclasses.replace(
        state, plans=immutables.Map(plans), planned_specs=immutables.Map(planned_specs)
    )


def _configured_slots(table, service, region, specs):
    """Return the slots that the floor is a share of.

    Without declared slots they are the slots of all registered upstreams that are
    not leaving.
    """
    declared = table.services.get(service)
    if declared is not None and region in declared.slots:
        return declared.slots[region]
    return sum(spec.slots for spec in specs.values() if not spec.leaving)


def _derive_plan(state, plan, specs):
    """Return the plan with the upstreams of ``specs``, or the previous equal one."""
    previous = state.plans.get(plan.group)
    if previous is not None and state.planned_specs.get(plan.group) is specs:
        without_upstreams = dataclasses.replace(previous, upstream_specs=())
        if previous.profile is plan.profile and without_upstreams == plan:
            return previous
    upstream_specs = tuple(sorted(specs.values(), key=lambda spec: spec.name))
    return dataclasses.replace(plan, upstream_specs=upstream_specs)


def derive_groups(plans):
    """Return the groups that have upstreams which are not leaving, by service."""
    groups = {}
    for name, plan in plans.items():
        if any(not spec.leaving for spec in plan.upstream_specs):
            service, _, region = name.rpartition("@")
            groups.setdefault(service, []).append(UpstreamGroup(name, region))
    return immutables.Map({name: tuple(found) for name, found in groups.items()})


def choose_replica_node(own, members):
    """Return the id of the node that keeps replicas of this node's account entries.

    Nodes in another data centre of the region come first, then those in the own data
    centre, then those of other regions. Without any other node the id is empty.
    """
    others = [record for record in members if record.node != own.node]
    for is_candidate in (_is_in_other_data_centre, _is_in_region, _is_any):
        candidates = [record for record in others if is_candidate(own, record)]
        if candidates:
            return rank_members(f"buddy of {own.name}", candidates)[0].node
    return ""


def rank_members(purpose, members):
    """Return the members in the order of rendezvous hashing for a purpose."""
    return sorted(members, key=lambda record: score_member(purpose, "", record))


def group_name(service, region):
    """Return the name of a service's group in a region."""
    return f"{service}@{region}"


def _build_upstream_spec(entry, now):
    warmup_until_s = (
        now + entry.remaining_warmup_ms / 1000 if entry.remaining_warmup_ms else 0.0
    )
    return UpstreamSpec(
        entry.name,
        entry.host,
        entry.port,
        entry.slots,
        entry.leaving,
        entry.data_centre,
        warmup_until_s,
        entry.started_ms,
    )


def _is_in_other_data_centre(own, record):
    return record.region == own.region and record.data_centre != own.data_centre


def _is_in_region(own, record):
    return record.region == own.region


def _is_any(own, record):
    return True


def derive_region(own, members):
    """Return the ``RegionChanged`` message with the nodes near the own one."""
    region = [record for record in members if record.region == own.region]
    data_centre_nodes = [r.node for r in region if r.data_centre == own.data_centre]
    return RegionChanged(
        tuple(record.node for record in region), tuple(data_centre_nodes)
    )
