"""The fold of the topic of declarations, and the routing tables built from it."""

import json
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.declarations import (
    Declarations,
    Part,
    PlatformConfiguration,
    Record,
    Route,
    apply_record,
    digest_key,
    encode_record,
    new_record,
    parse_declaration,
    read_newest_records,
)
from comfreyusher.documents import DocumentError
from comfreyusher.routing import (
    RoutingTable,
    choose_part,
    find_customer,
    find_customer_by_host,
    find_route,
    set_published_routes,
    update_table,
)

NAMES = ("a", "b")


def profile_record(name, based_on, number):
    """Return a record of a profile; ``number`` makes bodies differ."""
    body = {"name": name, "max_wait_ms": number + 1}
    return Record(
        1,
        f"publish-{number}",
        "profile",
        name,
        based_on + 1,
        based_on,
        msgspec.Raw(json.dumps(body).encode()),
        "op",
    )


RECORDS = st.lists(
    st.one_of(
        st.builds(
            lambda name, base, number: encode_record(
                profile_record(name, base, number)
            ),
            st.sampled_from(NAMES),
            st.integers(0, 4),
            st.integers(0, 1000),
        ),
        st.sampled_from(("", "{", "[]", '{"format": 99}', '{"format": 1}')),
    ),
    max_size=25,
)


def fold(texts):
    """Return the declarations after a whole topic."""
    declarations = Declarations()
    for offset, text in enumerate(texts):
        declarations = apply_record(declarations, offset, text)
    return declarations


class FoldTests(unittest.TestCase):
    def test_first_record_on_a_base_wins_and_the_other_is_a_conflict(self):
        first = new_record("profile", "a", 0, {"name": "a", "max_wait_ms": 1}, "x")
        second = new_record("profile", "a", 0, {"name": "a", "max_wait_ms": 2}, "y")
        declarations = fold([encode_record(first), encode_record(second)])
        entry = declarations.entries["profile/a"]
        self.assertEqual(entry.record.publish_id, first.publish_id)
        self.assertIn("revision 1", declarations.conflicts[second.publish_id].reason)

    def test_a_record_appended_twice_counts_once(self):
        record = encode_record(profile_record("a", 0, 1))
        declarations = fold([record, record])
        self.assertEqual(declarations.entries["profile/a"].record.revision, 1)
        self.assertEqual(len(declarations.conflicts), 0)

    @given(RECORDS, st.integers(0, 25))
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_offsets_and_revisions_never_go_back(self, texts, again):
        declarations = Declarations()
        log = list(enumerate(texts))
        for offset, text in [*log, *log[again:]]:
            after = apply_record(declarations, offset, text)
            self.assertGreaterEqual(after.offset, declarations.offset)
            for key, entry in declarations.entries.items():
                revision = after.entries[key].record.revision
                self.assertGreaterEqual(revision, entry.record.revision)
            declarations = after

    @given(st.lists(st.tuples(st.sampled_from(NAMES), st.integers(0, 99)), max_size=20))
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_newest_records_give_the_same_state_as_the_whole_topic(self, published):
        revisions, texts = {}, []
        for number, (name, _) in enumerate(published):
            record = profile_record(name, revisions.get(name, 0), number)
            revisions[name] = record.revision
            texts.append(encode_record(record))
        newest = {}
        for offset, ((name, _), text) in enumerate(zip(published, texts)):
            newest[name] = (offset, text)
        folded = fold(texts)
        rebuilt = read_newest_records(sorted(newest.values()), len(texts))
        self.assertEqual(_summarize(rebuilt), _summarize(folded))

    def test_unreadable_newest_records_are_counted_and_skipped(self):
        good = encode_record(profile_record("a", 3, 1))
        declarations = read_newest_records([(4, good), (5, "{")], 6)
        self.assertEqual(declarations.entries["profile/a"].record.revision, 4)
        self.assertEqual((declarations.skipped, declarations.offset), (1, 6))


def _summarize(declarations):
    entries = {
        key: (entry.record.revision, entry.record.publish_id)
        for key, entry in declarations.entries.items()
    }
    return declarations.offset, entries


class DeclarationTests(unittest.TestCase):
    def test_all_faults_are_reported_at_once(self):
        body = {
            "name": "UPPER",
            "floor_share": 2,
            "detection": {"stall_factor": "x"},
            "surprise": 1,
        }
        with self.assertRaises(DocumentError) as caught:
            parse_declaration("profile", body, "p.json", json.dumps(body, indent=1))
        lines = sorted(str(fault) for fault in caught.exception.exceptions)
        self.assertEqual(len(lines), 4, lines)
        self.assertTrue(all(line.startswith("p.json:") for line in lines))

    def test_service_with_invalid_methods_or_prefixes_is_rejected(self):
        for routes in ([{"prefix": "/a", "methods": ["BREW"]}], [{"prefix": "a"}]):
            body = {"name": "s", "profile": "p", "slots": {}, "routes": routes}
            with self.subTest(routes), self.assertRaises(DocumentError):
                parse_declaration("service", body, "s.json")


