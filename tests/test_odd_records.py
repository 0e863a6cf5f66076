"""Records of other writers in the store: each door has one error for all of them."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.accounts import AccountRecordError, decode_account_record
from comfreyusher.declarations import (
    Declarations,
    RecordError,
    apply_record,
    decode_record,
)
from comfreyusher.directory._task import _decode_addresses
from comfreyusher.feeds import UpstreamRegistry, apply_upstream_records
from comfreyusher.messages import UpstreamDelta
from comfreyusher.peering import decode_message
from comfreyusher.peering._codec import encode_datagram
from comfreyusher.platform import (
    DecodeError,
    Record,
    decode_configuration,
    decode_upstream,
)
from comfreyusher.quarantine import QuarantineRecordError, decode_quarantine
from standins.documents import build_configuration, build_route, build_upstream_entry

DEEP = b"[" * 100_000 + b"]" * 100_000
AT_ONCE_S = float("-inf")
ODD_TEXTS = (
    "",
    "9" * 400,
    "9" * 400 + "s",
    "10.0.0.9:" + "9" * 5000,
    "10.0.0.9:99999",
    "10.0.0.9:-1",
    "10.0.0.9:\u0664\u0662",
    "nowhere.example:80",
    "a" * 300 + ":80",
    "\x00:80",
    "1e400",
    "NaN",
)
ODD_NUMBERS = (2**63, 2**64, 10**30, -(2**70), 1e308, 0.5)
ODD_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.sampled_from(ODD_NUMBERS)
    | st.sampled_from(ODD_TEXTS)
    | st.integers()
    | st.text(max_size=5),
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(st.text(max_size=5), values, max_size=3)
    ),
    max_leaves=6,
)
VERY_ODD_BYTES = (
    b"",
    b"\xff",
    DEEP,
    b'{"x":' + DEEP + b"}",
    b'{"slots": 1e999}',
    b'{"version": "' + b"9" * 5000 + b'", "resources": []}',
)
DOORS = (
    (lambda data: decode_upstream(Record("u", data or b"?", 1)), DecodeError),
    (decode_configuration, DecodeError),
    (decode_record, RecordError),
    (decode_account_record, AccountRecordError),
    (decode_quarantine, QuarantineRecordError),
)


def odd_document(document, path, value):
    """Return the JSON of a document with one value replaced."""
    *parents, last = path
    found = json.loads(json.dumps(document))
    inner = found
    for key in parents:
        inner = inner[key]
    inner[last] = value
    return json.dumps(found).encode()


class DoorTests(unittest.TestCase):
    """Decoders raise the error of their layer, and nothing else."""

    # Guards against a record that ends the process or stops the reading of its topic.
    def test_odd_bytes_raise_the_error_of_the_layer(self):
        for decode, error in DOORS:
            for data in VERY_ODD_BYTES:
                with self.subTest(decode=decode, data=data[:20]):
                    self.assertRaises(error, decode, data)

    @given(st.sampled_from(sorted(build_upstream_entry())), ODD_VALUES)
    @settings(max_examples=400, deadline=None)
    def test_an_entry_with_an_odd_field_is_refused_or_can_be_sent_on(
        self, field, value
    ):
        data = odd_document(build_upstream_entry(), (field,), value)
        try:
            upstream = decode_upstream(Record("u", data, 1))
        except DecodeError:
            return
        delta = UpstreamDelta("n", 1, 2, (upstream,))
        self.assertEqual(decode_message(encode_datagram(delta)), delta)

    @given(
        st.sampled_from(
            ("path_prefix", "kind", "timeout", "target_latency", "priority", "service")
            + ("max_attempts", "traffic_split", "hostname")
        ),
        ODD_VALUES,
    )
    @settings(max_examples=400, deadline=None)
    def test_a_configuration_with_an_odd_field_is_refused_or_usable(self, field, value):
        document = build_configuration(7, [build_route("r", "h", "/a/", "s")])
        data = odd_document(document, ("resources", 0, "spec", field), value)
        try:
            (route,) = decode_configuration(data).routes
        except DecodeError:
            return
        self.assertLess(route.deadline_ms, 2**53)
        self.assertLess(max(route.priority, route.max_attempts), 2**31)

    def test_names_that_fit_no_header_are_refused(self):
        value = json.dumps(build_upstream_entry()).encode()
        for name in ("", "a b", "a\r\nX: y", "\u2603", "a" * 300):
            self.assertRaises(DecodeError, decode_upstream, Record(name, value, 1))


class NeighbourTests(unittest.TestCase):
    """An odd record beside others changes nothing for them."""

    def test_upstreams_beside_an_odd_entry_are_registered(self):
        good = json.dumps(build_upstream_entry()).encode()
        odd = [Record(f"odd-{n}", d, n) for n, d in enumerate(VERY_ODD_BYTES) if d]
        records = (Record("a", good, 90), *odd, Record("b", good, 99))
        result = apply_upstream_records(UpstreamRegistry(), records, AT_ONCE_S)
        self.assertEqual(sorted(result.registry.upstreams), ["a", "b"])
        self.assertEqual(len(result.faults), len(odd))

    def test_declarations_beside_an_odd_record_are_counted_and_skipped(self):
        declarations = Declarations()
        for offset, data in enumerate(VERY_ODD_BYTES):
            declarations = apply_record(declarations, offset, data)
        self.assertEqual(declarations.skipped, len(VERY_ODD_BYTES))

    def test_addresses_of_nodes_beside_an_odd_one_are_used(self):
        values = (
            b'{"host": "10.0.0.2", "port": 7}',
            b'{"host": "10.0.0.3", "port": 70000}',
            b'{"host": "nowhere.example", "port": 7}',
            DEEP,
            b'{"host": "10.0.0.4", "port": 8}',
        )
        records = [Record(f"vm-{n}", value, n) for n, value in enumerate(values)]
        found = list(_decode_addresses(records, "own"))
        self.assertEqual(found, [("10.0.0.2", 7), ("10.0.0.4", 8)])
