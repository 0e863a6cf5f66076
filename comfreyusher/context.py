"""What a command needs from its surroundings."""

import click

from comfreyusher.status import ExitStatus


class Context:
    """State of one run of the command line."""

    def __init__(self):
        self.operators = ""
        self.key_file = ""
        self.as_json = False
        self.document_status = ExitStatus.INVALID_DECLARATION


def show_errors(errors):
    """Print one line an error, and its hint."""
    for error in errors:
        click.secho(f"comfreyusher: {error}", fg="red", err=True)
        hint = getattr(error, "hint", "")
        if hint:
            click.echo(f"  hint: {hint}", err=True)
