"""Messages between nodes about upstreams that are leaving by their own word.

They travel as datagrams. Each may be lost or arrive more than once, and changes
nothing when it is repeated.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DepartureNotice:
    """An upstream said in a response that it is leaving.

    ``started_ms`` is the Unix time of its start: one that starts again under its
    name is not leaving any more.
    """

    upstream: str
    started_ms: int
