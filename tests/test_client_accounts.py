"""Keys of client accounts: who may send, what upstreams see, and what revokes a key."""

import json
import unittest
from unittest import mock

import immutables
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.declarations import ClientAccount, PlatformConfiguration, digest_key
from comfreyusher.entry import EntryTask, NodeView, new_entry_state
from comfreyusher.feeds import (
    ConfigurationChanged,
    ConfigurationKnown,
    apply_configuration,
    compress_record,
)
from comfreyusher.feeds._relay import decompress_value
from comfreyusher.feeds._view import FeedView
from comfreyusher.flow import Subscribe, Tick, replace
from comfreyusher.messages import (
    ClientRequestStart,
    ClientResponseStart,
    GrantRequest,
    RequestBody,
    RequestHead,
    RequestStart,
    ResponseHead,
    SnapshotResponse,
    TopicWatermark,
    find_header,
)
from comfreyusher.node._configuration_loader import ConfigurationLoader
from comfreyusher.platform import (
    DecodeError,
    NewestRead,
    PlatformTask,
    ReadFailed,
    ReadNewest,
    Record,
    Topic,
    decode_configuration,
)
from comfreyusher.quarantine import QuarantinesChanged
from comfreyusher.routing import (
    RoutingTable,
    find_client_account,
    set_published_routes,
)
from comfreyusher.settings import TelemetrySettings
from comfreyusher.telemetry import KeysRefused, TelemetryTask
from standins import documents
from tests.test_entry import FAULT, OK, EntryCase, member
from tests.test_feeds import FeedCase

KEY, OTHER_KEY = "k-7f3a91", "k-c02b55"
AUTHORIZED = (b"Authorization", b"Token " + KEY.encode())
ACME = ClientAccount("acme", (KEY, "k-spare"))
ZENITH = ClientAccount("zenith", (OTHER_KEY,), priority=2)


def encode(version, *resources):
    """Return the value of a configuration."""
    return json.dumps(documents.build_configuration(version, resources)).encode()


def account(name="acme", keys=(KEY,), **fields):
    """Return the resource of a client account."""
    return documents.build_client_account(name, keys, **fields)


class AccountCase(EntryCase):
    """An entry task whose configuration has client accounts."""

    def setUp(self):
        super().setUp()
        self.use(ACME, ZENITH)

    def use(self, *accounts, **route_fields):
        """Bring a configuration into force."""
        routes = (replace(self.ROUTE, **route_fields),)
        configuration = PlatformConfiguration(2, routes, client_accounts=accounts)
        state = self.task.state
        table = set_published_routes(state.table, configuration)
        self.deliver(NodeView(table, True, False, state.groups, state.ownership))

    def send(self, *headers, number=1, method="GET", ended=True):
        head = RequestHead(method, "/a/x", ((b"Host", b"h"), *headers))
        self.deliver(RequestStart(number, "c", head, b"", ended))

    def assert_refused(self, *headers, **kwargs):
        self.send(*headers, **kwargs)
        self.assert_status(401)

    def assert_status(self, status):
        (response,) = self.pop_responses()
        self.assertEqual(response.head.status, status)
        self.assertEqual(self.pop_messages(GrantRequest), [])
        return response

    def sent_headers(self, name):
        """Return the values of a header in each head that was sent to upstreams."""
        heads = [start.head for start in self.pop_messages(ClientRequestStart)]
        return [[v for n, v in h.headers if n.lower() == name] for h in heads]


