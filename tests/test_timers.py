"""The timer service with a simulated clock, and ``replace``."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.flow import Subscribe, TimerService, Unsubscribe, replace
from comfreyusher.flow._timers import next_multiple
from comfreyusher.messages import AttemptKey


class Event:
    """A fake of the circuits event that limits how long the poller sleeps."""

    def __init__(self):
        self.left_s = 99.0

    def reduce_time_left(self, seconds):
        self.left_s = min(self.left_s, seconds)


class TimerTests(unittest.TestCase):
    def setUp(self):
        self.now = 1000.03
        self.ticks = []
        self.service = TimerService(clock=lambda: self.now)
        self.service.send_message = lambda channel, tick: self.ticks.append(tick.name)

    def run_until(self, end):
        wakes = 0
        while self.now < end:
            event = Event()
            self.service.on_generate_events(event)
            self.now += max(event.left_s, 1e-9)
            wakes += event.left_s > 0
        return wakes

    def test_related_periods_wake_the_process_together(self):
        for name, period in (("a", 0.1), ("b", 0.2), ("c", 1.0), ("d", 0.1)):
            self.service.handle_subscribe(Subscribe("x", name, period))
        wakes = self.run_until(1010.0)
        self.assertLessEqual(wakes, 102)
        for name, count in (("a", 100), ("b", 50), ("c", 10), ("d", 100)):
            self.assertAlmostEqual(self.ticks.count(name), count, delta=1)

    def test_single_subscription_fires_once_and_not_early(self):
        self.service.handle_subscribe(Subscribe("x", "once", 0.5, repeat=False))
        self.run_until(1000.5)
        self.assertEqual(self.ticks, [])
        self.run_until(1003.0)
        self.assertEqual(self.ticks, ["once"])

    def test_unsubscribed_and_replaced_subscriptions_stay_silent(self):
        self.service.handle_subscribe(Subscribe("x", "a", 0.1))
        self.service.handle_subscribe(Subscribe("x", "a", 5.0))
        self.service.handle_subscribe(Subscribe("x", "b", 0.1))
        self.service.handle_unsubscribe(Unsubscribe("x", "b"))
        self.run_until(1004.9)
        self.assertEqual(self.ticks, [])

    @given(st.floats(0, 1e7), st.sampled_from((0.08, 0.1, 0.2, 0.25, 1.0, 5.0)))
    @settings(max_examples=300, derandomize=True, deadline=None)
    def test_due_times_lie_ahead_within_two_periods(self, now, period):
        due = next_multiple(now, period)
        self.assertGreater(due, now)
        self.assertLessEqual(due, now + period * 2)

    def test_a_time_that_is_a_multiple_itself_moves_on(self):
        """Rounding must not return the same time, at which the timer just expired."""
        for count in range(1, 20000):
            for period in (0.08, 0.1, 0.2):
                self.assertGreater(
                    next_multiple(count * period, period), count * period
                )


class ReplaceTests(unittest.TestCase):
    def test_unknown_fields_are_refused_with_and_without_slots(self):
        self.assertEqual(
            replace(AttemptKey("a", 1, 1), number=2), AttemptKey("a", 2, 1)
        )
        with self.assertRaises(TypeError):
            replace(AttemptKey("a", 1, 1), surprise=2)
