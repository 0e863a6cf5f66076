"""Errors of the HTTP layer."""

from comfreyusher.errors import ComfreyusherError


class HttpError(ComfreyusherError):
    """A request that must be answered with ``status`` and a closed connection."""

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status
