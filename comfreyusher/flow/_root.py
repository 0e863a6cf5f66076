"""Root of a process's component tree."""

from absl import logging
from circuits import BaseComponent, handler

LOG = "flow:"
MAX_ROUNDS_PER_POLL = 64


class Root(BaseComponent):
    """Its ``run`` is the event loop; it logs faults of handlers.

    ``faults`` counts exceptions that a handler let through. Each is a defect
    of this program; the task that raised it goes on with its earlier state.
    """

    channel = "*"

    def __init__(self):
        super().__init__()
        self.faults = 0

    def tick(self, timeout=-1):
        """Dispatch queued events before the poller is asked again.

        circuits asks its event sources after every round of the queue. A
        request passes a dozen rounds, and each would cost a system call.
        """
        for _ in range(MAX_ROUNDS_PER_POLL):
            if not len(self._queue):
                break
            self.flush()
        super().tick(timeout)

    @handler("exception", channel="*", priority=10)
    def on_exception(self, error_type, value, trace, handler=None, fevent=None):
        """Log the exception on one line, with the place that raised it."""
        self.faults += 1
        place = "".join(trace).strip().splitlines()[-2:]
        where = " ".join(line.strip() for line in place)
        body = type(fevent.args[0]).__name__ if fevent.args else fevent.name
        logging.error("%s fault=%r message=%s at=%r", LOG, value, body, where)
