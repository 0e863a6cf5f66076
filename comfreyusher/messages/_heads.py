"""Heads of HTTP requests and responses.

``headers`` is a tuple of ``(name, value)`` byte pairs in wire order, as the
HTTP libraries give them. Names keep the letter case of their sender.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and headers; ``target`` is exactly as the caller sent it."""

    method: str
    target: str
    headers: tuple = ()
    version: str = "1.1"


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status line and headers."""

    status: int
    headers: tuple = ()
    reason: str = ""


def find_header(head, name):
    """Return the first value of a header as text, or ``None``.

    ``name`` is lower-case bytes.
    """
    for header, value in head.headers:
        if header.lower() == name:
            return value.decode("latin-1").strip()
    return None
