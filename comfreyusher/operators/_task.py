"""The tasks behind the operators' address."""

import hmac
import urllib.parse

import immutables
import msgspec
from circuits import handler
from circuits.web.servers import BaseServer

from comfreyusher.configuration import PublicationsSeen
from comfreyusher.flow import Task, replace
from comfreyusher.operators._api import ApiRequest, ApiView, answer_request
from comfreyusher.operators._messages import NodeStatus
from comfreyusher.operators._reports import FaultReport, QueryReport
from comfreyusher.owner import OwnerStatus
from comfreyusher.queries import QueryEnded, QueryProgress

CHANNEL = "operators"
WEB_CHANNEL = "operators-web"
KEPT_QUERIES = 20
BEARER = "Bearer "
OPEN_PATHS = frozenset(("/ready",))


class OperatorServer(BaseServer):
    """circuits.web's server without its banner and its own shutdown."""

    def __init__(self, host, port):
        super().__init__((host, port), channel=WEB_CHANNEL)

    @handler("signal", override=True)
    def _on_signal(self, *args):
        """Leave signals to the node's graceful shutdown."""

    @handler("ready", override=True)
    def _on_ready(self, *args):
        """Print nothing."""


class OperatorTask(Task):
    """Keeps the newest reports of other tasks, and answers operators."""

    def __init__(self, keys, telemetry, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.keys = keys
        self.view = ApiView(
            queries=immutables.Map(),
            find_spans=telemetry.find_spans,
            read_metrics=telemetry.read_otlp_json,
        )
        self.message_handlers = {
            NodeStatus: self.keep_as("status"),
            OwnerStatus: self.keep_as("owned"),
            PublicationsSeen: self.keep_as("publications"),
            QueryProgress: self.take_progress,
            QueryEnded: self.take_result,
        }

    def keep_as(self, name):
        """Return a method that keeps a report under a field of the view."""

        def keep(report):
            self.view = replace(self.view, **{name: report})

        return keep

    def take_progress(self, progress):
        """Note how far a query is."""
        report = QueryReport(
            progress.query_id, "running", progress.offset, progress.last
        )
        self._keep_query(report)

    def take_result(self, ended):
        """Keep the answer of a query."""
        if ended.result is None:
            report = QueryReport(ended.query_id, "failed", error=ended.error)
        else:
            lines, complete = ended.result.lines, ended.result.complete
            report = QueryReport(
                ended.query_id, "ended", complete=complete, lines=lines
            )
        self._keep_query(report)

    def _keep_query(self, report):
        queries = self.view.queries.set(report.query_id, report)
        while len(queries) > KEPT_QUERIES:
            queries = queries.delete(next(iter(queries)))
        self.view = replace(self.view, queries=queries)

    @handler("request", channel=WEB_CHANNEL, priority=1)
    def on_request(self, event, request, response):
        """Answer a request of circuits.web."""
        event.stop()
        response.headers["Content-Type"] = "application/json"
        if request.path not in OPEN_PATHS and not self._is_operator(request):
            response.status = 401
            return _encode(FaultReport(("send an operator's key",)))
        parameters = dict(urllib.parse.parse_qsl(request.qs or ""))
        asked = ApiRequest(
            request.method, request.path, parameters, request.body.read()
        )
        answer = answer_request(self.view, asked)
        self.send_messages(answer.messages)
        response.status = answer.status
        return _encode(answer.value)

    def _is_operator(self, request):
        value = request.headers.get("Authorization", "")
        if not value.startswith(BEARER):
            return False
        given = value[len(BEARER) :].strip().encode()
        return any(hmac.compare_digest(given, key) for key in self.keys())


def _encode(value):
    return msgspec.json.encode(value).decode()
