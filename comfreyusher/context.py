"""State that the commands of one invocation share, and how errors are shown."""

import click

from comfreyusher.status import ExitStatus


class Context:
    """State of one invocation of the command line.

    ``document_error_status`` is the exit status if a document is invalid.
    """

    def __init__(self):
        self.operators = ""
        self.key_file = ""
        self.as_json = False
        self.document_error_status = ExitStatus.INVALID_DECLARATION


def show_errors(errors):
    """Print each error on a line of its own, followed by its hint if any."""
    for error in errors:
        click.secho(f"comfreyusher: {error}", fg="red", err=True)
        hint = getattr(error, "hint", "")
        if hint:
            click.echo(f"  hint: {hint}", err=True)
