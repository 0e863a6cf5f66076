"""Request handlers of the operators' address: ``(view, request) -> ApiResponse``.

The functions depend neither on the encoding of HTTP messages nor on circuits.
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
    build_group_reports,
)
from comfreyusher.queries import QueryKind, StartQuery

MAX_SUBJECT_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class ApiRequest:
    """A request from an operator; ``parameters`` is the decoded query string."""

    method: str
    path: str
    parameters: dict
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class ApiResponse:
    """HTTP status, a value to encode as JSON, and messages to send to other tasks."""

    status: int
    value: typing.Any
    messages: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ApiView:
    """The newest reports of other tasks, from which responses are built."""

    node_status: typing.Any = None
    owner_status: typing.Any = None
    publications: typing.Any = None
    queries: typing.Any = None
    find_spans: typing.Any = None
    read_otlp_json: typing.Any = None


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


def handle_request(view, request):
    """Return the response to an operator's request."""
    if view.node_status is None:
        return _respond_with_faults(503, "the node is starting")
    for method, pattern, handler in ROUTES:
        match = re.fullmatch(pattern, request.path)
        if match and method == request.method:
            return handler(view, request, *match.groups())
    return _respond_with_faults(
        404, f"no such address: {request.method} {request.path}"
    )


def _show_ready(view, request):
    serving = view.node_status.serving
    return ApiResponse(200 if serving else 503, {"ready": serving})


def _show_status(view, request):
    status = view.node_status
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
        status.declarations.offset,
        status.published_version,
        status.requests_in_flight,
        members,
        build_group_reports(view.owner_status),
    )
    return ApiResponse(200, report)


def _list_declarations(view, request, kind):
    if kind not in KINDS:
        return _respond_with_faults(404, f"no such kind: {kind}")
    entries = [
        _build_declaration_report(entry)
        for key, entry in view.node_status.declarations.entries.items()
        if key.startswith(f"{kind}/")
    ]
    return ApiResponse(200, tuple(sorted(entries, key=lambda e: e.name)))


def _show_declaration(view, request, kind, name):
    entry = view.node_status.declarations.entries.get(f"{kind}/{name}")
    if entry is None:
        return _respond_with_faults(404, f"no {kind} is named {name}")
    return ApiResponse(200, _build_declaration_report(entry))


def _build_declaration_report(entry):
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
        publication = msgspec.json.decode(request.body, type=PublicationRequest)
    except msgspec.MsgspecError as error:
        return _respond_with_faults(400, f"unreadable publication: {error}")
    if publication.kind not in KINDS:
        return _respond_with_faults(400, f"no such kind: {publication.kind}")
    try:
        declaration = parse_declaration(
            publication.kind, publication.body, "declaration"
        )
    except DocumentError as error:
        return _respond_with_faults(400, *(str(fault) for fault in error.exceptions))
    if not view.node_status.ready:
        return _respond_with_faults(503, "this node has no configuration yet")
    faults = _find_consistency_faults(
        view.node_status.declarations, publication.kind, declaration
    )
    if faults:
        return _respond_with_faults(400, *faults)
    based_on = publication.based_on
    if based_on is None:
        entry = view.node_status.declarations.entries.get(
            f"{publication.kind}/{declaration.name}"
        )
        based_on = entry.record.revision if entry else 0
    record = new_record(
        publication.kind,
        declaration.name,
        based_on,
        publication.body,
        publication.author,
    )
    value = {"publish_id": record.publish_id, "revision": record.revision}
    return ApiResponse(202, value, (Envelope("configuration", Publish(record)),))


def _find_consistency_faults(declarations, kind, declaration):
    """Return the faults that show only against the other declarations in force."""
    faults = []
    if (
        kind == "service"
        and f"profile/{declaration.profile}" not in declarations.entries
    ):
        faults.append(f"declaration: profile: {declaration.profile!r} is not published")
    if kind != "customer":
        return faults
    for key, entry in declarations.entries.items():
        other = entry.value
        if key.startswith("customer/") and other.name != declaration.name:
            if set(other.key_digests) & set(declaration.key_digests):
                faults.append(f"declaration: key_digests: {other.name!r} has this key")
    return faults


def _show_publication(view, request, publish_id):
    tracked = view.publications
    publication = tracked.publications.get(publish_id) if tracked else None
    if publication is None:
        return _respond_with_faults(404, "this node knows no such publication")
    report = PublicationReport(
        publish_id,
        publication.key,
        publication.state.value,
        publication.revision,
        publication.offset,
        publication.reason,
        _count_confirmations(view, publication),
    )
    return ApiResponse(200, report)


def _count_confirmations(view, publication):
    """Return how many nodes of each data centre have confirmed the publication."""
    total, confirmed = {}, {}
    for member in view.node_status.members:
        data_centre = member.data_centre
        total[data_centre] = total.get(data_centre, 0) + 1
        confirmed_offset = view.publications.confirmed_offsets.get(member.node, (0, 0))
        settled = publication.state is PublicationState.SETTLED
        if settled and confirmed_offset > (publication.era, publication.offset):
            confirmed[data_centre] = confirmed.get(data_centre, 0) + 1
    return tuple(
        InForceReport(data_centre, confirmed.get(data_centre, 0), count)
        for data_centre, count in sorted(total.items())
    )


def _start_query(view, request):
    try:
        query = msgspec.json.decode(request.body, type=QueryRequest)
    except msgspec.MsgspecError as error:
        return _respond_with_faults(400, f"unreadable query: {error}")
    if len(query.subject) > MAX_SUBJECT_CHARACTERS:
        return _respond_with_faults(400, "the subject is too long")
    query_id = uuid.uuid4().hex
    live_nodes = frozenset(member.node for member in view.node_status.members)
    start = StartQuery(query_id, query.kind, query.subject, live_nodes)
    return ApiResponse(202, {"query_id": query_id}, (Envelope("queries", start),))


def _show_query(view, request, query_id):
    report = view.queries.get(query_id)
    if report is None:
        return ApiResponse(200, QueryReport(query_id, "running"))
    return ApiResponse(200, report)


def _show_trace(view, request, trace_id):
    return ApiResponse(200, tuple(view.find_spans(trace_id)))


def _show_metrics(view, request):
    return ApiResponse(200, msgspec.Raw(view.read_otlp_json().encode()))


def _respond_with_faults(status, *faults):
    return ApiResponse(status, FaultReport(tuple(faults)))


NAME_PATTERN = r"([A-Za-z0-9._-]+)"
ROUTES = (
    ("GET", "/ready", _show_ready),
    ("GET", "/status", _show_status),
    ("GET", "/metrics", _show_metrics),
    ("GET", f"/declarations/{NAME_PATTERN}", _list_declarations),
    ("GET", f"/declarations/{NAME_PATTERN}/{NAME_PATTERN}", _show_declaration),
    ("POST", "/publications", _publish),
    ("GET", f"/publications/{NAME_PATTERN}", _show_publication),
    ("POST", "/queries", _start_query),
    ("GET", f"/queries/{NAME_PATTERN}", _show_query),
    ("GET", f"/traces/{NAME_PATTERN}", _show_trace),
)