class KeyTests(AccountCase):
    # Guards against requests that run without a known key.
    def test_a_missing_unknown_or_ambiguous_key_gets_401_at_once(self):
        other = (b"Authorization", b"Token " + OTHER_KEY.encode())
        for headers in (
            (),
            ((b"Authorization", b"Token nobody"),),
            ((b"Authorization", b"Token"),),
            ((b"Authorization", b"Bearer " + KEY.encode()),),
            (AUTHORIZED, other),
        ):
            self.send(*headers)
            response = self.assert_status(401)
            self.assertIsNone(find_header(response.head, b"retry-after"))
            self.assertIn(b"not-run", response.body)

    def test_a_known_key_identifies_its_account_to_the_owner(self):
        for value in (b"Token " + KEY.encode(), b"tOKEN \t " + KEY.encode() + b" "):
            self.send((b"aUTHORIZATION", value))
            (request,) = self.pop_messages(GrantRequest)
            self.assertEqual((request.client_account, request.priority), ("acme", 0))

    # Guards against a route's priority that goes before that of the account.
    def test_the_rank_is_by_account_and_then_by_route(self):
        ranks = []
        for key in (KEY, OTHER_KEY):
            for priority in (0, 1, 10**9):
                self.use(ACME, ZENITH, priority=priority)
                self.send((b"Authorization", b"Token " + key.encode()))
                ranks.append(self.pop_messages(GrantRequest)[0].priority)
        self.assertEqual(ranks, sorted(set(ranks)))
        self.assertEqual(ranks[:2], [0, 1])

    def test_a_public_route_needs_no_key_but_uses_a_valid_one(self):
        self.use(ACME, public=True)
        for number, value, name in ((1, KEY, "acme"), (2, "nobody", ""), (3, "", "")):
            foreign = (b"X-Tenant-Id", b"zenith")
            self.send(
                (b"Authorization", f"Token {value}".encode()), foreign, number=number
            )
            (request,) = self.pop_messages(GrantRequest)
            self.assertEqual(request.client_account, name)
            self.grant(number=number)
            values = [[name.encode()]] if name else [[]]
            self.assertEqual(self.sent_headers(b"x-tenant-id"), values)

    # Guards against a 401 by a node that does not know the accounts yet.
    def test_a_node_without_a_configuration_answers_503(self):
        state = new_entry_state(member(1), False, 0.0)
        self.task = EntryTask(state, lambda: 1e9, clock=lambda: self.now)
        self.task.send_message = lambda channel, body: self.sent.append((channel, body))
        self.now += 2.0
        self.send(AUTHORIZED)
        self.assert_status(503)

    # Guards against a final 401 for a key that a newer configuration has.
    def test_a_key_that_a_newer_configuration_may_have_gets_503(self):
        for known in (ConfigurationKnown(2, True), ConfigurationKnown(3, False)):
            self.deliver(known)
            self.send((b"Authorization", b"Token k-new"))
            response = self.assert_status(503)
            retry_after_s = float(find_header(response.head, b"retry-after"))
            self.assertTrue(0.4 <= retry_after_s <= 0.8)
            self.send(AUTHORIZED, number=2)
            self.assertEqual(len(self.pop_messages(GrantRequest)), 1)
        self.deliver(ConfigurationKnown(2, False))
        self.assert_refused((b"Authorization", b"Token k-new"))

    # Guards against the key of an account that counts as the key of a customer.
    def test_a_token_is_no_customers_key(self):
        customers = immutables.Map({digest_key(KEY): "c", digest_key("b"): "d"})
        table = replace(self.task.state.table, customers=customers)
        self.task.state = replace(self.task.state, table=table, keys_required=True)
        self.assert_refused(AUTHORIZED)
        self.send(AUTHORIZED, (b"Authorization", b"Bearer b"))
        self.assertEqual(self.task.requests[1].customer, "d")
        self.assertEqual(self.task.requests[1].client_account, ACME)