def service_text(name, base, *prefixes):
    """Return the encoded record of a service with one route per prefix."""
    body = {
        "name": name,
        "profile": "p",
        "slots": {"r": 4},
        "routes": [{"prefix": prefix} for prefix in prefixes],
    }
    return encode_record(new_record("service", name, base, body, ""))


def customer_text(name, base, digests, closed=False):
    """Return the encoded record of a customer."""
    body = {"name": name, "key_digests": digests, "closed": closed}
    return encode_record(new_record("customer", name, base, body, ""))


class RoutingTests(unittest.TestCase):
    def build(self, *texts):
        return update_table(RoutingTable(), fold(texts))

    def name_of(self, table, target):
        match = find_route(table, "GET", "h", target)
        return match.service if match else None

    def test_longest_prefix_wins_by_whole_segments(self):
        table = self.build(
            service_text("root", 0, "/"), service_text("deep", 0, "/a/b")
        )
        self.assertEqual(self.name_of(table, "/a/b/c?x=/a"), "deep")
        self.assertEqual(self.name_of(table, "/a/bc"), "root")
        self.assertEqual(self.name_of(table, "http://h/a/b"), "deep")

    def test_revised_service_loses_its_old_routes(self):
        first = fold([service_text("s", 0, "/old", "/both")])
        table = update_table(RoutingTable(), first)
        second = apply_record(first, 1, service_text("s", 1, "/new", "/both"))
        table = update_table(table, second)
        self.assertIsNone(self.name_of(table, "/old"))
        self.assertEqual(self.name_of(table, "/new"), "s")
        self.assertEqual(self.name_of(table, "/both/x"), "s")

    def test_both_keys_are_valid_in_a_rotation_and_none_after_closing(self):
        old, new = digest_key("old"), digest_key("new")
        first = fold([customer_text("c", 0, [old])])
        table = update_table(RoutingTable(), first)
        second = apply_record(first, 1, customer_text("c", 1, [old, new]))
        table = update_table(table, second)
        self.assertEqual(find_customer(table, "old"), "c")
        self.assertEqual(find_customer(table, "new"), "c")
        third = apply_record(second, 2, customer_text("c", 2, [new], True))
        table = update_table(table, third)
        self.assertIsNone(find_customer(table, "old"))
        self.assertIsNone(find_customer(table, "new"))

    def test_a_host_without_keys_belongs_to_its_customer(self):
        body = {"name": "c", "hosts": ["c.example"]}
        text = encode_record(new_record("customer", "c", 0, body, ""))
        table = update_table(RoutingTable(), fold([text]))
        self.assertEqual(find_customer_by_host(table, "c.example"), "c")
        self.assertEqual(find_customer_by_host(table, "d.example"), "")


class PlatformConfigurationTests(unittest.TestCase):
    """Routes of the platform: path prefixes, weighted parts and versions."""

    def publish(self, *routes):
        return set_published_routes(RoutingTable(), PlatformConfiguration(1, routes))

    def service_of(self, table, target, token="t"):
        match = find_route(table, "GET", "h", target, token)
        return match.service if match else None

    def test_longest_matching_prefix_wins(self):
        table = self.publish(
            Route("/a/", "h", parts=(Part("short", 1),)),
            Route("/a/b/", "h", parts=(Part("long", 1),)),
        )
        self.assertEqual(self.service_of(table, "/a/b/c"), "long")
        self.assertEqual(self.service_of(table, "/a/b"), "short")
        self.assertEqual(self.service_of(table, "/a/bc/"), "short")
        self.assertIsNone(self.service_of(table, "/a"))
        self.assertIsNone(self.service_of(table, "/ab/c"))

    def test_route_matches_only_its_host(self):
        table = self.publish(Route("/a/", "other", parts=(Part("s", 1),)))
        self.assertIsNone(self.service_of(table, "/a/b"))

    def test_parts_of_a_split_keep_their_weights(self):
        parts = (Part("x", 90), Part("y", 10), Part("never", 0))
        chosen = [choose_part(parts, f"request-{n}") for n in range(2000)]
        self.assertAlmostEqual(chosen.count("x") / 2000, 0.9, delta=0.03)
        self.assertEqual(chosen.count("never"), 0)

    def test_same_request_always_gets_the_same_part(self):
        parts = (Part("x", 50), Part("y", 50))
        for n in range(50):
            token = f"request-{n}"
            self.assertEqual(choose_part(parts, token), choose_part(parts, token))

    def test_unchanged_routes_keep_their_rule(self):
        same = Route("/a/", "h", parts=(Part("s", 1),))
        before = self.publish(same, Route("/b/", "h", parts=(Part("s", 1),)))
        after = set_published_routes(before, PlatformConfiguration(2, (same,)))
        key = ("h", "/a/")
        self.assertIs(after.published_routes[key], before.published_routes[key])
        self.assertIsNone(self.service_of(after, "/b/x"))

    def test_service_without_a_declaration_gets_the_default_profile(self):
        table = self.publish(Route("/a/", "h", parts=(Part("s", 1),)))
        match = find_route(table, "GET", "h", "/a/b")
        self.assertEqual(match.profile.name, "default")
