"""Base class of all errors; each layer derives its own errors from it."""


class ComfreyusherError(Exception):
    """An error that the command line shows as one line and a hint."""

    hint = ""

    def __init__(self, message, hint=""):
        super().__init__(message)
        self.hint = hint or self.hint