class UpstreamHeadTests(AccountCase):
    # Guards against heads of retries and hedges that are built without the account.
    def test_every_send_names_the_account_and_has_no_key(self):
        self.send(AUTHORIZED, (b"X-TENANT-ID", b"zenith"))
        key = self.grant()
        self.deliver(ClientResponseStart(key, FAULT, b"", True))
        self.grant(2, "u2")
        self.send(AUTHORIZED, number=2)
        self.grant(1, "u1", number=2)
        self.advance(0.4)
        self.grant(2, "u2", number=2)
        heads = [s.head for s in self.pop_messages(ClientRequestStart)]
        self.assertEqual(len(heads), 4)
        for head in heads:
            self.assertEqual(find_header(head, b"x-tenant-id"), "acme")
            self.assertIsNone(find_header(head, b"authorization"))

    def test_without_accounts_the_headers_pass_unchanged(self):
        self.use()
        self.send(AUTHORIZED, (b"X-Tenant-Id", b"zenith"), (b"Connection", b"x-a"))
        self.assertEqual(self.pop_messages(GrantRequest)[0].client_account, "")
        self.grant()
        (start,) = self.pop_messages(ClientRequestStart)
        self.assertIn(AUTHORIZED, start.head.headers)
        self.assertIn((b"X-Tenant-Id", b"zenith"), start.head.headers)

    # Guards against callers that pass for another account, or learn an account's key
    # from an upstream, by odd headers.
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    (b"Authorization", b"X-Tenant-Id", b"Connection", b"X_tenant-ID")
                ).flatmap(
                    lambda name: st.sampled_from((name, name.lower(), name.swapcase()))
                ),
                st.lists(
                    st.sampled_from(
                        (b"Token", b"toKEN", b" ", b"\t", b",", b"Basic", b"zenith")
                        + (KEY.encode(), OTHER_KEY.encode(), b"x-tenant-id", b"close")
                    ),
                    max_size=6,
                ).map(b"".join),
            ),
            max_size=6,
        )
    )
    @settings(max_examples=400, derandomize=True, deadline=None)
    def test_odd_headers_of_callers(self, headers):
        self.sent = []
        self.use(ACME, ZENITH, public=True)
        self.send(*headers)
        name = self.pop_messages(GrantRequest)[0].client_account
        self.grant()
        (start,) = self.pop_messages(ClientRequestStart)
        tokens = {
            parts[1]
            for n, v in headers
            if n.lower() == b"authorization"
            and len(parts := v.split(None, 1)) == 2
            and parts[0].lower() == b"token"
        }
        keys = {t.strip() for t in tokens}
        owners = {KEY.encode(): "acme", OTHER_KEY.encode(): "zenith"}
        expected = owners.get(keys.pop(), "") if len(keys) == 1 else ""
        self.assertEqual(name, expected)
        named = []
        for n, v in start.head.headers:
            if n.lower().replace(b"_", b"-") == b"x-tenant-id":
                named.append(v)
            elif n.lower() == b"connection":
                self.assertNotIn(
                    b"x-tenant-id", [p.strip().lower() for p in v.split(b",")]
                )
            elif n.lower() == b"authorization":
                schemes = [p.split()[:1] for p in v.lower().split(b",")]
                self.assertNotIn([b"token"], schemes)
        self.assertEqual(named, [name.encode()] if name else [])


class RevocationTests(AccountCase):
    # Guards against a key that stays valid on a connection, or for a held request.
    def test_a_removed_key_is_refused_where_it_was_not_yet_used(self):
        self.send(AUTHORIZED, number=1, ended=False, method="POST")
        fingerprint = self.task.requests[1].fingerprint
        self.deliver(QuarantinesChanged(immutables.Map({fingerprint: self.now + 60})))
        self.send(AUTHORIZED, number=2, ended=False, method="POST")
        self.assertTrue(self.task.requests[2].held_for_body)
        self.pop_messages(GrantRequest)
        self.use(replace(ACME, keys=("k-spare",)), ZENITH)
        self.assert_refused(AUTHORIZED, number=3)
        self.deliver(RequestBody(2, b"order 7", True))
        self.assert_status(401)

    def test_requests_before_the_first_view_are_checked_with_its_accounts(self):
        view = self.task.state
        state = new_entry_state(member(1), False, 0.0)
        self.task = EntryTask(state, lambda: 1e9, clock=lambda: self.now)
        self.task.send_message = lambda channel, body: self.sent.append((channel, body))
        self.send(number=1)
        self.assertEqual(self.sent, [("timers", mock.ANY)])
        self.deliver(NodeView(view.table, True, False, view.groups, view.ownership))
        self.assert_status(401)

    # Guards against a key that reaches an upstream as the last account is removed.
    def test_a_queued_request_is_completed_without_its_key(self):
        self.send(AUTHORIZED)
        self.use()
        self.grant()
        (start,) = self.pop_messages(ClientRequestStart)
        self.assertIsNone(find_header(start.head, b"authorization"))
        self.assertEqual(find_header(start.head, b"x-tenant-id"), "acme")

    # Guards against nodes without the store that keep a removed key, or revert to it.
    def test_a_snapshot_of_another_node_removes_a_key_for_good(self):
        sent = []
        view = FeedView(lambda channel, body: sent.append(body), lambda: 100.0)
        versions = [
            encode(1, account()),
            encode(2, account(keys=())),
            encode(1, account()),
        ]
        for offset, value in enumerate(versions):
            other = compress_record(Record("config", value, offset))
            records = view.decompress_records(Topic.CONFIGURATION, (other,))
            read = NewestRead(Topic.CONFIGURATION, offset + 1, records)
            view.update_records(Topic.CONFIGURATION, read, True, "peer", 0)
        keys = [m.configuration.client_accounts[0].keys for m in sent]
        self.assertEqual(keys, [(KEY,), ()])


