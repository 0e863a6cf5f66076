"""Commands on one kind of declaration; all kinds get the same ones."""

import getpass
import json

import click

from comfreyusher.cli._apply import apply_directory
from comfreyusher.cli._client import ask, poll
from comfreyusher.cli._errors import CliError, ConflictFound, NotInForce
from comfreyusher.cli._output import (
    describe_declarations,
    describe_history,
    describe_in_force,
    show,
    show_note,
)
from comfreyusher.declarations import parse_declaration
from comfreyusher.documents import parse_text, read_document

SETTLE_TIMEOUT_S = 10.0
QUERY_TIMEOUT_S = 120.0


def declaration_group(kind):
    """Return the command group for a kind of declaration."""

    @click.group(kind, help=f"Publish and read {kind}s.")
    def group():
        pass

    for build in (
        _check_command,
        _publish_command,
        _revise_command,
        _show_command,
        _list_command,
        _history_command,
        _diff_command,
        _apply_command,
    ):
        group.add_command(build(kind))
    return group


def example(text):
    """Return the last part of a command's help."""
    return f"\b\nExample:\n  comfreyusher {text}"


def read_declaration(kind, path):
    """Return the plain body in a file after checking it."""
    text = read_document(path)
    body = parse_text(text, path)
    parse_declaration(kind, body, path, text)
    return body


def publish_body(context, kind, body, based_on, wait_s):
    """Publish a body; return its report once it is settled and in force."""
    asked = {
        "kind": kind,
        "body": body,
        "based_on": based_on,
        "author": getpass.getuser(),
    }
    publish_id = ask(context, "/publications", asked)["publish_id"]

    def read():
        return ask(context, f"/publications/{publish_id}", missing_ok=True)

    report = poll(read, _is_settled, max(SETTLE_TIMEOUT_S, wait_s))
    _raise_unless_settled(kind, body, report, publish_id)
    return poll(read, _is_in_force, wait_s)


def _is_settled(report):
    return report is not None and report["state"] in ("settled", "conflict")


def _is_in_force(report):
    return all(place["confirmed"] == place["nodes"] for place in report["in_force"])


def _raise_unless_settled(kind, body, report, publish_id):
    if report is not None and report["state"] == "conflict":
        raise ConflictFound(f"not published: {report['reason']}")
    if not _is_settled(report):
        state = report["state"] if report else "unknown"
        message = (
            f"{kind} {body['name']} is not settled after {SETTLE_TIMEOUT_S:.0f} s "
            f"(state {state}, publish id {publish_id}); it may still come into force"
        )
        raise NotInForce(message)


def _publish_and_show(context, kind, body, based_on, wait_s):
    report = publish_body(context, kind, body, based_on, wait_s)

    def describe(value):
        yield f"{value['key']} revision {value['revision']}, offset {value['offset']}"
        yield from describe_in_force(value["in_force"])

    show(context, report, describe)
    if not _is_in_force(report):
        raise NotInForce(f"not in force everywhere after {wait_s:g} s")


WAIT = click.option(
    "--wait", "wait_s", default=4.0, show_default=True, help="Seconds to wait."
)


def _check_command(kind):
    @click.command("check", epilog=example(f"{kind} check {kind}.json"))
    @click.argument("file", type=click.Path())
    @click.pass_obj
    def check(context, file):
        """Check a file without publishing it."""
        read_declaration(kind, file)
        show(context, {"valid": True}, lambda _: [f"{file} is valid"])

    return check


def _publish_command(kind):
    @click.command("publish", epilog=example(f"{kind} publish {kind}.json"))
    @click.argument("file", type=click.Path())
    @click.option(
        "--expect-revision",
        type=click.IntRange(0),
        default=0,
        show_default=True,
        help="Revision that must be in force; 0 for a new name.",
    )
    @WAIT
    @click.pass_obj
    def publish(context, file, expect_revision, wait_s):
        """Publish a file on top of a known revision."""
        body = read_declaration(kind, file)
        _publish_and_show(context, kind, body, expect_revision, wait_s)

    return publish


