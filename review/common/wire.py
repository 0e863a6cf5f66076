"""Reading and writing of HTTP/1.1 messages for the stand-ins."""

import dataclasses

MAX_LINE_BYTES = 65536
CHUNK_BYTES = 65536


@dataclasses.dataclass(frozen=True)
class Request:
    """A request: its line, its headers by lower-case name, and its whole body."""

    method: str
    target: str
    headers: dict
    body: bytes = b""

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a client saw of an answer; ``error`` tells how it broke off."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    error: str = ""

    @property
    def complete(self):
        """Whether the whole answer came."""
        return bool(self.status) and not self.error


async def read_head(reader):
    """Return the first line and the headers of a message, or ``None`` at its end."""
    first = await reader.readline()
    while first == b"\r\n":
        first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if line == b"\r\n":
            return first.decode("latin-1").strip(), headers
        if not line:
            raise ConnectionError("the head was cut")
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers, until_closed=False):
    """Return the body of a message."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await _read_chunks(reader)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_closed else b""


async def _read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readline()).strip() or b"x", 16)
        if not size:
            await reader.readline()
            return b"".join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)


async def read_request(reader):
    """Return the next ``Request`` of a connection, or ``None`` at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    return Request(method, target, head[1], await read_body(reader, head[1]))


def build_request(method, target, headers, body=b""):
    """Return the bytes of a request with a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def build_response(status, headers, body=b""):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