class OutdatedNodeTests(FeedCase):
    RANK = 2

    # Guards against final refusals by a node whose keys are known to be out of date.
    def test_the_entry_task_learns_that_a_newer_configuration_exists(self):
        self.read_initial()
        known = self.pop_messages(ConfigurationKnown)
        self.assertEqual(known, [ConfigurationKnown(1, False)])
        topic = Topic.CONFIGURATION
        self.task.handle_feed_watermarks(self.watermarks(0, 2, 2, topic=topic))
        known = self.pop_messages(ConfigurationChanged | ConfigurationKnown)[-1]
        self.assertEqual(known, ConfigurationKnown(1, True))
        record = compress_record(Record("config", encode(7, account()), 1))
        watermark = TopicWatermark(topic.value, 2, 2, 0)
        self.task.handle_snapshot_response(SnapshotResponse(watermark, (record,)))
        changed, known = self.pop_messages(ConfigurationChanged | ConfigurationKnown)
        self.assertEqual(changed.configuration.client_accounts[0].keys, (KEY,))
        self.assertEqual(known, ConfigurationKnown(7, False))


class PreparationTests(FeedCase):
    """Large configurations are decoded in slices, between ticks of the timer."""

    def deliver(self, body):
        self.task.message_handlers[type(body)](body)

    def run_slices(self):
        """Deliver the ticks that the feed task asks for; return their number."""
        count = 0
        while any(s.name == "preparation" for s in self.pop_messages(Subscribe)):
            self.deliver(Tick("preparation", self.now))
            count += 1
        return count

    def versions(self):
        return [
            m.configuration.version for m in self.pop_messages(ConfigurationChanged)
        ]

    def snapshot(self, version, *resources):
        """Return a snapshot of another node with some 3,000 accounts."""
        many = [account(f"a{n}", (f"{'k' * 60}{n}",)) for n in range(3000)]
        value = encode(version, *many, *resources)
        record = compress_record(Record("config", value, version))
        watermark = TopicWatermark(Topic.CONFIGURATION.value, version, version, 0)
        return SnapshotResponse(watermark, (record,))

    # Guards against an event loop that stands still while it decodes, and against
    # versions that overtake each other.
    def test_messages_wait_in_their_order_until_they_are_decoded(self):
        self.pop_messages(object)
        for version in (1, 2):
            self.deliver(self.snapshot(version))
        small = Record("config", encode(3), 3)
        self.deliver(NewestRead(Topic.CONFIGURATION, 4, (small,)))
        self.assertEqual(self.versions(), [])
        self.assertGreater(self.run_slices(), 4)
        self.assertEqual(self.versions(), [1, 2, 3])

    # Guards against a malformed configuration, or a fault, that stops all later ones.
    def test_what_waits_behind_a_malformed_configuration_goes_on(self):
        self.pop_messages(object)
        self.deliver(self.snapshot(1))
        self.deliver(self.snapshot(2, account(keys=(7,))))
        self.deliver(self.snapshot(3))
        self.run_slices()
        self.assertEqual(self.versions(), [1, 3])
        with mock.patch.object(self.task.view, "update_records", side_effect=KeyError):
            self.deliver(self.snapshot(4))
            with self.assertRaises(KeyError):
                self.run_slices()
        self.deliver(self.snapshot(5))
        self.run_slices()
        self.assertEqual(self.versions(), [5])


