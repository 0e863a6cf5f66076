"""Requests that crash upstreams, at their entry node."""

import immutables

from comfreyusher.messages import (
    AttemptReport,
    ClientRequestFailed,
    ClientRequestStart,
    GrantRequest,
    RequestBody,
)
from comfreyusher.quarantine import CrashObserved, QuarantinesChanged
from tests.test_entry import EntryCase


class FingerprintTests(EntryCase):
    """Equal requests are known as equal."""

    def crash(self, number, *pieces):
        """Send a request with a body in pieces; return the fingerprint it crashes with.

        The head arrives alone, unless there is just one piece.
        """
        if len(pieces) == 1:
            self.send_request(number, "POST", pieces[0], ended=True)
        else:
            self.send_request(number, "POST", b"", ended=False)
        key = self.grant(number=number)
        if len(pieces) > 1:
            for piece in pieces[:-1]:
                self.deliver(RequestBody(number, piece, False))
            self.deliver(RequestBody(number, pieces[-1], True))
        self.deliver(ClientRequestFailed(key, True, False, "reset"))
        return self.pop_messages(AttemptReport)[-1].fingerprint

    # Guards against crashes of one request that are counted as those of several.
    def test_the_pieces_of_a_body_do_not_change_the_fingerprint(self):
        whole = self.crash(1, b"order 7")
        self.assertEqual(self.crash(2, b"ord", b"er 7"), whole)
        self.assertEqual(self.crash(3, b"order 7", b""), whole)

    def test_another_body_gives_another_fingerprint(self):
        self.assertNotEqual(self.crash(1, b"order 7"), self.crash(2, b"order 8"))

    def test_only_the_first_part_of_a_large_body_counts(self):
        start = b"x" * 16384
        self.assertEqual(self.crash(1, start + b"a"), self.crash(2, start, b"b"))


class QuarantineTests(EntryCase):
    """Quarantined requests reach no upstream."""

    def quarantine(self, *fingerprints):
        ends = immutables.Map(dict.fromkeys(fingerprints, self.now + 60))
        self.deliver(QuarantinesChanged(ends))

    def observe_crash(self, body=b"order 7"):
        """Return the notice of a crash of the request with this body."""
        self.send_request(1, "POST", body, ended=True)
        key = self.grant()
        self.deliver(ClientRequestFailed(key, True, False, "reset"))
        (observed,) = self.pop_messages(CrashObserved)
        self.sent = []
        return observed.notice

    def test_a_crash_is_reported_with_the_limits_of_the_profile(self):
        notice = self.observe_crash()
        self.assertEqual((notice.upstream, notice.crash_limit), ("u1", 3))

    def test_a_quarantined_request_is_refused_before_it_needs_an_owner(self):
        self.quarantine(self.observe_crash().fingerprint)
        self.send_request(2, "POST", b"order 7", ended=True)
        self.assertEqual(self.pop_messages(GrantRequest), [])
        (response,) = self.pop_responses()
        self.assertEqual(response.head.status, 503)

    def test_other_requests_go_on(self):
        self.quarantine(self.observe_crash().fingerprint)
        self.send_request(2, "POST", b"order 8", ended=True)
        self.assertEqual(len(self.pop_messages(GrantRequest)), 1)

    # Guards against a grant that arrives after the quarantine.
    def test_a_grant_for_a_request_that_is_quarantined_meanwhile_is_not_used(self):
        fingerprint = self.observe_crash().fingerprint
        self.send_request(2, "POST", b"order 7", ended=True)
        self.quarantine(fingerprint)
        self.grant(number=2)
        self.assertEqual(self.pop_messages(ClientRequestStart), [])
        (response,) = self.pop_responses()
        self.assertEqual(response.head.status, 503)

    # Guards against a request that is sent before its body shows what it is.
    def test_a_request_with_a_quarantined_head_waits_for_its_body(self):
        self.quarantine(self.observe_crash().fingerprint)
        for number, body in ((2, b"order 7"), (3, b"order 8")):
            self.send_request(number, "POST", b"", ended=False)
            self.assertEqual(self.pop_messages(GrantRequest), [])
            self.deliver(RequestBody(number, body, True))
        (response,) = self.pop_responses()
        self.assertEqual(response.head.status, 503)
        self.assertEqual(len(self.pop_messages(GrantRequest)), 1)

    def test_a_request_whose_body_never_ends_is_refused_at_its_deadline(self):
        self.quarantine(self.observe_crash().fingerprint)
        self.send_request(2, "POST", b"", ended=False, deadline=b"500")
        self.advance(0.6)
        (response,) = self.pop_responses()
        self.assertEqual(response.head.status, 503)
