"""The tasks that answer operators."""

import hmac
import urllib.parse

import immutables
import msgspec
from circuits import handler

from comfreyusher.configuration import PublicationsChanged
from comfreyusher.flow import Task, replace
from comfreyusher.operators._api import ApiRequest, ApiView, handle_request
from comfreyusher.operators._messages import NodeStatus
from comfreyusher.operators._reports import FaultReport, QueryReport
from comfreyusher.owner import OwnerStatus
from comfreyusher.queries import QueryEnded, QueryProgress

CHANNEL = "operators"
LISTENER_CHANNEL = "operators-listener"
WEB_CHANNEL = "operators-web"
MAX_QUERY_REPORTS = 20
BEARER_PREFIX = "Bearer "
PUBLIC_PATHS = frozenset(("/ready",))


class OperatorListenerTask(Task):
    """Owns the operators' listening socket until the first connection.

    The web server is loaded then: at the start of the node it would take a sixth of
    the time until callers are served.
    """

    def __init__(self, listener, poller, **kwargs):
        super().__init__(LISTENER_CHANNEL, **kwargs)
        self.listener = listener
        self.poller = poller

    def prepare(self):
        """Wait for the first connection."""
        self.poller.addReader(self, self.listener)

    @handler("_read")
    def on_readable(self, sock):
        """Start the web server, which accepts the connection that waits."""
        from comfreyusher.operators._server import OperatorServer

        if self.listener is None:
            return
        self.poller.discard(self.listener)
        OperatorServer(self.listener).register(self.root)
        self.listener = None


class OperatorTask(Task):
    """Stores the newest reports of other tasks, and responds to operators."""

    def __init__(self, keys, telemetry, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.keys = keys
        self.view = ApiView(
            queries=immutables.Map(),
            find_spans=telemetry.find_spans,
            read_otlp_json=telemetry.read_otlp_json,
        )
        self.message_handlers = {
            NodeStatus: self.build_report_handler("node_status"),
            OwnerStatus: self.build_report_handler("owner_status"),
            PublicationsChanged: self.build_report_handler("publications"),
            QueryProgress: self.handle_query_progress,
            QueryEnded: self.handle_query_ended,
        }

    def build_report_handler(self, field_name):
        """Return a handler that stores a report in a field of the view."""

        def handle_report(report):
            self.view = replace(self.view, **{field_name: report})

        return handle_report

    def handle_query_progress(self, progress):
        """Store how far a query has read."""
        report = QueryReport(
            progress.query_id, "running", progress.offset, progress.last
        )
        self._store_query(report)

    def handle_query_ended(self, ended):
        """Store the result of a query."""
        if ended.result is None:
            report = QueryReport(ended.query_id, "failed", error=ended.error)
        else:
            lines, complete = ended.result.lines, ended.result.complete
            report = QueryReport(
                ended.query_id, "ended", complete=complete, lines=lines
            )
        self._store_query(report)

    def _store_query(self, report):
        queries = self.view.queries.set(report.query_id, report)
        while len(queries) > MAX_QUERY_REPORTS:
            queries = queries.delete(next(iter(queries)))
        self.view = replace(self.view, queries=queries)

    @handler("request", channel=WEB_CHANNEL, priority=1)
    def on_request(self, event, request, response):
        """Respond to a request that circuits.web has read."""
        event.stop()
        response.headers["Content-Type"] = "application/json"
        if request.path not in PUBLIC_PATHS and not self._is_authenticated(request):
            response.status = 401
            return _encode(FaultReport(("send an operator's key",)))
        parameters = dict(urllib.parse.parse_qsl(request.qs or ""))
        api_request = ApiRequest(
            request.method, request.path, parameters, request.body.read()
        )
        api_response = handle_request(self.view, api_request)
        self.send_messages(api_response.messages)
        response.status = api_response.status
        return _encode(api_response.value)

    def _is_authenticated(self, request):
        value = request.headers.get("Authorization", "")
        if not value.startswith(BEARER_PREFIX):
            return False
        given = value[len(BEARER_PREFIX) :].strip().encode()
        return any(hmac.compare_digest(given, key) for key in self.keys())


def _encode(value):
    return msgspec.json.encode(value).decode()
