"""The commands of operators that are not about one kind of declaration."""

import json

import click
from click.shell_completion import get_completion_class

from comfreyusher.cli._client import send_request
from comfreyusher.cli._declarations import (
    format_example,
    run_query,
)
from comfreyusher.cli._errors import CliError, IncompleteAccountError
from comfreyusher.cli._output import format_status, print_result, print_to_stderr
from comfreyusher.declarations import digest_key
from comfreyusher.settings import EXAMPLE, SecretRef, load_settings, read_secret
from comfreyusher.status import ExitStatus

SHELLS = ("bash", "zsh", "fish")


@click.command(epilog=format_example("status"))
@click.pass_obj
def status(context):
    """Show a node, its fleet and the groups that it owns."""
    print_result(context, send_request(context, "/status"), format_status)


@click.command(epilog=format_example("metrics"))
@click.pass_obj
def metrics(context):
    """Print a node's metrics as OTLP JSON."""
    click.echo(json.dumps(send_request(context, "/metrics")))


@click.command(epilog=format_example("trace 4bf92f3577b34da6a3ce929d0e0e4736"))
@click.argument("trace_id")
@click.pass_obj
def trace(context, trace_id):
    """Show the spans of a trace that a node keeps."""
    spans = send_request(context, f"/traces/{trace_id}")
    print_result(context, spans, format_spans)


def format_spans(spans):
    """Yield a line for each span."""
    for span in spans:
        attributes = " ".join(f"{k}={v}" for k, v in span["attributes"].items())
        yield (
            f"{span['name']:9} {span['duration_ms']:8.2f} ms  {span['node']}  "
            f"{attributes}"
        )


@click.group()
def account():
    """Read customers' accounts."""


@account.command(
    "export", epilog=format_example("account export bakery > bakery.jsonl")
)
@click.argument("customer")
@click.pass_obj
def export_account(context, customer):
    """Print every request of a customer as JSON lines, in order.

    Gaps come last, each as a line with the node incarnation and the range.
    """
    report = run_query(context, "account", customer)
    for line in report["lines"]:
        click.echo(json.dumps(line if "number" in line else {"gap": line}))
    gaps = sum(1 for line in report["lines"] if "number" not in line)
    print_to_stderr(f"{len(report['lines']) - gaps} requests, {gaps} gaps")
    if gaps:
        hint = "a gap's requests may belong to any customer; see docs/OPERATORS.md"
        raise IncompleteAccountError(f"the account has {gaps} possible gaps", hint)


@click.group()
def key():
    """Handle customers' keys."""


@key.command("digest", epilog=format_example("key digest --file bakery.key"))
@click.option("--file", "path", default="", help="File with the key.")
@click.option("--environment", default="", help="Environment variable with it.")
@click.pass_obj
def digest(context, path, environment):
    """Print the digest of a key, to be declared for a customer."""
    ref = SecretRef(path, environment)
    if any(ref.check()):
        raise CliError("name either --file or --environment")
    value = digest_key(read_secret(ref).decode())
    print_result(context, {"digest": value}, lambda _: [value])


@click.group("settings")
def settings_group():
    """Check settings files."""


@settings_group.command("check", epilog=format_example("settings check node.json"))
@click.argument("file", type=click.Path())
@click.pass_obj
def check_settings(context, file):
    """Check a settings file without starting anything."""
    context.document_error_status = ExitStatus.INVALID_SETTINGS
    load_settings(file)
    print_result(context, {"valid": True}, lambda _: [f"{file} is valid"])


@settings_group.command(
    "example", epilog=format_example("settings example > node.json")
)
def settings_example():
    """Print an example of a settings file."""
    click.echo(EXAMPLE, nl=False)


@click.command(epilog=format_example("completion bash >> ~/.bashrc"))
@click.argument("shell", type=click.Choice(SHELLS))
def completion(shell):
    """Print the completion script of a shell."""
    completion_class = get_completion_class(shell)
    root = click.get_current_context().find_root().command
    script = completion_class(root, {}, "comfreyusher", "_COMFREYUSHER_COMPLETE")
    click.echo(script.source())
