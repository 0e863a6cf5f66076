"""Greeting of peers: a challenge, and a proof of the shared key.

The accepting side sends a challenge with a nonce. The connecting side answers
with its node id, its proof and a nonce of its own inside the hello; the
accepting side closes the connection if no configured key gives that proof.
"""

import dataclasses
import hashlib
import hmac
import secrets

NONCE_BYTES = 16
TAG_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """First message of the accepting side."""

    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Node id of the sender, and the proof that it knows a key."""

    node: str
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a reply, to tell a silent peer from a lost one."""

    reply: bool


def new_nonce():
    """Return bytes that no earlier challenge held."""
    return secrets.token_bytes(NONCE_BYTES)


def prove(key, nonce, node):
    """Return the proof of a key for a nonce and a node id."""
    return hmac.new(key, nonce + node.encode(), hashlib.sha256).digest()


def is_proven(keys, nonce, hello):
    """Tell whether a hello was made with one of the keys."""
    return any(
        hmac.compare_digest(prove(key, nonce, hello.node), hello.proof) for key in keys
    )


def tag_datagram(key, data):
    """Return a datagram with its authentication tag in front."""
    tag = hmac.new(key, data, hashlib.sha256).digest()[:TAG_BYTES]
    return tag + data


def open_datagram(keys, data):
    """Return the payload of an authentic datagram, or ``None``."""
    tag, payload = data[:TAG_BYTES], data[TAG_BYTES:]
    for key in keys:
        expected = hmac.new(key, payload, hashlib.sha256).digest()[:TAG_BYTES]
        if hmac.compare_digest(expected, tag):
            return payload
    return None
