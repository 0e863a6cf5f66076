"""Root of the component tree of a process."""

from absl import logging

from comfreyusher.flow._circuits import BaseComponent, handler

LOG_PREFIX = "flow:"
MAX_ROUNDS_PER_POLL = 64


class Root(BaseComponent):
    """The root component, whose ``run`` is the event loop.

    ``unhandled_errors`` counts exceptions that a handler did not catch. Each is a
    defect of this program; the task that raised it keeps its earlier state.
    """

    channel = "*"

    def __init__(self):
        super().__init__()
        self.unhandled_errors = 0

    def tick(self, timeout=-1):
        """Dispatch queued events before polling again.

        circuits polls its event sources after every round of the queue. A
        request takes a dozen rounds, and each would cost a system call.
        """
        for _ in range(MAX_ROUNDS_PER_POLL):
            if not len(self._queue):
                break
            self.flush()
        super().tick(timeout)

    @handler("exception", channel="*", priority=10)
    def on_exception(self, error_type, value, trace, handler=None, fevent=None):
        """Log the exception on one line, with the source line that raised it."""
        self.unhandled_errors += 1
        last_lines = "".join(trace).strip().splitlines()[-2:]
        location = " ".join(line.strip() for line in last_lines)
        body = type(fevent.args[0]).__name__ if fevent.args else fevent.name
        logging.error("%s fault=%r message=%s at=%r", LOG_PREFIX, value, body, location)