class SecrecyTests(AccountCase):
    # Guards against keys in logs, traces, account entries and texts of errors.
    def test_a_key_is_in_no_message_but_that_to_its_upstream(self):
        customers = immutables.Map({digest_key("b"): "d"})
        table = replace(self.task.state.table, customers=customers)
        self.task.state = replace(self.task.state, table=table, sampling_ratio=1.0)
        with mock.patch("absl.logging.info") as log:
            self.send(AUTHORIZED, (b"Authorization", b"Bearer b"), number=1)
            key = self.grant()
            self.deliver(ClientResponseStart(key, OK, b"", True))
            self.assertEqual(len(self.pop_messages(GrantRequest)), 1)
            self.use(replace(ACME, keys=()))
            self.assert_refused(AUTHORIZED, number=2)
        self.assertNotIn(KEY, repr(self.sent))
        self.assertNotIn(KEY, repr(log.mock_calls) + repr(ACME))
        self.assertTrue(log.mock_calls)

    # Guards against a flood of unknown keys that fills the log.
    def test_refusals_are_logged_and_counted_once_a_second(self):
        with mock.patch("comfreyusher.entry._key_refusals.log_info") as log:
            for number in range(300):
                self.send(number=number)
                self.now += 0.01
            self.advance(1.1)
        self.assertLessEqual(len(log.mock_calls), 5)
        counts = [m.missing for m in self.pop_messages(KeysRefused)]
        self.assertEqual((sum(counts), len(counts)), (300, len(log.mock_calls)))
        self.assertFalse(self.task.ticking)
        telemetry = TelemetryTask("vm-1", TelemetrySettings())
        telemetry.load_meters()
        telemetry.handle_measurement(KeysRefused(0, 7, 0))
        self.assertIn(
            b'comfreyusher_key_refusals_total{comfreyusher_reason="unknown"',
            telemetry.read_prometheus_text(),
        )
        telemetry.close()


class DecodingTests(unittest.TestCase):
    def test_accounts_are_decoded_with_integers_or_fractions(self):
        full = account(priority=1.0, rate_per_s=12, burst=2.5)
        empty = {"entry_kind": "tenants", "metadata": {"name": "b"}, "spec": {}}
        null = account("c", (), priority=None, rate_per_s=None, burst=None)
        found = decode_configuration(encode(1, full, empty, null)).client_accounts
        self.assertEqual(found[0], ClientAccount("acme", (KEY,), 1, 12.0, 2.5))
        self.assertEqual(found[1:], (ClientAccount("b"), ClientAccount("c")))

    def test_a_route_is_public_if_it_says_so(self):
        routes = [documents.build_route("r", "h", f"/{n}/", "s") for n in range(2)]
        routes[0]["spec"]["public"] = True
        found = decode_configuration(encode(1, *routes)).routes
        self.assertEqual([route.public for route in found], [True, False])

    # Guards against part of a configuration in force, and against keys in the log.
    def test_a_malformed_account_fails_the_configuration_without_its_keys(self):
        broken = (
            account(name=""),
            account(name="a\r\nX: y"),
            account(name=7),
            account(keys=("",)),
            account(keys=(KEY, KEY + "\n")),
            account(keys=(KEY, 7)),
            account(rate_per_s=-1),
            account(burst="20"),
            account(priority=10**12),
            {"entry_kind": "tenants", "spec": {}},
        )
        known = decode_configuration(encode(1, account()))
        for resource in broken:
            record = Record("config", encode(2, account("a"), resource), 1)
            with self.assertRaises(DecodeError):
                decode_configuration(record.value)
            result = apply_configuration(known, (record,))
            self.assertIs(result.configuration, known)
            self.assertNotIn(KEY, repr(result.faults))

    # Guards against a key whose account depends on the versions that a node has seen.
    def test_a_key_of_two_accounts_belongs_to_the_first(self):
        value = encode(1, account("a", (KEY, KEY)), account("b", (OTHER_KEY, KEY)))
        found = decode_configuration(value).client_accounts
        self.assertEqual([a.keys for a in found], [(KEY,), (OTHER_KEY,)])

    # Guards against large configurations that only some ways of reading them let in.
    def test_configurations_of_the_design_size_pass_the_limits(self):
        value = bytes(20 << 20)
        record = compress_record(Record("config", value, 0))
        self.assertEqual(len(decompress_value(record.value)), len(value))
        task = PlatformTask("10.0.0.1", 99, clock=lambda: 50.0)
        sent = []
        task.send_message = lambda channel, body: sent.append(body)
        task.handle_read_newest(ReadNewest("user", Topic.CONFIGURATION))
        key = next(b for b in sent if isinstance(b, ClientRequestStart)).exchange
        task.handle_response_start(
            ClientResponseStart(key, ResponseHead(200), bytes(26 << 20), False)
        )
        self.assertEqual([b for b in sent if isinstance(b, ReadFailed)], [])


