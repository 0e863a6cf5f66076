"""Start of a stand-in process: one task behind an HTTP server on one port."""

import json

from circuits import handler

from comfreyusher.flow import Poller, Root, TimerService, bind_listener
from comfreyusher.http import HttpServerTask


class ExitOnSignalRoot(Root):
    """Root component that ends the process on a signal."""

    @handler("signal", channel="*")
    def on_signal(self, signo, stack):
        """Exit with status 0."""
        raise SystemExit(0)


def run_standin(task, host, port):
    """Serve ``task`` on an address until a signal arrives.

    The first line on standard output is a JSON object with the bound ``port``.
    """
    root = ExitOnSignalRoot()
    poller = Poller()
    poller.register(root)
    TimerService().register(root)
    http_server = HttpServerTask("web", task.channel, poller)
    http_server.register(root)
    task.http_server = http_server
    task.register(root)
    listener = bind_listener(host, port)
    task.address = listener.getsockname()
    http_server.listen_on(listener)
    print(json.dumps({"port": task.address[1]}), flush=True)
    root.run()
