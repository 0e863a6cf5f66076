"""The task that serves one page.

These pages are requested every second on every node, and must respond under full
load as well. The HTTP server for callers needs less CPU time for that than
circuits.web, which serves the operators.
"""

from comfreyusher.flow import Task
from comfreyusher.http import respond_with_bytes, respond_with_text
from comfreyusher.messages import CallerDisconnected, RequestStart

METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class PageTask(Task):
    """Serves the page at one path.

    ``render_page`` is a function from an exchange to its response message.
    """

    def __init__(self, channel, server_channel, path, render_page, **kwargs):
        super().__init__(channel, **kwargs)
        self.server_channel = server_channel
        self.path = path
        self.render_page = render_page
        self.message_handlers = {
            RequestStart: self.handle_request_start,
            CallerDisconnected: self.handle_caller_disconnected,
        }

    def handle_request_start(self, request):
        """Send the page, or 404 for any other path."""
        path = request.head.target.partition("?")[0]
        if path != self.path:
            response = respond_with_text(request.exchange, 404, "no such page")
        else:
            response = self.render_page(request.exchange)
        self.send_message(self.server_channel, response)

    def handle_caller_disconnected(self, disconnected):
        """Do nothing: the task holds no state for a request."""


def build_readiness_page(node):
    """Return a function that renders whether the node is ready for callers."""

    def render_page(exchange):
        if node.is_ready:
            return respond_with_text(exchange, 200, "ready")
        return respond_with_text(exchange, 503, f"not ready ({node.phase.value})")

    return render_page


def build_metrics_page(telemetry):
    """Return a function that renders the metrics as text."""

    def render_page(exchange):
        return respond_with_bytes(
            exchange, 200, telemetry.read_prometheus_text(), METRICS_TYPE
        )

    return render_page
