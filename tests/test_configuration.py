"""Publications: conflicts, lost responses and appends at an outdated offset."""

import unittest

from comfreyusher.configuration import (
    ConfigurationTask,
    PublicationState,
    Publish,
)
from comfreyusher.declarations import encode_record, new_record
from comfreyusher.feeds import DeclarationsRead, ReadNow
from comfreyusher.flow import Tick
from comfreyusher.platform import Append, Appended, AppendFailed, Record

KEY = "profile/a"


def profile(wait_ms, based_on=0):
    """Return a record that publishes a profile."""
    return new_record(
        "profile", "a", based_on, {"name": "a", "max_wait_ms": wait_ms}, ""
    )


class PublishTests(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.task = ConfigurationTask("vm-1.1", clock=lambda: self.now)
        self.sent = []
        self.task.send_message = lambda channel, body: self.sent.append(body)
        self.read(0)

    def read(self, end, *records):
        found = tuple(
            Record(KEY, encode_record(record).encode(), offset)
            for offset, record in records
        )
        self.task.handle_declarations_read(DeclarationsRead(end, found))

    def publish(self, record):
        self.task.handle_publish(Publish(record))
        return record.publish_id

    def appends(self):
        found = [body for body in self.sent if isinstance(body, Append)]
        self.sent = [body for body in self.sent if not isinstance(body, Append)]
        return found

    def state(self, publish_id):
        return self.task.publications[publish_id].state

    def test_append_names_the_end_of_the_topic(self):
        self.read(4, (3, profile(5)))
        self.publish(profile(6, based_on=1))
        (append,) = self.appends()
        self.assertEqual((append.key, append.expected_end_offset), (KEY, 4))

    def test_record_on_an_older_base_is_never_written(self):
        self.read(1, (0, profile(5)))
        publish_id = self.publish(profile(6))
        self.assertEqual(self.appends(), [])
        self.assertIs(self.state(publish_id), PublicationState.CONFLICT)

    def test_loser_of_a_race_becomes_a_conflict(self):
        publish_id = self.publish(profile(6))
        self.appends()
        self.task.handle_append_failed(AppendFailed(publish_id, "moved on", True))
        self.read(1, (0, profile(5)))
        self.task.handle_tick(Tick("tick", self.now))
        self.assertEqual(self.appends(), [])
        self.assertIs(self.state(publish_id), PublicationState.CONFLICT)

    def test_append_at_an_outdated_offset_is_repeated(self):
        publish_id = self.publish(profile(6))
        self.appends()
        self.task.handle_append_failed(AppendFailed(publish_id, "moved on", True))
        other = new_record("profile", "b", 0, {"name": "b"}, "")
        found = Record("profile/b", encode_record(other).encode(), 0)
        self.task.handle_declarations_read(DeclarationsRead(1, (found,)))
        self.task.handle_tick(Tick("tick", self.now))
        (append,) = self.appends()
        self.assertEqual(append.expected_end_offset, 1)

    def test_record_settles_a_publication_without_a_response(self):
        record = profile(6)
        publish_id = self.publish(record)
        self.appends()
        self.task.handle_append_failed(AppendFailed(publish_id, "reset", False))
        self.task.handle_tick(Tick("tick", self.now))
        self.assertEqual(self.appends(), [], "it may still take effect")
        self.assertTrue(any(isinstance(body, ReadNow) for body in self.sent))
        self.read(1, (0, record))
        self.assertIs(self.state(publish_id), PublicationState.SETTLED)

    def test_publication_is_settled_once_its_record_is_read(self):
        record = profile(6)
        publish_id = self.publish(record)
        self.task.handle_appended(Appended(publish_id, 0))
        self.assertIs(self.state(publish_id), PublicationState.UNSETTLED)
        self.read(1, (0, record))
        self.assertIs(self.state(publish_id), PublicationState.SETTLED)
