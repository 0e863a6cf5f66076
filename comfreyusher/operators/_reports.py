"""Bodies of the responses of the operators' address."""

import dataclasses
import typing

from comfreyusher.health import Standing, floor_slots


@dataclasses.dataclass(frozen=True, slots=True)
class FaultReport:
    """Why a request was refused; one line for each fault."""

    faults: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberReport:
    """One node of the fleet."""

    node: str
    data_centre: str
    region: str
    standing: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReport:
    """State of an upstream according to its owner."""

    name: str
    standing: str
    in_flight: int
    slots: int
    evidence: float
    failing: float
    unreachable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GroupReport:
    """State of a group that the node owns."""

    name: str
    queued: int
    floor_slots: int
    healthy_slots: int
    ejections: int
    refusals: int
    upstreams: tuple[UpstreamReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReport:
    """State of a node."""

    node: str
    data_centre: str
    region: str
    phase: str
    ready: bool
    offset: int
    published_version: int
    requests_in_flight: int
    members: tuple[MemberReport, ...]
    groups: tuple[GroupReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationReport:
    """A declaration in force."""

    kind: str
    name: str
    revision: int
    author: str
    offset: int
    body: dict


@dataclasses.dataclass(frozen=True, slots=True)
class InForceReport:
    """How many nodes of a data centre have confirmed a publication."""

    data_centre: str
    confirmed: int
    nodes: int


@dataclasses.dataclass(frozen=True, slots=True)
class PublicationReport:
    """State of a publication."""

    publish_id: str
    key: str
    state: str
    revision: int
    offset: int
    reason: str
    in_force: tuple[InForceReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QueryReport:
    """State of a query, with the lines of its result once it has ended."""

    query_id: str
    state: str
    offset: int = 0
    last: int = 0
    complete: bool = False
    error: str = ""
    lines: tuple[typing.Any, ...] = ()


def build_group_reports(owner_status):
    """Return a report for each group that the node owns."""
    groups = owner_status.groups if owner_status is not None else ()
    return tuple(_build_group_report(group) for group in groups)


def _build_group_report(group):
    upstreams = tuple(
        UpstreamReport(
            upstream.name,
            upstream.health.standing.value,
            upstream.in_flight,
            upstream.slots,
            round(upstream.health.evidence, 2),
            round(upstream.failure_estimate.probability, 2),
            upstream.health.unreachable,
        )
        for upstream in sorted(group.upstreams.values(), key=lambda u: u.name)
    )
    healthy_slots = sum(
        upstream.slots
        for upstream in group.upstreams.values()
        if upstream.health.standing is Standing.HEALTHY
    )
    plan = group.plan
    return GroupReport(
        plan.group,
        len(group.queue),
        floor_slots(plan.profile, plan.configured_slots),
        healthy_slots,
        group.ejected_total,
        group.denied_total,
        upstreams,
    )
