"""Reading and writing of HTTP/1.1 messages on asyncio streams."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or response: its start line, headers by lower-case name, and body."""

    line: str
    headers: dict
    body: bytes = b""
    complete: bool = True

    @property
    def status(self):
        """Return the status code of a response."""
        return int(self.line.split()[1])

    @property
    def method(self):
        """Return the method of a request."""
        return self.line.split()[0]

    @property
    def target(self):
        """Return the target of a request."""
        return self.line.split()[1]


async def read_head(reader):
    """Return a message without its body, or ``None`` at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for text in lines[1:]:
        name, found, value = text.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, message, is_response=False):
    """Read the body of a message; ``complete`` is false if it was cut."""
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            message.body = await _read_chunks(reader)
        elif "content-length" in message.headers:
            size = int(message.headers["content-length"])
            message.body = await reader.readexactly(size)
        elif is_response and message.status not in (204, 304):
            message.body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        message.body = getattr(error, "partial", b"")
        message.complete = False
    return message


async def _read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(data[:-2])


def encode(line, headers, body=b""):
    """Return the bytes of a message."""
    lines = [line, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
