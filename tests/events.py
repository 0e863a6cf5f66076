"""Simulated time: what happens later, in the order of its time."""

import heapq
import itertools


class EventClock:
    """A clock that jumps from event to event; ``now`` is in seconds."""

    def __init__(self, now=0.0):
        self.now = now
        self.events = []
        self.numbers = itertools.count()

    def at(self, due_s, action):
        """Call a function at a time."""
        heapq.heappush(self.events, (due_s, next(self.numbers), action))

    def every(self, first_s, period_s, action):
        """Call a function again and again."""

        def repeat(due_s):
            action()
            self.at(due_s + period_s, lambda: repeat(due_s + period_s))

        self.at(first_s, lambda: repeat(first_s))

    def step(self):
        """Go on to the next event."""
        due_s, _, action = heapq.heappop(self.events)
        self.now = max(self.now, due_s)
        action()

    def pass_until(self, end_s):
        """Let time pass up to a moment."""
        while self.events and self.events[0][0] <= end_s:
            self.step()
        self.now = end_s
