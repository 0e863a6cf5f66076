"""Errors of the HTTP layer."""

from comfreyusher.errors import ComfreyusherError


class HttpError(ComfreyusherError):
    """A malformed or unsupported HTTP message.

    A server responds with ``status`` and closes the connection; a client fails the
    request.
    """

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status
