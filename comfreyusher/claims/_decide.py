"""Decisions of the claim book of one node.

A claim names this node's incarnation as the holder of a key. It counts only
if no earlier record of the stream names another holder, so the book reads the
stream up to its own record before it says who holds the key.
"""

import dataclasses

import immutables
import msgspec

from comfreyusher.flow import Address, change, stopped
from comfreyusher.messages import ClaimSettled
from comfreyusher.platform import Append, Read

STREAM = "claims"
CHANNEL = "claims"
FORMAT = 1
SETTLE_TIMEOUT_S = 3.5
MAX_CLAIMS_PER_RECORD = 1000


@dataclasses.dataclass(frozen=True)
class ClaimRecord:
    """Record of the claims stream: names claimed by one node incarnation."""

    format: int
    holder: str
    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """Who holds a name, and the log's time of the claim."""

    holder: str
    time_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """Exchanges that wait for a name to be settled."""

    exchanges: tuple
    asked_s: float


@dataclasses.dataclass(frozen=True)
class ClaimBook:
    """State of the claims as far as this node has read them.

    ``heard_s`` is when the log last answered.
    """

    node: str
    offset: int = 0
    holdings: immutables.Map = immutables.Map()
    pending: immutables.Map = immutables.Map()
    unsent: tuple = ()
    appending: bool = False
    reading: bool = False
    wanted: int = 0
    heard_s: float = 0.0


def ask(book, asked, now):
    """Settle a known name, or claim it."""
    holding = book.holdings.get(asked.key)
    if holding is not None:
        return stopped(book, None, _settled(asked.key, asked.exchange, holding.holder))
    known = book.pending.get(asked.key)
    if known is not None:
        known = change(known, exchanges=known.exchanges + (asked.exchange,))
        pending = book.pending.set(asked.key, known)
        return stopped(change(book, pending=pending), None)
    pending = book.pending.set(asked.key, Pending((asked.exchange,), now))
    book = change(book, pending=pending, unsent=book.unsent + (asked.key,))
    return _append_next(book)


def take_appended(book, offset, now):
    """Read up to the record that was appended."""
    wanted = max(book.wanted, offset)
    book = change(book, appending=False, wanted=wanted, heard_s=now)
    first = _read_on(book)
    following = _append_next(first.state)
    return stopped(following.state, None, *first.messages, *following.messages)


def take_append_failure(book):
    """The record may be in the log; keep reading until the names time out."""
    book = change(book, appending=False)
    return _append_next(book)


def take_page(book, page, now):
    """Fold a page; settle the names that it decides."""
    holdings = book.holdings
    offset = book.offset
    for record in page.records:
        offset = max(offset, record.offset)
        holdings = _fold(holdings, record)
    book = change(book, reading=False, offset=offset, holdings=holdings, heard_s=now)
    step = _settle_known(book)
    book = step.state
    if book.offset < book.wanted or (page.records and page.last > book.offset):
        following = _read_on(book)
        return stopped(following.state, None, *step.messages, *following.messages)
    return step


def take_read_failure(book):
    """Read again at a later tick."""
    return stopped(change(book, reading=False), None)


def expire(book, now, oldest_ms):
    """Give up names if the log stays silent; forget old holdings.

    While the log answers, however slowly, names wait for their requests'
    deadlines.
    """
    messages = ()
    pending = book.pending
    for name, waiting in book.pending.items():
        if now - max(waiting.asked_s, book.heard_s) < SETTLE_TIMEOUT_S:
            continue
        pending = pending.delete(name)
        messages += tuple(_settled(name, one, "") for one in waiting.exchanges)
    unsent = tuple(name for name in book.unsent if name in pending)
    holdings = book.holdings
    for name, holding in book.holdings.items():
        if holding.time_ms < oldest_ms:
            holdings = holdings.delete(name)
    book = change(book, pending=pending, unsent=unsent, holdings=holdings)
    step = _read_on(book) if pending else stopped(book, None)
    return stopped(step.state, None, *messages, *step.messages)


def _fold(holdings, record):
    try:
        claim = msgspec.json.decode(record.value, type=ClaimRecord)
    except msgspec.MsgspecError:
        return holdings
    if claim.format != FORMAT:
        return holdings
    for name in claim.names:
        if name not in holdings:
            holdings = holdings.set(name, Holding(claim.holder, record.time_ms))
    return holdings


def _settle_known(book):
    messages = ()
    pending = book.pending
    for name, waiting in book.pending.items():
        holding = book.holdings.get(name)
        if holding is None:
            continue
        pending = pending.delete(name)
        messages += tuple(
            _settled(name, exchange, holding.holder) for exchange in waiting.exchanges
        )
    return stopped(change(book, pending=pending), None, *messages)


def _append_next(book):
    """Claim all names that came while the last append was under way."""
    if book.appending or not book.unsent:
        return stopped(book, None)
    names = book.unsent[:MAX_CLAIMS_PER_RECORD]
    text = msgspec.json.encode(ClaimRecord(FORMAT, book.node, names)).decode()
    book = change(book, appending=True, unsent=book.unsent[len(names) :])
    append = Append(CHANNEL, names, STREAM, text)
    return stopped(book, None, Address("platform", append))


def _read_on(book):
    if book.reading:
        return stopped(book, None)
    read = Read(CHANNEL, STREAM, book.offset)
    book = change(book, reading=True)
    return stopped(book, None, Address("platform", read))


def _settled(name, exchange, holder):
    return Address("entry", ClaimSettled(name, exchange, holder))
