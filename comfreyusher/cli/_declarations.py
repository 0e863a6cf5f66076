"""Commands for a kind of declaration; all kinds get the same ones."""

import getpass
import json

import click

from comfreyusher.cli._apply import apply_directory
from comfreyusher.cli._client import poll, send_request
from comfreyusher.cli._errors import CliError, ConflictError, NotInForceError
from comfreyusher.cli._output import (
    format_declarations,
    format_history,
    format_in_force,
    print_result,
    print_to_stderr,
)
from comfreyusher.declarations import parse_declaration
from comfreyusher.documents import parse_text, read_document

SETTLE_TIMEOUT_S = 10.0
QUERY_TIMEOUT_S = 120.0


def build_declaration_group(kind):
    """Return the command group for a kind of declaration."""

    @click.group(kind, help=f"Publish and read {kind}s.")
    def group():
        pass

    for build in (
        _build_check_command,
        _build_publish_command,
        _build_revise_command,
        _build_show_command,
        _build_list_command,
        _build_history_command,
        _build_diff_command,
        _build_apply_command,
    ):
        group.add_command(build(kind))
    return group


def format_example(text):
    """Return the example that ends the help of a command."""
    return f"\b\nExample:\n  comfreyusher {text}"


def read_declaration(kind, path):
    """Return the decoded body in a file, after checking it."""
    text = read_document(path)
    body = parse_text(text, path)
    parse_declaration(kind, body, path, text)
    return body


def publish_declaration(context, kind, body, based_on, wait_s):
    """Publish a declaration, and return the report of its publication.

    Returns once the declaration is in force on all nodes, or after ``wait_s``
    seconds. Raises ``ConflictError`` if another revision came first, and
    ``NotInForceError`` if the publication is not settled in time.
    """
    publication = {
        "kind": kind,
        "body": body,
        "based_on": based_on,
        "author": getpass.getuser(),
    }
    publish_id = send_request(context, "/publications", publication)["publish_id"]

    def fetch():
        return send_request(context, f"/publications/{publish_id}", missing_ok=True)

    report = poll(fetch, _is_settled, max(SETTLE_TIMEOUT_S, wait_s))
    _raise_unless_settled(kind, body, report, publish_id)
    return poll(fetch, _is_in_force, wait_s)


def _is_settled(report):
    return report is not None and report["state"] in ("settled", "conflict")


def _is_in_force(report):
    return all(count["confirmed"] == count["nodes"] for count in report["in_force"])


def _raise_unless_settled(kind, body, report, publish_id):
    if report is not None and report["state"] == "conflict":
        raise ConflictError(f"not published: {report['reason']}")
    if not _is_settled(report):
        state = report["state"] if report else "unknown"
        message = (
            f"{kind} {body['name']} is not settled after {SETTLE_TIMEOUT_S:.0f} s "
            f"(state {state}, publish id {publish_id}); it may still come into force"
        )
        raise NotInForceError(message)


def _publish_and_print(context, kind, body, based_on, wait_s):
    report = publish_declaration(context, kind, body, based_on, wait_s)

    def format_lines(value):
        yield f"{value['key']} revision {value['revision']}, offset {value['offset']}"
        yield from format_in_force(value["in_force"])

    print_result(context, report, format_lines)
    if not _is_in_force(report):
        raise NotInForceError(f"not in force everywhere after {wait_s:g} s")


WAIT_OPTION = click.option(
    "--wait", "wait_s", default=4.0, show_default=True, help="Seconds to wait."
)


def _build_check_command(kind):
    @click.command("check", epilog=format_example(f"{kind} check {kind}.json"))
    @click.argument("file", type=click.Path())
    @click.pass_obj
    def check(context, file):
        """Check a file without publishing it."""
        read_declaration(kind, file)
        print_result(context, {"valid": True}, lambda _: [f"{file} is valid"])

    return check


def _build_publish_command(kind):
    @click.command("publish", epilog=format_example(f"{kind} publish {kind}.json"))
    @click.argument("file", type=click.Path())
    @click.option(
        "--expect-revision",
        type=click.IntRange(0),
        default=0,
        show_default=True,
        help="Revision that must be in force; 0 for a new name.",
    )
    @WAIT_OPTION
    @click.pass_obj
    def publish(context, file, expect_revision, wait_s):
        """Publish a file on top of a known revision."""
        body = read_declaration(kind, file)
        _publish_and_print(context, kind, body, expect_revision, wait_s)

    return publish


