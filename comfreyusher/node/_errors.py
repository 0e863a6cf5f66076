"""Errors at the start of a node."""

from comfreyusher.errors import ComfreyusherError


class ListenError(ComfreyusherError):
    """The node cannot listen on an address, or cannot load its certificate."""

    hint = "check that no other process listens there, and the settings file"
