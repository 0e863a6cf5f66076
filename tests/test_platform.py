"""The platform's documents, headers and store calls, good and bad."""

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
    DocumentRefused,
    Follow,
    Followed,
    NewestRead,
    PlatformTask,
    ReadFailed,
    ReadNewest,
    Record,
    Topic,
    address_request,
    decode_configuration,
    decode_duration,
    decode_upstream,
    find_configuration,
    read_call,
    read_reply,
)
from comfreyusher.platform._wire import (
    append_body,
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


def newest_page(key, offset, more, end):
    """Return the bytes of a page with one newest record."""
    item = {"key": key, "value": "dg==", "offset": offset}
    return json.dumps({"items": [item], "has_more": more, "end": end}).encode()


class DocumentTests(unittest.TestCase):
    def test_an_entry_becomes_an_upstream(self):
        found = decode_upstream(record(ENTRY))
        self.assertEqual((found.name, found.host, found.port), ("u1", "10.0.0.9", 8080))
        self.assertEqual((found.data_centre, found.slots), ("dc-1", 4))
        self.assertEqual(
            (found.remaining_warmup_ms, found.started_ms), (1500, 1750000000000)
        )
        self.assertFalse(found.leaving)

    def test_a_draining_entry_leaves_and_a_removed_one_is_gone(self):
        draining = decode_upstream(record({**ENTRY, "state": "draining"}))
        self.assertTrue(draining.leaving)
        self.assertTrue(decode_upstream(Record("u1", b"", 3)).removed)

    def test_odd_entries_name_no_upstream(self):
        odd = [
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
        for value in odd:
            with self.subTest(value), self.assertRaises(DocumentRefused):
                decode_upstream(record(value))
        with self.assertRaises(DocumentRefused):
            decode_upstream(Record("u1", b"\xff\x00", 0))

    def test_unknown_fields_are_ignored(self):
        self.assertEqual(decode_upstream(record({**ENTRY, "new": [1]})).slots, 4)

    def test_a_route_becomes_the_projects_own(self):
        found = decode_configuration(configuration(ROUTE, idle_timeout="15000ms"))
        (route,) = found.routes
        self.assertEqual((found.version, found.idle_timeout_ms), (12, 15000))
        self.assertEqual((route.host, route.prefix), ("h.example", "/a/"))
        self.assertEqual((route.deadline_ms, route.target_ms), (2000, 1200))
        self.assertEqual((route.idempotent, route.large), (False, False))
        self.assertEqual((route.priority, route.max_attempts), (1, 2))
        self.assertEqual(route.parts, (Part("s", 1),))

    def test_kinds_decide_what_may_be_repeated(self):
        for kind, idempotent, large in (
            ("safe", True, False),
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

    def test_wrong_configurations_are_refused_whole(self):
        wrong = [
            configuration({**ROUTE, "timeout": "2000"}),
            configuration({**ROUTE, "service": None}),
            configuration({**ROUTE, "path_prefix": "a"}),
            configuration({**ROUTE, "max_attempts": "many"}),
            configuration(ROUTE, version="new"),
            configuration(ROUTE)[:40],
            b"{}",
            b"",
        ]
        for value in wrong:
            with self.subTest(value), self.assertRaises(DocumentRefused):
                decode_configuration(value)

    def test_only_the_operators_key_holds_the_configuration(self):
        records = (record(1, "other"), record(2, "config"), record(3, "config", 5))
        self.assertEqual(find_configuration(records).offset, 5)
        self.assertIsNone(find_configuration(records[:1]))

    def test_durations_need_a_unit(self):
        self.assertEqual(decode_duration("2.5s"), 2500)
        for text in ("", "5", "ms", "-1s", "1m"):
            with self.subTest(text), self.assertRaises(DocumentRefused):
                decode_duration(text)


class HeaderTests(unittest.TestCase):
    def test_a_call_is_read(self):
        headers = ((b"x-request-id", b"r1"), (b"X-Deadline-MS", b" 250 "))
        facts = read_call(RequestHead("GET", "/", headers))
        self.assertEqual((facts.request_id, facts.deadline_ms), ("r1", 250))
        for value in (b"-1", b"1.5", b"", b"9" * 12):
            head = RequestHead("GET", "/", ((b"X-Deadline-Ms", value),))
            self.assertTrue(read_call(head).fault)

    def test_an_upstream_gets_its_name_and_the_callers_other_headers(self):
        headers = (
            (b"Host", b"h"),
            (b"X-Deadline-Ms", b"9000"),
            (b"X-Expect-Instance", b"forged"),
            (b"Cookie", b"c"),
        )
        head = address_request(RequestHead("GET", "/x", headers), "u1", 250, "r1")
        self.assertEqual(find_header(head, b"x-deadline-ms"), "250")
        self.assertEqual(find_header(head, b"x-expect-instance"), "u1")
        self.assertEqual(find_header(head, b"cookie"), "c")
        names = [name.lower() for name, _ in head.headers]
        self.assertEqual(len(names), len(set(names)))

    def test_only_the_named_answers_say_that_nothing_ran(self):
        mark = (b"X-Not-Executed", b"1")
        for status, headers, not_run in (
            (503, (mark,), True),
            (429, (mark,), True),
            (400, (mark,), True),
            (421, (), True),
            (503, (), False),
            (500, (mark,), False),
            (504, (), False),
        ):
            facts = read_reply(ResponseHead(status, headers))
            self.assertEqual(facts.not_run, not_run, status)


class WireTests(unittest.TestCase):
    def test_appended_records_can_be_read_again(self):
        append = Append("c", None, Topic.NODES, "vm-1", b"value")
        body = struct.pack(">QQ", 8, 0) + append_body(append)
        page = decode_records(body, 7)
        self.assertEqual(page.records, (Record("vm-1", b"value", 7),))
        self.assertEqual((page.following, page.end), (8, 8))

    @given(st.binary(max_size=80))
    @settings(max_examples=300, derandomize=True, deadline=None)
    def test_garbage_raises_the_layers_error(self, data):
        for decode in (lambda: decode_records(data, 0), lambda: decode_newest(data)):
            try:
                decode()
            except DocumentRefused:
                pass

    def test_a_cut_answer_gives_no_records(self):
        append = Append("c", None, Topic.NODES, "vm-1", b"value")
        body = struct.pack(">QQ", 8, 0) + append_body(append)
        for size in range(len(body)):
            if size != 16:
                with self.assertRaises(DocumentRefused):
                    decode_records(body[:size], 7)


class StoreTests(unittest.TestCase):
    """Calls of the store task, and what its users are told."""

    def setUp(self):
        self.now = 50.0
        self.task = PlatformTask("10.0.0.1", 99, clock=lambda: self.now)
        self.told = []
        self.task.send_message = lambda channel, body: self.told.append((channel, body))

    def call(self, request):
        self.told = []
        self.task.message_handlers[type(request)](request)
        sends = [body for _, body in self.told if isinstance(body, ClientRequestStart)]
        self.told = []
        return sends[0].exchange if sends else None

    def answer(self, exchange, status, body=b""):
        self.task.take_start(
            ClientResponseStart(exchange, ResponseHead(status), body, True)
        )
        return [body for channel, body in self.told if channel == "user"]

    # Guards against an answer of the store that fills the memory.
    def test_an_answer_without_an_end_fails_the_call(self):
        exchange = self.call(ReadNewest("user", Topic.UPSTREAMS))
        part = bytes(1 << 20)
        head = ResponseHead(200)
        self.task.take_start(ClientResponseStart(exchange, head, part, False))
        for _ in range(16):
            self.task.take_body(ClientResponseBody(exchange, part, False))
        told = [type(body) for _, body in self.told]
        self.assertEqual(told.count(ReadFailed), 1)
        self.assertEqual(told.count(ClientRequestCancel), 1)
        self.assertEqual(self.task.calls, {})

    def test_an_append_tells_its_offset(self):
        exchange = self.call(Append("user", "t", Topic.ACCOUNTS, "k", b"v", 4))
        (told,) = self.answer(exchange, 200, b'{"offset": 4, "end": 5}')
        self.assertEqual(told, Appended("t", 4))

    def test_refused_appends_never_take_effect(self):
        for status in (412, 409, 429, 503, 507):
            exchange = self.call(Append("user", "t", Topic.ACCOUNTS, "k", b"v", 4))
            (told,) = self.answer(exchange, status, b'{"end": 9}')
            self.assertIsInstance(told, AppendFailed)
            self.assertTrue(told.settled, status)

    def test_an_append_without_an_answer_may_take_effect(self):
        exchange = self.call(Append("user", "t", Topic.ACCOUNTS, "k", b"v"))
        self.task.take_failure(ClientRequestFailed(exchange, True, False, "reset"))
        (told,) = [body for channel, body in self.told if channel == "user"]
        self.assertFalse(told.settled)

    def test_a_silent_store_fails_the_call_and_drops_its_connection(self):
        exchange = self.call(Follow("user", Topic.UPSTREAMS, 3, 500))
        for _ in range(10):
            self.now += 0.25
            self.task.on_tick(Tick("sweep", self.now))
        bodies = [body for _, body in self.told]
        self.assertIn(ClientRequestCancel(exchange), bodies)
        self.assertTrue(any(isinstance(body, ReadFailed) for body in bodies))

    def test_an_expired_offset_is_told_with_the_oldest_one(self):
        exchange = self.call(Follow("user", Topic.UPSTREAMS, 3))
        (told,) = self.answer(exchange, 410, b'{"first": 9}')
        self.assertEqual((told.expired, told.first), (True, 9))

    def test_pages_of_newest_records_are_joined(self):
        exchange = self.call(ReadNewest("user", Topic.ACCOUNTS))
        page = (
            b'{"items":[{"key":"a","value":"dg==","offset":1}],"has_more":true,"end":4}'
        )
        self.task.take_start(
            ClientResponseStart(exchange, ResponseHead(200), page, True)
        )
        sends = [body for _, body in self.told if isinstance(body, ClientRequestStart)]
        self.assertIn("after=a", sends[0].head.target)
        last = newest_page("b", 3, more=False, end=9)
        (told,) = self.answer(sends[0].exchange, 200, last)
        self.assertIsInstance(told, NewestRead)
        self.assertEqual([r.key for r in told.records], ["a", "b"])
        self.assertEqual(told.end, 4, "the first page's end loses nothing")

    def test_unreadable_answers_fail_the_call(self):
        for request in (
            Follow("user", Topic.UPSTREAMS, 3),
            ReadNewest("user", Topic.UPSTREAMS),
            Append("user", "t", Topic.ACCOUNTS, "k", b"v"),
        ):
            exchange = self.call(request)
            (told,) = self.answer(exchange, 200, b"\xff?")
            self.assertIsInstance(told, ReadFailed | AppendFailed)

    def test_an_answer_in_parts_is_joined(self):
        exchange = self.call(Follow("user", Topic.UPSTREAMS, 3))
        body = struct.pack(">QQ", 3, 0)
        self.task.take_start(
            ClientResponseStart(exchange, ResponseHead(200), body[:5], False)
        )
        self.task.take_body(ClientResponseBody(exchange, body[5:], True))
        (told,) = [body for channel, body in self.told if channel == "user"]
        self.assertEqual(told, Followed(Topic.UPSTREAMS, 3, 3, 3, ()))

    def test_calls_beyond_the_budget_are_not_made(self):
        made = [self.call(Follow("user", Topic.UPSTREAMS, 3)) for _ in range(60)]
        self.assertLess(sum(one is not None for one in made), 50)


class NamesTests(unittest.TestCase):
    """Only the platform's folder knows the platform's names."""

    NAMES = re.compile(
        r"keyed\.|log-(append|read|newest|join|commit|trim)|path_prefix|"
        r"traffic_split|warmup_left|entry_kind|target_latency|x-request-id|"
        r"X-Deadline|X-Expect|X-Response-Seal|x-not-executed|readyz|as_of|has_more",
        re.IGNORECASE,
    )

    def test_no_other_folder_names_them(self):
        for path in sorted((ROOT / "comfreyusher").rglob("*.py")):
            if "platform" in path.relative_to(ROOT).parts[:-1]:
                continue
            for number, line in enumerate(path.read_text().splitlines(), start=1):
                found = self.NAMES.search(line)
                self.assertIsNone(found, f"{path.name}:{number}: {line}")

    def test_the_requirements_of_the_deploy_file_are_the_projects(self):
        import tomllib

        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        lines = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
        listed = [line for line in lines if line and not line.startswith("#")]
        self.assertEqual(listed, project["dependencies"])
