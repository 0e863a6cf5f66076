"""Main function of the program, from its arguments to its exit status."""

import click

from comfreyusher.cli import commands
from comfreyusher.context import Context, show_errors
from comfreyusher.documents import DocumentError
from comfreyusher.errors import ComfreyusherError
from comfreyusher.status import ExitStatus


def main(arguments=None):
    """Run a command and return its exit status; never raise."""
    context = Context()
    try:
        result = commands.main(
            args=arguments,
            prog_name="comfreyusher",
            standalone_mode=False,
            obj=context,
        )
    except click.exceptions.Exit as exit_exception:
        return exit_exception.exit_code
    except click.Abort:
        click.echo("comfreyusher: interrupted", err=True)
        return ExitStatus.INTERRUPTED
    except click.ClickException as error:
        error.show()
        return ExitStatus.USAGE
    except DocumentError as error_group:
        show_errors(error_group.exceptions)
        return context.document_error_status
    except ComfreyusherError as error:
        show_errors([error])
        return getattr(error, "status", ExitStatus.ERROR)
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    return result if isinstance(result, int) else ExitStatus.SUCCESS
