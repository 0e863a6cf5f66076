"""Valid and invalid documents, headers and store calls of the platform."""

import json
import pathlib
import re
import struct
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.declarations import Part
from comfreyusher.flow import Tick
from comfreyusher.messages import (
    ClientRequestCancel,
    ClientRequestFailed,
    ClientRequestStart,
    ClientResponseBody,
    ClientResponseStart,
    RequestHead,
    ResponseHead,
    find_header,
)
from comfreyusher.platform import (
    Append,
    Appended,
    AppendFailed,
    DecodeError,
    NewestRead,
    PlatformTask,
    ReadFailed,
    ReadNewest,
    ReadRecords,
    Record,
    RecordsRead,
    Topic,
    build_upstream_head,
    decode_configuration,
    decode_duration,
    decode_upstream,
    find_configurations,
    parse_caller_headers,
    parse_upstream_headers,
)
from comfreyusher.platform._wire import (
    build_append_body,
    decode_newest,
    decode_records,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
ENTRY = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "dc-1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmup_left": "1.5s",
    "seq": 4,
    "born": 1750000000000,
}
ROUTE = {
    "hostname": "H.example",
    "path_prefix": "/a/",
    "kind": "unsafe",
    "timeout": "2000ms",
    "target_latency": "1.2s",
    "priority": 1,
    "service": "s",
    "max_attempts": 2,
}


def record(value, key="u1", offset=0):
    """Return a record with a JSON value."""
    return Record(key, json.dumps(value).encode(), offset)


def configuration(*routes, version="0000000c", **limits):
    """Return the bytes of a configuration."""
    resources = [
        {"entry_kind": "routes", "metadata": {"name": f"r{n}"}, "spec": route}
        for n, route in enumerate(routes)
    ]
    resources.append({"entry_kind": "limits", "metadata": {}, "spec": limits})
    document = {"version": version, "base_version": "0", "resources": resources}
    return json.dumps(document).encode()


def newest_page(key, offset, has_more, end_offset):
    """Return the bytes of a page with one newest record."""
    item = {"key": key, "value": "dg==", "offset": offset}
    return json.dumps(
        {"items": [item], "has_more": has_more, "end": end_offset}
    ).encode()


