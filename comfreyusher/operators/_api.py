"""Answers of the operators' address: ``(view, request) -> ApiAnswer``.

The functions know neither HTTP's encoding nor circuits.
"""

import dataclasses
import re
import typing
import uuid

import msgspec

from comfreyusher.configuration import PublicationState, Publish
from comfreyusher.declarations import (
    KINDS,
    new_record,
    parse_declaration,
)
from comfreyusher.documents import DocumentError
from comfreyusher.flow import Envelope
from comfreyusher.operators._reports import (
    DeclarationReport,
    FaultReport,
    InForceReport,
    MemberReport,
    PublicationReport,
    QueryReport,
    StatusReport,
    report_groups,
)
from comfreyusher.queries import QueryKind, StartQuery

MAX_SUBJECT_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class ApiRequest:
    """A request of an operator; ``parameters`` is the decoded query string."""

    method: str
    path: str
    parameters: dict
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class ApiAnswer:
    """Status, a value to encode as JSON, and messages to send."""

    status: int
    value: typing.Any
    messages: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ApiView:
    """What the answers are made from."""

    status: typing.Any = None
    owned: typing.Any = None
    publications: typing.Any = None
    queries: typing.Any = None
    find_spans: typing.Any = None
    read_metrics: typing.Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class PublicationRequest:
    """Body of ``POST /publications``."""

    kind: str
    body: dict
    based_on: int | None = None
    author: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class QueryRequest:
    """Body of ``POST /queries``."""

    kind: QueryKind
    subject: str


def answer_request(view, request):
    """Return the answer to an operator's request."""
    if view.status is None:
        return _fault(503, "the node is starting")
    for method, pattern, answer in ROUTES:
        match = re.fullmatch(pattern, request.path)
        if match and method == request.method:
            return answer(view, request, *match.groups())
    return _fault(404, f"no such address: {request.method} {request.path}")


def _show_ready(view, request):
    serving = view.status.serving
    return ApiAnswer(200 if serving else 503, {"ready": serving})


def _show_status(view, request):
    status = view.status
    members = tuple(
        MemberReport(m.node, m.data_centre, m.region, m.standing.name.lower())
        for m in status.members
    )
    report = StatusReport(
        status.node,
        status.data_centre,
        status.region,
        status.phase,
        status.ready,
        status.catalogue.offset,
        status.published_version,
        status.requests_in_flight,
        members,
        report_groups(view.owned),
    )
    return ApiAnswer(200, report)


def _list_declarations(view, request, kind):
    if kind not in KINDS:
        return _fault(404, f"no such kind: {kind}")
    entries = [
        _report(entry)
        for key, entry in view.status.catalogue.entries.items()
        if key.startswith(f"{kind}/")
    ]
    return ApiAnswer(200, tuple(sorted(entries, key=lambda e: e.name)))


def _show_declaration(view, request, kind, name):
    entry = view.status.catalogue.entries.get(f"{kind}/{name}")
    if entry is None:
        return _fault(404, f"no {kind} is named {name}")
    return ApiAnswer(200, _report(entry))


def _report(entry):
    record = entry.record
    return DeclarationReport(
        record.kind,
        record.name,
        record.revision,
        record.author,
        entry.offset,
        record.body,
    )


def _publish(view, request):
    try:
        asked = msgspec.json.decode(request.body, type=PublicationRequest)
    except msgspec.MsgspecError as error:
        return _fault(400, f"unreadable publication: {error}")
    if asked.kind not in KINDS:
        return _fault(400, f"no such kind: {asked.kind}")
    try:
        value = parse_declaration(asked.kind, asked.body, "declaration")
    except DocumentError as error:
        return _fault(400, *(str(fault) for fault in error.exceptions))
    if not view.status.ready:
        return _fault(503, "this node has no configuration yet")
    faults = _find_clashes(view.status.catalogue, asked.kind, value)
    if faults:
        return _fault(400, *faults)
    based_on = asked.based_on
    if based_on is None:
        entry = view.status.catalogue.entries.get(f"{asked.kind}/{value.name}")
        based_on = entry.record.revision if entry else 0
    record = new_record(asked.kind, value.name, based_on, asked.body, asked.author)
    answer = {"publish_id": record.publish_id, "revision": record.revision}
    return ApiAnswer(202, answer, (Envelope("configuration", Publish(record)),))


def _find_clashes(catalogue, kind, value):
    """Return faults that show only beside the other declarations."""
    faults = []
    if kind == "service" and f"profile/{value.profile}" not in catalogue.entries:
        faults.append(f"declaration: profile: {value.profile!r} is not published")
    if kind != "customer":
        return faults
    for key, entry in catalogue.entries.items():
        other = entry.value
        if key.startswith("customer/") and other.name != value.name:
            if set(other.key_digests) & set(value.key_digests):
                faults.append(f"declaration: key_digests: {other.name!r} has this key")
    return faults


def _show_publication(view, request, publish_id):
    seen = view.publications
    publication = seen.publications.get(publish_id) if seen else None
    if publication is None:
        return _fault(404, "this node knows no such publication")
    report = PublicationReport(
        publish_id,
        publication.key,
        publication.state.value,
        publication.revision,
        publication.offset,
        publication.reason,
        _in_force(view, publication),
    )
    return ApiAnswer(200, report)


def _in_force(view, publication):
    """Return how many nodes of each data centre confirmed the offset."""
    total, confirmed = {}, {}
    for member in view.status.members:
        place = member.data_centre
        total[place] = total.get(place, 0) + 1
        offset = view.publications.confirmed_offsets.get(member.node, 0)
        settled = publication.state is PublicationState.SETTLED
        if settled and offset > publication.offset:
            confirmed[place] = confirmed.get(place, 0) + 1
    return tuple(
        InForceReport(place, confirmed.get(place, 0), count)
        for place, count in sorted(total.items())
    )


def _start_query(view, request):
    try:
        asked = msgspec.json.decode(request.body, type=QueryRequest)
    except msgspec.MsgspecError as error:
        return _fault(400, f"unreadable query: {error}")
    if len(asked.subject) > MAX_SUBJECT_CHARACTERS:
        return _fault(400, "the subject is too long")
    query_id = uuid.uuid4().hex
    live = frozenset(member.node for member in view.status.members)
    start = StartQuery(query_id, asked.kind, asked.subject, live)
    return ApiAnswer(202, {"query_id": query_id}, (Envelope("queries", start),))


def _show_query(view, request, query_id):
    report = view.queries.get(query_id)
    if report is None:
        return ApiAnswer(200, QueryReport(query_id, "running"))
    return ApiAnswer(200, report)


def _show_trace(view, request, trace_id):
    return ApiAnswer(200, tuple(view.find_spans(trace_id)))


def _show_metrics(view, request):
    return ApiAnswer(200, msgspec.Raw(view.read_metrics().encode()))


def _fault(status, *faults):
    return ApiAnswer(status, FaultReport(tuple(faults)))


NAME = r"([A-Za-z0-9._-]+)"
ROUTES = (
    ("GET", "/ready", _show_ready),
    ("GET", "/status", _show_status),
    ("GET", "/metrics", _show_metrics),
    ("GET", f"/declarations/{NAME}", _list_declarations),
    ("GET", f"/declarations/{NAME}/{NAME}", _show_declaration),
    ("POST", "/publications", _publish),
    ("GET", f"/publications/{NAME}", _show_publication),
    ("POST", "/queries", _start_query),
    ("GET", f"/queries/{NAME}", _show_query),
    ("GET", f"/traces/{NAME}", _show_trace),
)
