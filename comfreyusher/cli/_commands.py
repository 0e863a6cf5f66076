"""The root command group. The modules of its commands are loaded when needed.

A node would otherwise load at its start what only operators' commands use.
"""

import click

from comfreyusher import __version__
from comfreyusher.cli._lazy_group import build_lazy_group_class

DEFAULT_OPERATORS = "http://127.0.0.1:8081"
DECLARATIONS = "comfreyusher.cli._declarations"
OPERATORS = "comfreyusher.cli._operator_commands"
COMMAND_PATHS = {
    "account": (OPERATORS, "account"),
    "completion": (OPERATORS, "completion"),
    "customer": (DECLARATIONS, "customer"),
    "key": (OPERATORS, "key"),
    "metrics": (OPERATORS, "metrics"),
    "profile": (DECLARATIONS, "profile"),
    "serve": ("comfreyusher.cli._serve", "serve"),
    "service": (DECLARATIONS, "service"),
    "settings": (OPERATORS, "settings_group"),
    "status": (OPERATORS, "status"),
    "trace": (OPERATORS, "trace"),
}


@click.group(
    cls=build_lazy_group_class(COMMAND_PATHS),
    context_settings={"help_option_names": ["-h", "--help"]},
)
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


__all__ = ["commands"]