class DocumentTests(unittest.TestCase):
    def test_an_entry_is_decoded_to_an_upstream(self):
        found = decode_upstream(record(ENTRY))
        self.assertEqual((found.name, found.host, found.port), ("u1", "10.0.0.9", 8080))
        self.assertEqual((found.data_centre, found.slots), ("dc-1", 4))
        self.assertEqual(
            (found.remaining_warmup_ms, found.started_ms), (1500, 1750000000000)
        )
        self.assertFalse(found.leaving)

    def test_a_draining_entry_is_leaving_and_a_removed_one_is_removed(self):
        draining = decode_upstream(record({**ENTRY, "state": "draining"}))
        self.assertTrue(draining.leaving)
        self.assertTrue(decode_upstream(Record("u1", b"", 3)).removed)

    def test_invalid_entries_are_refused(self):
        invalid = [
            {**ENTRY, "state": "resting"},
            {**ENTRY, "slots": "4"},
            {**ENTRY, "slots": 0},
            {**ENTRY, "address": "nowhere"},
            {**ENTRY, "address": "h:99999"},
            {**ENTRY, "service": None},
            {**ENTRY, "born": "today"},
            {**ENTRY, "warmup_left": "soon"},
            {key: value for key, value in ENTRY.items() if key != "zone"},
            [],
            7,
        ]
        for value in invalid:
            with self.subTest(value), self.assertRaises(DecodeError):
                decode_upstream(record(value))
        with self.assertRaises(DecodeError):
            decode_upstream(Record("u1", b"\xff\x00", 0))

    def test_unknown_fields_are_ignored(self):
        self.assertEqual(decode_upstream(record({**ENTRY, "new": [1]})).slots, 4)

    def test_a_route_is_decoded(self):
        found = decode_configuration(configuration(ROUTE, idle_timeout="15000ms"))
        (route,) = found.routes
        self.assertEqual((found.version, found.idle_timeout_ms), (12, 15000))
        self.assertEqual((route.host, route.prefix), ("h.example", "/a/"))
        self.assertEqual((route.deadline_ms, route.target_ms), (2000, 1200))
        self.assertEqual((route.idempotent, route.large), (False, False))
        self.assertEqual((route.priority, route.max_attempts), (1, 2))
        self.assertEqual(route.parts, (Part("s", 1),))

    def test_the_kind_tells_whether_a_route_is_idempotent_and_large(self):
        for kind, idempotent, large in (
            ("safe", True, False),
            ("download", True, True),
            ("unsafe", False, False),
            ("upload", False, True),
            ("keyed", False, False),
            ("something new", False, False),
        ):
            value = configuration({**ROUTE, "kind": kind})
            (route,) = decode_configuration(value).routes
            self.assertEqual((route.idempotent, route.large), (idempotent, large))

    def test_a_split_keeps_its_weights(self):
        split = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
        route = {**ROUTE, "service": None, "traffic_split": split}
        (found,) = decode_configuration(configuration(route)).routes
        self.assertEqual(found.parts, (Part("s", 90), Part("t", 10)))

    def test_configurations_with_an_invalid_part_are_refused_whole(self):
        invalid = [
            configuration({**ROUTE, "timeout": "2000"}),
            configuration({**ROUTE, "service": None}),
            configuration({**ROUTE, "path_prefix": "a"}),
            configuration({**ROUTE, "max_attempts": "many"}),
            configuration(ROUTE, version="new"),
            configuration(ROUTE)[:40],
            b"{}",
            b"",
        ]
        for value in invalid:
            with self.subTest(value), self.assertRaises(DecodeError):
                decode_configuration(value)

    # Guards against a share with decimals that refuses the whole configuration.
    def test_a_split_with_decimals_keeps_its_proportions(self):
        split = [{"service": "s", "weight": 0.75}, {"service": "t", "weight": 0.25}]
        route = {**ROUTE, "service": None, "traffic_split": split}
        (found,) = decode_configuration(configuration(route)).routes
        self.assertEqual(found.parts, (Part("s", 750), Part("t", 250)))

    # Guards against an entry of a kind to come that refuses the whole configuration.
    def test_entries_of_unknown_kinds_are_ignored_whatever_they_hold(self):
        document = json.loads(configuration(ROUTE))
        document["resources"].append(
            {
                "entry_kind": "quotas",
                "metadata": [7],
                "spec": {"kind": 3, "timeout": {}},
            }
        )
        found = decode_configuration(json.dumps(document).encode())
        self.assertEqual(len(found.routes), 1)

    def test_only_the_operators_key_holds_the_configuration(self):
        records = (record(1, "other"), record(2, "config"), record(3, "config", 5))
        offsets = [found.offset for found in find_configurations(records)]
        self.assertEqual(offsets, [5, 0])
        self.assertEqual(find_configurations(records[:1]), ())

    def test_durations_need_a_unit(self):
        self.assertEqual(decode_duration("2.5s"), 2500)
        for text in ("", "5", "ms", "-1s", "1m"):
            with self.subTest(text), self.assertRaises(DecodeError):
                decode_duration(text)


