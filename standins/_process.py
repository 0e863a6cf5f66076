"""Common start of a stand-in process: one web task on one port."""

import json

from circuits import handler

from comfreyusher.flow import Poller, Root, TimerService, bind_listener
from comfreyusher.http import HttpServerTask


class StandinRoot(Root):
    """Ends the process at a signal."""

    @handler("signal", channel="*")
    def on_signal(self, signo, stack):
        """End the process."""
        raise SystemExit(0)


def run_standin(task, host, port):
    """Serve ``task`` on an address until a signal comes."""
    root = StandinRoot()
    poller = Poller()
    poller.register(root)
    TimerService().register(root)
    web = HttpServerTask("web", task.channel, poller)
    web.register(root)
    task.web = web
    task.register(root)
    listener = bind_listener(host, port)
    task.address = listener.getsockname()
    web.listen_on(listener)
    print(json.dumps({"port": task.address[1]}), flush=True)
    root.run()
