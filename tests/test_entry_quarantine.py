"""Requests that crash upstreams, at their entry node."""

from comfreyusher.messages import (
    AttemptReport,
    ClientRequestFailed,
    RequestBody,
)
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
