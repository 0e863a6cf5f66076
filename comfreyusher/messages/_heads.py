"""Heads of HTTP requests and responses.

``headers`` is a tuple of ``(name, value)`` byte pairs in wire order, as the
HTTP libraries give them, or ``PackedHeaders`` of the same pairs. Names keep the
letter case of their sender.
"""

import dataclasses

LINE_END = b"\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class PackedHeaders:
    """Header lines kept as bytes; iterating gives ``(name, value)`` pairs.

    A pair of short byte strings takes some 120 to 190 bytes, its line only five.
    Each iteration splits the lines again, so only long heads are kept like this.
    """

    lines: bytes

    def __iter__(self):
        start = 0
        while start < len(self.lines):
            end = self.lines.index(LINE_END, start)
            name, _, value = self.lines[start:end].partition(b":")
            yield name, value
            start = end + len(LINE_END)


def pack_headers(pairs):
    """Return header lines of ``(name, value)`` pairs that a strict parser has read.

    Their names contain no colon, and their values no line end.
    """
    return b"".join(b"%b:%b\r\n" % pair for pair in pairs)


def replace_headers(headers, removed_names, added):
    """Return headers without those of some lower-case names, and with added ones.

    Packed headers stay packed.
    """
    kept = (pair for pair in headers if pair[0].lower() not in removed_names)
    if isinstance(headers, PackedHeaders):
        return PackedHeaders(pack_headers(kept) + pack_headers(added))
    return (*kept, *added)


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
