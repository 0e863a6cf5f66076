"""Exit statuses of the command line."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a command, documented in docs/OPERATORS.md."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    INVALID_SETTINGS = 3
    INVALID_DECLARATION = 4
    CONFLICT = 5
    UNREACHABLE = 6
    NOT_IN_FORCE = 7
    INCOMPLETE_ACCOUNT = 8
    REFUSED = 9
    INTERRUPTED = 130
