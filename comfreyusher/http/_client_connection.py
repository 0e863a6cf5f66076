"""State of a connection to a server."""

from comfreyusher.http._parse import ResponseParser


class ClientConnection:
    """State of one connection to a server.

    ``sent`` tells whether any byte of the request may have left this machine,
    ``used`` whether the connection carried an earlier request. ``failed_ids`` are
    the ids of the requests that got an error response on it.
    ``credit_due_bytes`` are written request bytes for which the consumer has no
    credit yet, ``unconsumed_bytes`` response bytes that the consumer has not
    consumed yet.
    """

    def __init__(self, address, now):
        self.address = address
        self.parser = ResponseParser()
        self.exchange = None
        self.connected = False
        self.opened_s = now
        self.connect_timeout_s = 0.0
        self.last_used_s = now
        self.keep_alive_timeout_s = float("inf")
        self.sent = False
        self.chunked = False
        self.request_ended = False
        self.response_started = False
        self.response_ended = False
        self.keep_alive = True
        self.credit_due_bytes = 0
        self.unconsumed_bytes = 0
        self.used = False
        self.response_id = ""
        self.failed_ids = ()
