"""Messages of the node to the tasks that own sockets to other nodes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddresses:
    """The addresses of live nodes: maps of node ids to ``(host, port)``.

    ``streams`` holds TCP ports, ``datagrams`` UDP ports.
    """

    streams: object
    datagrams: object