def _revise_command(kind):
    @click.command("revise", epilog=example(f"{kind} revise {kind}.json"))
    @click.argument("file", type=click.Path())
    @WAIT
    @click.pass_obj
    def revise(context, file, wait_s):
        """Publish a file on top of the revision in force now."""
        body = read_declaration(kind, file)
        current = ask(context, f"/declarations/{kind}/{body['name']}")
        _publish_and_show(context, kind, body, current["revision"], wait_s)

    return revise


def _show_command(kind):
    @click.command("show", epilog=example(f"{kind} show NAME"))
    @click.argument("name")
    @click.pass_obj
    def show_one(context, name):
        """Show a declaration in force."""
        report = ask(context, f"/declarations/{kind}/{name}")

        def describe(value):
            yield f"// revision {value['revision']} by {value['author'] or 'unknown'}"
            yield json.dumps(value["body"], indent=2)

        show(context, report, describe)

    return show_one


def _list_command(kind):
    @click.command("list", epilog=example(f"{kind} list"))
    @click.pass_obj
    def list_all(context):
        """List the declarations in force."""
        show(context, ask(context, f"/declarations/{kind}"), describe_declarations)

    return list_all


def _history_command(kind):
    @click.command("history", epilog=example(f"{kind} history NAME"))
    @click.argument("name")
    @click.pass_obj
    def history(context, name):
        """List the publications that the log still holds."""
        lines = run_query(context, "history", f"{kind}/{name}")["lines"]
        show(context, lines, describe_history)

    return history


def _diff_command(kind):
    @click.command("diff", epilog=example(f"{kind} diff a.json b.json"))
    @click.argument("a", type=click.Path())
    @click.argument("b", type=click.Path())
    @click.pass_obj
    def diff(context, a, b):
        """Show the fields in which two files differ, defaults filled in."""
        first = _flatten(read_declaration(kind, a))
        second = _flatten(read_declaration(kind, b))
        changes = {
            path: [first.get(path), second.get(path)]
            for path in sorted(first.keys() | second.keys())
            if first.get(path) != second.get(path)
        }
        show(context, changes, _describe_changes)

    return diff


def _describe_changes(changes):
    for path, (before, after) in changes.items():
        yield f"{path}: {json.dumps(before)} -> {json.dumps(after)}"


def _flatten(value, path=""):
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        return {path: value}
    found = {}
    for name, inner in items:
        found.update(_flatten(inner, f"{path}.{name}" if path else str(name)))
    return found


def _apply_command(kind):
    @click.command("apply", epilog=example(f"{kind} apply {kind}s/"))
    @click.argument("directory", type=click.Path())
    @click.option("--plan", "plan_only", is_flag=True, help="Only show the plan.")
    @WAIT
    @click.pass_obj
    def apply(context, directory, plan_only, wait_s):
        """Bring the fleet to the files of a directory.

        The revisions applied last stand in the directory's own
        .comfreyusher.json; keep it in version control. What another operator
        changed since is reported as a conflict and left alone.
        """

        def publish(body, based_on):
            return publish_body(context, kind, body, based_on, wait_s)

        reports = ask(context, f"/declarations/{kind}")
        plan = apply_directory(
            directory,
            {report["name"]: report for report in reports},
            lambda path: read_declaration(kind, path),
            None if plan_only else publish,
            show_note,
        )
        rows = [{"name": step.name, "action": step.action} for step in plan]
        show(context, rows, lambda _: ())
        conflicts = [step.name for step in plan if step.action == "conflict"]
        if conflicts:
            raise ConflictFound(f"changed by others: {', '.join(conflicts)}")

    return apply


def run_query(context, query_kind, subject):
    """Return the report of a query of the log, waiting for its end."""
    asked = {"kind": query_kind, "subject": subject}
    query_id = ask(context, "/queries", asked)["query_id"]

    def read():
        return ask(context, f"/queries/{query_id}")

    def show_progress(report):
        if report["last"]:
            show_note(f"read {report['offset']} of {report['last']} records")

    report = poll(
        read, lambda r: r["state"] != "running", QUERY_TIMEOUT_S, show_progress
    )
    if report["state"] != "ended":
        hint = "the platform's log may be down; try again later"
        raise CliError(report["error"] or "the query took too long", hint)
    return report