class HeaderTests(unittest.TestCase):
    def test_the_headers_of_a_caller_are_parsed(self):
        headers = ((b"x-request-id", b"r1"), (b"X-Deadline-MS", b" 250 "))
        parsed = parse_caller_headers(RequestHead("GET", "/", headers))
        self.assertEqual((parsed.request_id, parsed.deadline_ms), ("r1", 250))
        for value in (b"-1", b"1.5", b"", b"9" * 12):
            head = RequestHead("GET", "/", ((b"X-Deadline-Ms", value),))
            self.assertTrue(parse_caller_headers(head).fault)

    def test_an_upstream_gets_its_name_and_the_callers_other_headers(self):
        headers = (
            (b"Host", b"h"),
            (b"X-Deadline-Ms", b"9000"),
            (b"X-Expect-Instance", b"forged"),
            (b"Cookie", b"c"),
        )
        head = build_upstream_head(RequestHead("GET", "/x", headers), "u1", 250, "r1")
        self.assertEqual(find_header(head, b"x-deadline-ms"), "250")
        self.assertEqual(find_header(head, b"x-expect-instance"), "u1")
        self.assertEqual(find_header(head, b"cookie"), "c")
        names = [name.lower() for name, _ in head.headers]
        self.assertEqual(len(names), len(set(names)))

    def test_only_certain_responses_guarantee_that_the_request_was_not_run(self):
        not_executed = (b"X-Not-Executed", b"1")
        for status, headers, not_run in (
            (503, (not_executed,), True),
            (429, (not_executed,), True),
            (400, (not_executed,), True),
            (421, (), True),
            (503, (), False),
            (500, (not_executed,), False),
            (504, (), False),
        ):
            parsed = parse_upstream_headers(ResponseHead(status, headers))
            self.assertEqual(parsed.not_run, not_run, status)


class WireTests(unittest.TestCase):
    def test_appended_records_can_be_read_again(self):
        append = Append("c", None, Topic.NODES, "vm-1", b"value")
        body = struct.pack(">QQ", 8, 0) + build_append_body(append)
        page = decode_records(body, 7)
        self.assertEqual(page.records, (Record("vm-1", b"value", 7),))
        self.assertEqual((page.next_offset, page.end_offset), (8, 8))

    @given(st.binary(max_size=80))
    @settings(max_examples=300, derandomize=True, deadline=None)
    def test_random_bytes_raise_nothing_but_decode_errors(self, data):
        for decode in (lambda: decode_records(data, 0), lambda: decode_newest(data)):
            try:
                decode()
            except DecodeError:
                pass

    def test_a_truncated_response_gives_no_records(self):
        append = Append("c", None, Topic.NODES, "vm-1", b"value")
        body = struct.pack(">QQ", 8, 0) + build_append_body(append)
        for size in range(len(body)):
            if size != 16:
                with self.assertRaises(DecodeError):
                    decode_records(body[:size], 7)


class StoreCase(unittest.TestCase):
    """A store task, and the messages that it sends."""

    def setUp(self):
        self.now = 50.0
        self.task = PlatformTask("10.0.0.1", 99, clock=lambda: self.now)
        self.sent = []
        self.task.send_message = lambda channel, body: self.sent.append((channel, body))

    def start_call(self, request):
        self.sent = []
        self.task.message_handlers[type(request)](request)
        starts = [body for _, body in self.sent if isinstance(body, ClientRequestStart)]
        self.sent = []
        return starts[0].exchange if starts else None

    def respond(self, exchange, status, body=b""):
        self.task.handle_response_start(
            ClientResponseStart(exchange, ResponseHead(status), body, True)
        )
        return [body for channel, body in self.sent if channel == "user"]


