"""A simulated clock that runs scheduled actions in order of time."""

import heapq
import itertools


class EventClock:
    """A clock that advances from one event to the next; ``now`` is in seconds."""

    def __init__(self, now=0.0):
        self.now = now
        self.events = []
        self.numbers = itertools.count()

    def at(self, due_s, action):
        """Schedule a function to be called at a time."""
        heapq.heappush(self.events, (due_s, next(self.numbers), action))

    def every(self, first_s, period_s, action):
        """Schedule a function to be called periodically, first at ``first_s``."""

        def repeat(due_s):
            action()
            self.at(due_s + period_s, lambda: repeat(due_s + period_s))

        self.at(first_s, lambda: repeat(first_s))

    def step(self):
        """Advance to the next event and run its action."""
        due_s, _, action = heapq.heappop(self.events)
        self.now = max(self.now, due_s)
        action()

    def run_until(self, end_s):
        """Run all events that are due by a time, and advance to that time."""
        while self.events and self.events[0][0] <= end_s:
            self.step()
        self.now = end_s
