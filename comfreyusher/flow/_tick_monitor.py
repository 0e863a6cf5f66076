"""Detection of local pauses from late ticks.

A process that was paused or is overloaded handles the messages of other nodes
late, through no fault of theirs. Timeouts for these messages therefore count
only the time in which the process could have handled them.
"""

import dataclasses

from comfreyusher.flow._replace import replace

# A tick is late when more periods than this have passed since the last one.
LATE_TICK_PERIODS = 2.0
# Share of a period that counts as running time when a tick is late.
LATE_TICK_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class TickMonitor:
    """The last tick of a task and the total time for which it was paused.

    ``late`` tells whether the last tick was late.
    """

    last_tick_s: float
    paused_s: float = 0.0
    late: bool = False

    def running_s(self, now):
        """Return monotonic seconds, without those in which the task was paused."""
        return now - self.paused_s


def record_tick(monitor, now, period_s):
    """Return the monitor after a tick.

    When the tick is late, all of the time since the last tick but
    ``LATE_TICK_SHARE`` of a period counts as a pause.
    """
    gap_s = now - monitor.last_tick_s
    late = gap_s > period_s * LATE_TICK_PERIODS
    paused_s = gap_s - period_s * LATE_TICK_SHARE if late else 0.0
    return replace(
        monitor, last_tick_s=now, paused_s=monitor.paused_s + paused_s, late=late
    )
