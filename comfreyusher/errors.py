"""Base class of all errors of the project."""


class ComfreyusherError(Exception):
    """Base class from which each layer derives its own errors.

    The command line prints such an error as one line, followed by its ``hint``
    if there is one.
    """

    hint = ""

    def __init__(self, message, hint=""):
        super().__init__(message)
        self.hint = hint or self.hint
