"""The task that answers one page.

These pages are asked for every second on every node, and must answer beside
full load. The callers' strict HTTP server does that with less work than
circuits.web, which serves the operators.
"""

from comfreyusher.flow import Task
from comfreyusher.http import respond_with_bytes, respond_with_text
from comfreyusher.messages import CallerDisconnected, RequestStart

METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class WebTask(Task):
    """Answers requests for one path by a function of the exchange."""

    def __init__(self, channel, web_channel, path, answer, **kwargs):
        super().__init__(channel, **kwargs)
        self.web_channel = web_channel
        self.path = path
        self.answer = answer
        self.message_handlers = {
            RequestStart: self.take_request,
            CallerDisconnected: self.ignore,
        }

    def take_request(self, request):
        """Answer a request."""
        path = request.head.target.partition("?")[0]
        if path != self.path:
            found = respond_with_text(request.exchange, 404, "no such page")
        else:
            found = self.answer(request.exchange)
        self.send_message(self.web_channel, found)

    def ignore(self, gone):
        """A caller went away before its answer; nothing is held for it."""


def answer_readiness(node):
    """Return a function that tells whether the node should get callers."""

    def answer(exchange):
        if node.is_ready:
            return respond_with_text(exchange, 200, "ready")
        return respond_with_text(exchange, 503, f"not ready ({node.phase.value})")

    return answer


def answer_metrics(telemetry):
    """Return a function that answers with the metrics as text."""

    def answer(exchange):
        return respond_with_bytes(exchange, 200, telemetry.read_text(), METRICS_TYPE)

    return answer
