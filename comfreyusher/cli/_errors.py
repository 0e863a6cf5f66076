"""Errors of the command line, and their exit statuses."""

from comfreyusher.errors import ComfreyusherError
from comfreyusher.status import ExitStatus


class CliError(ComfreyusherError):
    """An error with an exit status."""

    status = ExitStatus.ERROR


class UnreachableError(CliError):
    """The operators' address does not respond."""

    status = ExitStatus.UNREACHABLE
    hint = "check --operators and whether the node is running; any node will do"


class RequestRefusedError(CliError):
    """The node refused the request."""

    status = ExitStatus.REFUSED


class ConflictError(CliError):
    """Another operator published first."""

    status = ExitStatus.CONFLICT
    hint = "see 'history NAME', then use 'revise' on top of the newest revision"


class NotInForceError(CliError):
    """A publication did not come into force on all nodes in time."""

    status = ExitStatus.NOT_IN_FORCE
    hint = "the log or a data centre may be cut off; see 'comfreyusher status'"


class IncompleteAccountError(CliError):
    """An exported account has gaps; the output lists them."""

    status = ExitStatus.INCOMPLETE_ACCOUNT
