"""Errors of starting a node."""

from comfreyusher.errors import ComfreyusherError


class ListenError(ComfreyusherError):
    """An address that the node cannot listen on."""

    hint = "check that no other process listens there, and the settings file"
