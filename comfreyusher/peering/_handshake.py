"""Authentication of connections and datagrams between nodes by a shared key.

The accepting side of a connection sends a challenge with a nonce. The connecting
side responds with a hello, which holds its node id and its proof. The accepting
side closes the connection if no configured key gives that proof.
"""

import dataclasses
import hashlib
import hmac
import secrets

NONCE_BYTES = 16
TAG_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """The first message of the accepting side."""

    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """The node id of the connecting side, and the proof that it knows a key."""

    node: str
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """A liveness check of a silent connection, or the reply to one."""

    reply_requested: bool


def new_nonce():
    """Return random bytes that no earlier challenge held."""
    return secrets.token_bytes(NONCE_BYTES)


def compute_proof(key, nonce, node):
    """Return the HMAC-SHA256 of a nonce and a node id under a key."""
    return hmac.new(key, nonce + node.encode(), hashlib.sha256).digest()


def verify_proof(keys, nonce, hello):
    """Tell whether the proof of a hello was made with one of the keys."""
    return any(
        hmac.compare_digest(compute_proof(key, nonce, hello.node), hello.proof)
        for key in keys
    )


def tag_datagram(key, data):
    """Return a datagram: an authentication tag, then the data."""
    tag = hmac.new(key, data, hashlib.sha256).digest()[:TAG_BYTES]
    return tag + data


def verify_datagram(keys, data):
    """Return the payload of a datagram, or ``None`` if no key gives its tag."""
    tag, payload = data[:TAG_BYTES], data[TAG_BYTES:]
    for key in keys:
        expected = hmac.new(key, payload, hashlib.sha256).digest()[:TAG_BYTES]
        if hmac.compare_digest(expected, tag):
            return payload
    return None
