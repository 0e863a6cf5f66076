"""Idempotency keys.

A key carries its time, so that a key older than the window can be refused
instead of being forgotten. A caller's own key is a UUID of version 7. A key
that a node gave out names the node incarnation that alone may run it.
"""

import dataclasses
import enum
import uuid

import uuid6

from comfreyusher.errors import ComfreyusherError

SEPARATOR = "~"
MAX_KEY_CHARACTERS = 200
TIME_SHIFT_BITS = 80
CLOCK_SKEW_MS = 60000
UUID_VERSION = 7


class KeyKind(str, enum.Enum):
    """Who chose a key."""

    CALLER = "caller"
    FLEET = "fleet"


class KeyRefused(ComfreyusherError):
    """A key that cannot be used; ``too_old`` tells why."""

    def __init__(self, message, too_old=False):
        super().__init__(message)
        self.too_old = too_old


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A key; ``holder`` is the node incarnation that a fleet key names."""

    kind: KeyKind
    text: str
    made_ms: int
    holder: str = ""


def mint_key(node):
    """Return the text of a new key that only this node incarnation runs."""
    return f"{node}{SEPARATOR}{uuid6.uuid7()}"


def parse_key(text, now_ms, window_ms):
    """Return the key in a header value, or raise ``KeyRefused``."""
    if len(text) > MAX_KEY_CHARACTERS:
        raise KeyRefused("the idempotency key is too long")
    holder, separator, rest = text.rpartition(SEPARATOR)
    if separator and not holder:
        raise KeyRefused("the idempotency key names no node")
    made_ms = _time_of(rest)
    if made_ms > now_ms + CLOCK_SKEW_MS:
        raise KeyRefused("the idempotency key lies in the future")
    if made_ms < now_ms - window_ms:
        raise KeyRefused("the idempotency key is too old", too_old=True)
    kind = KeyKind.FLEET if separator else KeyKind.CALLER
    return Key(kind, text, made_ms, holder)


def _time_of(text):
    try:
        value = uuid.UUID(text)
    except ValueError as error:
        raise KeyRefused("the idempotency key is no UUID of version 7") from error
    if value.version != UUID_VERSION:
        raise KeyRefused("the idempotency key is no UUID of version 7")
    return value.int >> TIME_SHIFT_BITS
