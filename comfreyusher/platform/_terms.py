"""What the terms of a deployment ask of this fleet."""

import dataclasses

CONNECTIONS_TERM = "pool"


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """Features that the terms call for.

    ``reuses_connections`` tells that new connections to upstreams are to be saved.
    """

    reuses_connections: bool = False


def decode_terms(names):
    """Return the ``Terms`` in the names that the platform gives; others are ignored."""
    return Terms(CONNECTIONS_TERM in names)
