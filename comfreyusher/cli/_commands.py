"""The root command group and the commands that are not about one kind."""

import json

import click
from click.shell_completion import get_completion_class

from comfreyusher import __version__
from comfreyusher.cli._client import send_request
from comfreyusher.cli._declarations import (
    build_declaration_group,
    format_example,
    run_query,
)
from comfreyusher.cli._errors import CliError, IncompleteAccountError
from comfreyusher.cli._output import format_status, print_result, print_to_stderr
from comfreyusher.cli._serve import serve
from comfreyusher.declarations import digest_key
from comfreyusher.settings import EXAMPLE, SecretRef, load_settings, read_secret
from comfreyusher.status import ExitStatus

DEFAULT_OPERATORS = "http://127.0.0.1:8081"
SHELLS = ("bash", "zsh", "fish")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="comfreyusher")
@click.option(
    "--operators",
    envvar="COMFREYUSHER_OPERATORS",
    default=DEFAULT_OPERATORS,
    show_default=True,
    help="Operators' address of any node.",
)
@click.option(
    "--key-file",
    envvar="COMFREYUSHER_OPERATOR_KEY_FILE",
    default="",
    help="File with the operator's key; else COMFREYUSHER_OPERATOR_KEY.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_obj
def commands(context, operators, key_file, as_json):
    """A proxy fleet for upstreams that fail grayly."""
    context.operators = operators
    context.key_file = key_file
    context.as_json = as_json


@commands.command(epilog=format_example("status"))
@click.pass_obj
def status(context):
    """Show a node, its fleet and the groups that it owns."""
    print_result(context, send_request(context, "/status"), format_status)


@commands.command(epilog=format_example("metrics"))
@click.pass_obj
def metrics(context):
    """Print a node's metrics as OTLP JSON."""
    click.echo(json.dumps(send_request(context, "/metrics")))


@commands.command(epilog=format_example("trace 4bf92f3577b34da6a3ce929d0e0e4736"))
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


@commands.group()
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


@commands.group()
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


@commands.group("settings")
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


@commands.command(epilog=format_example("completion bash >> ~/.bashrc"))
@click.argument("shell", type=click.Choice(SHELLS))
def completion(shell):
    """Print the completion script of a shell."""
    completion_class = get_completion_class(shell)
    script = completion_class(commands, {}, "comfreyusher", "_COMFREYUSHER_COMPLETE")
    click.echo(script.source())


for kind in ("profile", "service", "customer"):
    commands.add_command(build_declaration_group(kind))
commands.add_command(serve)

__all__ = ["commands"]