def _build_revise_command(kind):
    @click.command("revise", epilog=format_example(f"{kind} revise {kind}.json"))
    @click.argument("file", type=click.Path())
    @WAIT_OPTION
    @click.pass_obj
    def revise(context, file, wait_s):
        """Publish a file on top of the revision in force now."""
        body = read_declaration(kind, file)
        current = send_request(context, f"/declarations/{kind}/{body['name']}")
        _publish_and_print(context, kind, body, current["revision"], wait_s)

    return revise


def _build_show_command(kind):
    @click.command("show", epilog=format_example(f"{kind} show NAME"))
    @click.argument("name")
    @click.pass_obj
    def show_one(context, name):
        """Show a declaration in force."""
        report = send_request(context, f"/declarations/{kind}/{name}")

        def format_lines(value):
            yield f"// revision {value['revision']} by {value['author'] or 'unknown'}"
            yield json.dumps(value["body"], indent=2)

        print_result(context, report, format_lines)

    return show_one


def _build_list_command(kind):
    @click.command("list", epilog=format_example(f"{kind} list"))
    @click.pass_obj
    def list_all(context):
        """List the declarations in force."""
        print_result(
            context, send_request(context, f"/declarations/{kind}"), format_declarations
        )

    return list_all


def _build_history_command(kind):
    @click.command("history", epilog=format_example(f"{kind} history NAME"))
    @click.argument("name")
    @click.pass_obj
    def history(context, name):
        """List the publications that the log still holds."""
        lines = run_query(context, "history", f"{kind}/{name}")["lines"]
        print_result(context, lines, format_history)

    return history


def _build_diff_command(kind):
    @click.command("diff", epilog=format_example(f"{kind} diff a.json b.json"))
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
        print_result(context, changes, _format_changes)

    return diff


def _format_changes(changes):
    for path, (before, after) in changes.items():
        yield f"{path}: {json.dumps(before)} -> {json.dumps(after)}"


def _flatten(value, path=""):
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        return {path: value}
    fields = {}
    for name, inner in items:
        fields.update(_flatten(inner, f"{path}.{name}" if path else str(name)))
    return fields


def _build_apply_command(kind):
    @click.command("apply", epilog=format_example(f"{kind} apply {kind}s/"))
    @click.argument("directory", type=click.Path())
    @click.option("--plan", "plan_only", is_flag=True, help="Only show the plan.")
    @WAIT_OPTION
    @click.pass_obj
    def apply(context, directory, plan_only, wait_s):
        """Apply the declarations in a directory to the fleet.

        The revisions that were applied last are stored in .comfreyusher.json in
        the directory; keep this file in version control. A declaration that
        another operator has changed since is reported as a conflict and left
        unchanged.
        """

        def publish(body, based_on):
            return publish_declaration(context, kind, body, based_on, wait_s)

        reports = send_request(context, f"/declarations/{kind}")
        plan = apply_directory(
            directory,
            {report["name"]: report for report in reports},
            lambda path: read_declaration(kind, path),
            None if plan_only else publish,
            print_to_stderr,
        )
        rows = [{"name": step.name, "action": step.action} for step in plan]
        print_result(context, rows, lambda _: ())
        conflicts = [step.name for step in plan if step.action == "conflict"]
        if conflicts:
            raise ConflictError(f"changed by others: {', '.join(conflicts)}")

    return apply


def run_query(context, query_kind, subject):
    """Run a query of the log, wait for its end and return its report.

    Raises ``CliError`` if the query fails or takes too long.
    """
    query = {"kind": query_kind, "subject": subject}
    query_id = send_request(context, "/queries", query)["query_id"]

    def fetch():
        return send_request(context, f"/queries/{query_id}")

    def show_progress(report):
        if report["last"]:
            print_to_stderr(f"read {report['offset']} of {report['last']} records")

    report = poll(
        fetch, lambda r: r["state"] != "running", QUERY_TIMEOUT_S, show_progress
    )
    if report["state"] != "ended":
        hint = "the platform's log may be down; try again later"
        raise CliError(report["error"] or "the query took too long", hint)
    return report


profile = build_declaration_group("profile")
service = build_declaration_group("service")
customer = build_declaration_group("customer")