class TableTests(unittest.TestCase):
    # Guards against tables that keep a removed key or lose a moved one when a newer
    # configuration comes before the one before it is loaded.
    @given(
        st.lists(
            st.tuples(
                st.dictionaries(st.sampled_from("klmnop"), st.sampled_from("ABC")),
                st.integers(0, 3),
            ),
            max_size=6,
        )
    )
    @settings(max_examples=300, derandomize=True, deadline=None)
    def test_tables_built_in_slices_hold_exactly_the_newest_accounts(self, steps):
        loader = ConfigurationLoader("node", lambda channel, body: None, 1)
        table = RoutingTable()
        for version, (owners, slices) in enumerate([*steps, ({"k": "A"}, 99)], start=1):
            names = sorted(set(owners.values()))
            accounts = tuple(
                ClientAccount(n, tuple(k for k in sorted(owners) if owners[k] == n))
                for n in names
            )
            loader.start(PlatformConfiguration(version, client_accounts=accounts))
            for _ in range(slices):
                table = loader.advance(table) or table
            if table.version == version:  # loaded
                found = {k: a.name for k, a in table.client_accounts.items()}
                self.assertEqual(found, owners)
                self.assertEqual(sorted(table.client_accounts_by_name), names)
        self.assertEqual(find_client_account(table, "k"), ClientAccount("A", ("k",)))
        self.assertIsNone(find_client_account(table, "l"))

    # Guards against routes of a new version that are used without its accounts.
    def test_a_large_configuration_comes_into_force_as_a_whole(self):
        accounts = tuple(ClientAccount(f"a{n}", (f"k{n}",)) for n in range(5000))
        routes = (EntryCase.ROUTE,)
        sent = []
        loader = ConfigurationLoader("node", lambda channel, body: sent.append(body))
        loader.start(PlatformConfiguration(1, routes, client_accounts=accounts))
        tables = [loader.advance(RoutingTable()) for _ in range(3)]
        self.assertEqual(tables[:2], [None, None])
        self.assertEqual(len(tables[2].client_accounts), 5000)
        self.assertEqual([type(body) for body in sent], [Subscribe, Subscribe])
        self.assertIsNone(loader.advance(tables[2]))

    def test_accounts_that_did_not_change_are_kept(self):
        first = PlatformConfiguration(1, client_accounts=(ACME, ZENITH))
        table = set_published_routes(RoutingTable(), first)
        again = (replace(ACME), replace(ZENITH, keys=("k-new",)))
        second = PlatformConfiguration(2, client_accounts=again)
        after = set_published_routes(table, second)
        self.assertIs(find_client_account(after, KEY), ACME)
        self.assertIsNone(find_client_account(after, OTHER_KEY))
        self.assertIs(find_client_account(table, OTHER_KEY), ZENITH)


if __name__ == "__main__":
    unittest.main()
