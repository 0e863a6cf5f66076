"""Tests of the command line and of the files that people write for it."""

import contextlib
import io
import json
import os
import pathlib
import socket
import tempfile
import unittest
from unittest import mock

import click

from comfreyusher import core
from comfreyusher.cli import commands
from comfreyusher.cli._apply import apply_directory
from comfreyusher.cli._errors import CliError
from comfreyusher.documents import DocumentError
from comfreyusher.settings import (
    EXAMPLE,
    SecretError,
    SecretKeys,
    SecretRef,
    load_settings,
)
from comfreyusher.status import ExitStatus
from extras import document_settings

KEY = {"COMFREYUSHER_OPERATOR_KEY": "operator-key-000000001"}
UNREACHABLE_NODE = ("--operators", "http://127.0.0.1:9")
PROFILE = '{"name": "a" /* comment */, "max_wait_ms": 5}'


class CommandResult:
    """Exit status and output of a command."""

    def __init__(self, status, out, err):
        self.status = status
        self.out = out
        self.err = err


def run(*arguments, environment=KEY):
    """Run a command in this process."""
    out, err = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
        mock.patch.dict(os.environ, environment),
    ):
        status = core.main(list(arguments))
    return CommandResult(status, out.getvalue(), err.getvalue())


def list_commands(group, path=()):
    """Yield the path and the command of each command that is not a group."""
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from list_commands(command, (*path, name))
        else:
            yield (*path, name), command


class FolderTestCase(unittest.TestCase):
    """A test case with a temporary folder."""

    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name)

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)


class HelpTests(unittest.TestCase):
    def test_every_command_has_help_with_an_example(self):
        for path, _ in list_commands(commands):
            with self.subTest(path):
                result = run(*path, "--help")
                self.assertEqual(result.status, ExitStatus.SUCCESS)
                self.assertIn("Example:", result.out)

    def test_version_and_completion_scripts_are_printed(self):
        self.assertIn("0.1.0", run("--version").out)
        for shell in ("bash", "zsh", "fish"):
            self.assertIn("comfreyusher", run("completion", shell).out)

    def test_unknown_commands_and_arguments_are_usage_errors(self):
        for arguments in (["brew"], ["profile"], ["serve"], ["completion", "csh"]):
            with self.subTest(arguments):
                result = run(*arguments)
                self.assertEqual(result.status, ExitStatus.USAGE)
                self.assertNotIn("Traceback", result.err + result.out)


class UnreachableNodeTests(FolderTestCase):
    def test_commands_without_a_node_report_it_in_one_line(self):
        file = self.write("a.json", PROFILE)
        calls = {
            "status": (),
            "metrics": (),
            "trace": ("0" * 32,),
            "account export": ("bakery",),
            "profile publish": (file,),
            "profile revise": (file,),
            "profile show": ("a",),
            "profile list": (),
            "profile history": ("a",),
            "profile apply": (str(self.folder),),
        }
        for command, arguments in calls.items():
            with self.subTest(command):
                result = run(*UNREACHABLE_NODE, *command.split(), *arguments)
                self.assertEqual(result.status, ExitStatus.UNREACHABLE)
                self.assertEqual(result.err.count("comfreyusher:"), 1)
                self.assertIn("hint:", result.err)

    def test_missing_operator_key_is_reported(self):
        result = run(*UNREACHABLE_NODE, "status", environment={KEY_NAME: ""})
        self.assertEqual(result.status, ExitStatus.ERROR)
        self.assertIn(KEY_NAME, result.err)


KEY_NAME = "COMFREYUSHER_OPERATOR_KEY"
PEER_KEY_NAME = "COMFREYUSHER_PEER_KEY"


