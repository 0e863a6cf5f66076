"""The task that tries a connection for another node and tells the result."""

from comfreyusher.flow import StreamTask, Subscribe, Tick
from comfreyusher.messages import OpinionAsked, OpinionGiven, ToNode

CHANNEL = "opinions"
SWEEP_PERIOD_S = 0.2
CONNECT_TIMEOUT_S = 0.75


class OpinionTask(StreamTask):
    """Connects to upstreams that an owner cannot reach."""

    def __init__(self, poller, **kwargs):
        super().__init__(CHANNEL, poller, **kwargs)
        self.asked = {}
        self.due_s = {}
        self.routes = {OpinionAsked: self.ask, Tick: self.sweep}

    def prepare(self):
        """Subscribe to the sweep of timeouts."""
        self.tell("timers", Subscribe(CHANNEL, "sweep", SWEEP_PERIOD_S))

    def ask(self, asked):
        """Start a connection for an opinion."""
        number = self.open_connection(asked.host, asked.port)
        self.asked[number] = asked
        self.due_s[number] = self.clock() + CONNECT_TIMEOUT_S

    def on_connected(self, event):
        self._tell(event.connection, reachable=True)
        self.abort(event.connection)

    def on_closed(self, event):
        self._tell(event.connection, reachable=False)

    def sweep(self, tick):
        """Give up connections that take too long."""
        for number, due_s in list(self.due_s.items()):
            if tick.now_s > due_s:
                self.abort(number)

    def _tell(self, number, reachable):
        asked = self.asked.pop(number, None)
        self.due_s.pop(number, None)
        if asked is not None:
            given = OpinionGiven(asked.upstream, reachable)
            self.tell("peers", ToNode(asked.asker, given))