class StoreTests(StoreCase):
    """Calls of the store task, and the results that it sends."""

    # Guards against a response of the store that uses up the memory.
    def test_a_response_over_the_size_limit_fails_the_call(self):
        exchange = self.start_call(ReadNewest("user", Topic.UPSTREAMS))
        chunk = bytes(1 << 20)
        head = ResponseHead(200)
        self.task.handle_response_start(
            ClientResponseStart(exchange, head, chunk, False)
        )
        for _ in range(16):
            self.task.handle_response_body(ClientResponseBody(exchange, chunk, False))
        types = [type(body) for _, body in self.sent]
        self.assertEqual(types.count(ReadFailed), 1)
        self.assertEqual(types.count(ClientRequestCancel), 1)
        self.assertEqual(self.task.calls, {})

    def test_an_append_results_in_its_offset(self):
        exchange = self.start_call(Append("user", "t", Topic.ACCOUNTS, "k", b"v", 4))
        (result,) = self.respond(exchange, 200, b'{"offset": 4, "end": 5}')
        self.assertEqual(result, Appended("t", 4))

    def test_refused_appends_are_definite_failures(self):
        for status in (412, 409, 429, 503, 507):
            exchange = self.start_call(
                Append("user", "t", Topic.ACCOUNTS, "k", b"v", 4)
            )
            (result,) = self.respond(exchange, status, b'{"end": 9}')
            self.assertIsInstance(result, AppendFailed)
            self.assertTrue(result.definite, status)

    def test_an_append_without_a_response_has_an_unknown_outcome(self):
        exchange = self.start_call(Append("user", "t", Topic.ACCOUNTS, "k", b"v"))
        self.task.handle_request_failed(
            ClientRequestFailed(exchange, True, False, "reset")
        )
        (result,) = [body for channel, body in self.sent if channel == "user"]
        self.assertFalse(result.definite)

    def test_a_call_without_a_response_fails_and_drops_its_connection(self):
        exchange = self.start_call(ReadRecords("user", Topic.UPSTREAMS, 3, 500))
        for _ in range(10):
            self.now += 0.25
            self.task.handle_tick(Tick("sweep", self.now))
        bodies = [body for _, body in self.sent]
        self.assertIn(ClientRequestCancel(exchange), bodies)
        self.assertTrue(any(isinstance(body, ReadFailed) for body in bodies))

    def sweep(self, seconds):
        """Advance the time, and return the requests that the task sends meanwhile."""
        self.sent = []
        for _ in range(round(seconds / 0.25)):
            self.now += 0.25
            self.task.handle_tick(Tick("sweep", self.now))
        return [body for _, body in self.sent if isinstance(body, ClientRequestStart)]

    # Guards against a configuration that is late since a read waits for its timeout
    # on a connection that has gone silent.
    def test_reads_on_silent_connections_are_repeated_on_new_ones(self):
        self.use_connection()
        short = self.start_call(ReadRecords("user", Topic.UPSTREAMS, 3))
        long = self.start_call(ReadRecords("user", Topic.DECLARATIONS, 3, 10_000))
        starts = self.sweep(0.75)
        cancels = [b for _, b in self.sent if isinstance(b, ClientRequestCancel)]
        self.assertEqual(
            cancels, [ClientRequestCancel(short), ClientRequestCancel(long)]
        )
        self.assertEqual([start.max_idle_s for start in starts], [0.0, 0.0])
        self.assertIn("wait_ms=0", starts[1].head.target)

    def use_connection(self, took_s=0.0):
        """Let the store respond to a call, so that a connection is idle."""
        exchange = self.start_call(ReadRecords("user", Topic.UPSTREAMS, 3))
        self.now += took_s
        self.respond(exchange, 200, struct.pack(">QQ", 3, 0))

    # Guards against twice as many calls to a store that responds to nobody.
    def test_a_read_on_a_new_connection_is_not_repeated(self):
        self.start_call(ReadRecords("user", Topic.UPSTREAMS, 3))
        self.assertEqual(self.sweep(2.0), [])
        self.use_connection()
        self.now += 1.0
        self.start_call(ReadRecords("user", Topic.UPSTREAMS, 3))
        self.assertEqual(self.sweep(2.0), [])

    # Guards against reads that a slow store answers in time, but that are given up.
    def test_a_slow_store_is_given_more_time(self):
        self.use_connection(took_s=0.4)
        self.start_call(ReadRecords("user", Topic.UPSTREAMS, 3))
        self.assertEqual(self.sweep(1.0), [])

    # Guards against a record that is appended twice.
    def test_an_append_on_a_silent_connection_is_not_repeated(self):
        self.start_call(Append("user", "t", Topic.ACCOUNTS, "k", b"v"))
        self.assertEqual(self.sweep(1.0), [])

    # Guards against calls on connections that went silent while they were idle.
    def test_connections_that_were_idle_for_long_are_not_used(self):
        self.task.handle_read_newest(ReadNewest("user", Topic.UPSTREAMS))
        (start,) = [b for _, b in self.sent if isinstance(b, ClientRequestStart)]
        self.assertLessEqual(start.max_idle_s, 1.0)

    def test_an_expired_offset_is_reported_with_the_oldest_one(self):
        exchange = self.start_call(ReadRecords("user", Topic.UPSTREAMS, 3))
        (result,) = self.respond(exchange, 410, b'{"first": 9}')
        self.assertEqual((result.expired, result.first_offset), (True, 9))

    def test_pages_of_newest_records_are_joined(self):
        exchange = self.start_call(ReadNewest("user", Topic.ACCOUNTS))
        page = (
            b'{"items":[{"key":"a","value":"dg==","offset":1}],"has_more":true,"end":4}'
        )
        self.task.handle_response_start(
            ClientResponseStart(exchange, ResponseHead(200), page, True)
        )
        starts = [body for _, body in self.sent if isinstance(body, ClientRequestStart)]
        self.assertIn("after=a", starts[0].head.target)
        last = newest_page("b", 3, has_more=False, end_offset=9)
        (result,) = self.respond(starts[0].exchange, 200, last)
        self.assertIsInstance(result, NewestRead)
        self.assertEqual([r.key for r in result.records], ["a", "b"])
        self.assertEqual(
            result.end_offset, 4, "reading on at the first page's end misses nothing"
        )

    def test_unreadable_responses_fail_the_call(self):
        for request in (
            ReadRecords("user", Topic.UPSTREAMS, 3),
            ReadNewest("user", Topic.UPSTREAMS),
            Append("user", "t", Topic.ACCOUNTS, "k", b"v"),
        ):
            exchange = self.start_call(request)
            (result,) = self.respond(exchange, 200, b"\xff?")
            self.assertIsInstance(result, ReadFailed | AppendFailed)

    def test_a_response_in_several_chunks_is_joined(self):
        exchange = self.start_call(ReadRecords("user", Topic.UPSTREAMS, 3))
        body = struct.pack(">QQ", 3, 0)
        self.task.handle_response_start(
            ClientResponseStart(exchange, ResponseHead(200), body[:5], False)
        )
        self.task.handle_response_body(ClientResponseBody(exchange, body[5:], True))
        (result,) = [body for channel, body in self.sent if channel == "user"]
        self.assertEqual(result, RecordsRead(Topic.UPSTREAMS, 3, 3, 3, ()))

    def test_calls_beyond_the_rate_limit_are_not_sent(self):
        exchanges = [
            self.start_call(ReadRecords("user", Topic.UPSTREAMS, 3)) for _ in range(60)
        ]
        self.assertLess(sum(exchange is not None for exchange in exchanges), 50)


class NamesTests(unittest.TestCase):
    """Only the folder ``platform`` has the names that the platform uses."""

    NAMES = re.compile(
        r"keyed\.|log-(append|read|newest|join|commit|trim)|path_prefix|"
        r"traffic_split|warmup_left|entry_kind|target_latency|x-request-id|"
        r"X-Deadline|X-Expect|X-Response-Seal|x-not-executed|readyz|as_of|has_more",
        re.IGNORECASE,
    )

    def test_no_other_folder_has_these_names(self):
        for path in sorted((ROOT / "comfreyusher").rglob("*.py")):
            if "platform" in path.relative_to(ROOT).parts[:-1]:
                continue
            for number, line in enumerate(path.read_text().splitlines(), start=1):
                found = self.NAMES.search(line)
                self.assertIsNone(found, f"{path.name}:{number}: {line}")

    def test_the_requirements_of_the_deploy_file_match_the_project(self):
        import tomllib

        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        lines = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
        listed = [line for line in lines if line and not line.startswith("#")]
        self.assertEqual(listed, project["dependencies"])
