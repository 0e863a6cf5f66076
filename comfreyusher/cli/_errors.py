"""Errors of the command line, each with its exit status."""

from comfreyusher.errors import ComfreyusherError
from comfreyusher.status import ExitStatus


class CliError(ComfreyusherError):
    """An error with an exit status."""

    status = ExitStatus.ERROR


class Unreachable(CliError):
    """The operators' address does not answer."""

    status = ExitStatus.UNREACHABLE
    hint = "check --operators, and that the node runs; any node will do"


class Refused(CliError):
    """The node refused the request."""

    status = ExitStatus.REFUSED


class ConflictFound(CliError):
    """Another operator published first."""

    status = ExitStatus.CONFLICT
    hint = "look at 'history NAME', then revise the newest revision"


class NotInForce(CliError):
    """A publication is not in force everywhere in time."""

    status = ExitStatus.NOT_IN_FORCE
    hint = "the log or a data centre may be cut off; see 'comfreyusher status'"


class IncompleteAccount(CliError):
    """An account has gaps; they are named in the output."""

    status = ExitStatus.INCOMPLETE_ACCOUNT
