"""Errors of the platform's documents and responses."""

from comfreyusher.errors import ComfreyusherError


class DecodeError(ComfreyusherError):
    """A document or a response of the platform is malformed or has bad values."""
