"""The timer service, which sends ticks to tasks when their timers expire.

No other part of the process wakes up tasks by time.
"""

import dataclasses
import heapq
import itertools
import math

from comfreyusher.events import log_info
from comfreyusher.flow._circuits import handler
from comfreyusher.flow._task import Task

CHANNEL = "timers"
PART = "timers"
# A delay of the earliest tick above this is logged: the event loop was blocked.
LATE_TICK_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Request a ``Tick`` after ``period_s`` seconds.

    With ``repeat``, request one at every whole multiple of the period instead.
    """

    channel: str
    name: str
    period_s: float
    repeat: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Unsubscribe:
    """Cancel the subscription of this name on this channel."""

    channel: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """The timer of a subscription expired; ``now_s`` is monotonic seconds."""

    name: str
    now_s: float


def next_multiple(now, period_s):
    """Return the next time, in seconds, that is a whole multiple of a period.

    Timers with equal or related periods then expire together, so that an idle
    process wakes up ten times a second instead of eighty.
    """
    due_s = (math.floor(now / period_s) + 1) * period_s
    return due_s if due_s > now else due_s + period_s


class TimerService(Task):
    """Keeps timers in a heap by due time and limits how long the poller sleeps."""

    def __init__(self, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.due = []
        self.active = {}
        self.numbers = itertools.count()
        self.message_handlers = {
            Subscribe: self.handle_subscribe,
            Unsubscribe: self.handle_unsubscribe,
        }

    def handle_subscribe(self, subscription):
        """Add or replace a subscription."""
        number = next(self.numbers)
        self.active[(subscription.channel, subscription.name)] = number
        self._push(number, subscription, self.clock())

    def handle_unsubscribe(self, subscription):
        """Remove a subscription; its heap entry is ignored when it expires."""
        self.active.pop((subscription.channel, subscription.name), None)

    def _push(self, number, subscription, now):
        due_s = now + subscription.period_s
        if subscription.repeat:
            due_s = next_multiple(now, subscription.period_s)
        heapq.heappush(self.due, (due_s, number, subscription))

    @handler("generate_events", priority=1)
    def on_generate_events(self, event):
        """Send the due ticks, and let the poller sleep until the next due time."""
        now = self.clock()
        if self.due and now - self.due[0][0] > LATE_TICK_S:
            log_info(PART, "held up", late_ms=int((now - self.due[0][0]) * 1000))
        while self.due and self.due[0][0] <= now:
            _, number, subscription = heapq.heappop(self.due)
            self._fire_tick(number, subscription, now)
            event.reduce_time_left(0)
        if self.due:
            event.reduce_time_left(max(0.0, self.due[0][0] - now))

    def _fire_tick(self, number, subscription, now):
        key = (subscription.channel, subscription.name)
        if self.active.get(key) != number:
            return
        self.send_message(subscription.channel, Tick(subscription.name, now))
        if subscription.repeat:
            self._push(number, subscription, now)
        else:
            del self.active[key]