class FileTests(FolderTestCase):
    def test_valid_profile_passes_the_check_and_diff_lists_changes(self):
        first = self.write("a.json", PROFILE)
        second = self.write("b.json", PROFILE.replace("5", "6"))
        self.assertEqual(run("profile", "check", first).status, ExitStatus.SUCCESS)
        result = run("--json", "profile", "diff", first, second)
        self.assertEqual(json.loads(result.out), {"max_wait_ms": [5, 6]})

    def test_invalid_files_are_reported_with_line_and_field(self):
        broken = self.write("broken.json", '{\n "name": \n}')
        wrong = self.write("wrong.json", '{\n "name": "a",\n "max_wait_ms": -1\n}')
        binary = self.folder / "binary.json"
        binary.write_bytes(b"\xff\xfe")
        missing = str(self.folder / "none.json")
        expected = {
            broken: "broken.json:",
            wrong: "wrong.json:3: max_wait_ms",
            str(binary): "UTF-8",
            missing: "cannot be read",
        }
        for path, part in expected.items():
            with self.subTest(path):
                result = run("profile", "check", path)
                self.assertEqual(result.status, ExitStatus.INVALID_DECLARATION)
                self.assertIn(part, result.err)
                self.assertNotIn("Traceback", result.err)

    def test_all_faults_of_settings_are_reported_and_nothing_starts(self):
        text = EXAMPLE.replace('"name": "vm-1"', '"name": "VM 1"')
        text = text.replace("127.0.0.1:8080", "127.0.0.1:99999")
        text = text.replace("127.0.0.1:9000", "store:9000")
        text = text.replace('"seeds": [', '"upstream_drain": "soon", "seeds": [')
        text = text.replace('"sampling_ratio": 0.01', '"sampling_ratio": 2, "x": 1')
        path = self.write("node.json", text)
        for arguments in (("settings", "check", path), ("serve", "--settings", path)):
            result = run(*arguments)
            self.assertEqual(result.status, ExitStatus.INVALID_SETTINGS)
            for field in (
                "node.name",
                "callers.address",
                "platform.address",
                "fleet.upstream_drain",
                "ratio",
                "x",
            ):
                self.assertIn(field, result.err)
            self.assertEqual(result.out, "")

    def test_tls_is_off_only_if_set_explicitly(self):
        text = EXAMPLE.replace('"tls": {"mode": "off"}', '"idle_timeout_s": 9.0', 1)
        path = self.write("node.json", text)
        with self.assertRaises(DocumentError) as raised:
            load_settings(path)
        self.assertIn("callers.tls.certificate_file", str(raised.exception.exceptions))

    def test_ports_in_use_are_reported_in_one_line(self):
        keys = dict.fromkeys((PEER_KEY_NAME, KEY_NAME), "a-secret-of-the-fleet")
        for address in ("127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082"):
            with socket.socket() as occupied:
                occupied.bind(("127.0.0.1", 0))
                occupied.listen()
                port = occupied.getsockname()[1]
                text = EXAMPLE.replace(address, f"127.0.0.1:{port}")
                for number in ("8080", "8081", "8082", "8083"):
                    text = text.replace(f"127.0.0.1:{number}", "127.0.0.1:0")
                for number in ("7000", "7001"):
                    text = text.replace(f'port": {number}', 'port": 0')
                path = self.write("node.json", text)
                result = run("serve", "--settings", path, environment=keys)
            with self.subTest(address):
                self.assertEqual(result.status, ExitStatus.ERROR)
                self.assertIn(f"cannot listen on 127.0.0.1:{port}", result.err)
                self.assertIn("hint:", result.err)

    def test_example_is_valid(self):
        path = self.write("node.json", run("settings", "example").out)
        self.assertEqual(run("settings", "check", path).status, ExitStatus.SUCCESS)

    def test_settings_page_matches_the_code(self):
        self.assertEqual(document_settings.PAGE.read_text(), document_settings.render())

    def test_key_digest_needs_one_source(self):
        path = self.write("key", "a-key-of-a-customer\n")
        result = run("key", "digest", "--file", path)
        self.assertEqual(len(result.out.strip()), 64)
        self.assertEqual(run("key", "digest").status, ExitStatus.ERROR)


class SecretTests(FolderTestCase):
    def test_rotation_loads_new_keys_and_keeps_them_if_the_file_breaks(self):
        path = self.write("key", "first-key-0000000001")
        keys = SecretKeys((SecretRef(path),))
        self.write("key", "second-key-000000002")
        self.assertIsNone(keys.refresh())
        self.assertEqual(keys(), [b"second-key-000000002"])
        self.write("key", "short")
        self.assertIsInstance(keys.refresh(), SecretError)
        self.assertEqual(keys(), [b"second-key-000000002"])


class ApplyTests(FolderTestCase):
    def setUp(self):
        super().setUp()
        self.fleet = {}
        self.write("a.json", PROFILE)

    def publish(self, body, based_on):
        report = {"name": body["name"], "body": body, "revision": based_on + 1}
        self.fleet[body["name"]] = report
        return report

    def apply(self):
        def read(path):
            return {"name": "a", "text": pathlib.Path(path).read_text()}

        plan = apply_directory(
            self.folder, self.fleet, read, self.publish, lambda line: None
        )
        return [step.action for step in plan]

    def test_apply_creates_then_changes_nothing_then_revises(self):
        self.assertEqual(self.apply(), ["create"])
        self.assertEqual(self.apply(), ["unchanged"])
        self.write("a.json", PROFILE.replace("5", "7"))
        self.assertEqual(self.apply(), ["revise"])
        self.assertEqual(self.fleet["a"]["revision"], 2)

    def test_change_by_another_operator_is_a_conflict(self):
        self.apply()
        self.publish({"name": "a", "text": "other"}, 1)
        self.assertEqual(self.apply(), ["conflict"])
        self.assertEqual(self.fleet["a"]["body"]["text"], "other")

    def test_invalid_folders_are_reported(self):
        with self.assertRaises(CliError):
            apply_directory(self.folder / "none", {}, None, None, None)
        self.write(".comfreyusher.json", "[]")
        with self.assertRaises(CliError):
            self.apply()
