"""The task that keeps the claim book."""

import time

from comfreyusher.claims._decide import (
    CHANNEL,
    ClaimBook,
    ask,
    expire,
    take_append_failure,
    take_appended,
    take_page,
    take_read_failure,
)
from comfreyusher.flow import Subscribe, Task, Tick
from comfreyusher.messages import ClaimAsked
from comfreyusher.platform import Appended, AppendFailed, ReadFailed, RecordsRead

TICK_PERIOD_S = 0.5
HELD_MS = 24 * 3600 * 1000


class ClaimTask(Task):
    """Runs the decisions of the claim book."""

    def __init__(self, node, wall_clock=time.time, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.book = ClaimBook(node)
        self.wall_clock = wall_clock
        self.routes = {
            ClaimAsked: lambda asked: self._keep(ask(self.book, asked, self.clock())),
            Appended: lambda done: self._keep(
                take_appended(self.book, done.offset, self.clock())
            ),
            AppendFailed: lambda _: self._keep(take_append_failure(self.book)),
            RecordsRead: lambda read: self._keep(
                take_page(self.book, read.page, self.clock())
            ),
            ReadFailed: lambda _: self._keep(take_read_failure(self.book)),
            Tick: self.on_tick,
        }

    def prepare(self):
        """Subscribe to the ticks."""
        self.tell("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))

    def on_tick(self, tick):
        """Give up what the log does not settle."""
        oldest_ms = int(self.wall_clock() * 1000) - HELD_MS
        self._keep(expire(self.book, tick.now_s, oldest_ms))

    def _run(self, decision, item):
        self._keep(decision(self.book, item, self.clock()))

    def _keep(self, step):
        self.book = step.state
        self.tell_all(step.messages)
