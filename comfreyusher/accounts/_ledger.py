"""Decisions on this node's own entries: numbering, copies, batches.

An answer waits until another node holds a copy of its entry. Copies are sent
one batch at a time; entries that come meanwhile form the next batch. Ended
entries are appended to the log in batches; an append without an answer is
repeated, which the export tolerates.
"""

import dataclasses

import immutables

from comfreyusher.accounts._entry import encode_entry
from comfreyusher.accounts._messages import CopyConfirmed
from comfreyusher.accounts._record import encode_account
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.messages import ReplicationRequest, ToNode
from comfreyusher.platform import Append, Topic

CHANNEL = "accounts"
ENTRY = "entry"
COPY_TIMEOUT_S = 0.25
MAX_BATCH_ENTRIES = 2000
MAX_COPY_ENTRIES = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """An append under way or to be repeated, under a key of its own.

    ``text`` is compressed.
    """

    key: str
    numbers: tuple
    text: str


@dataclasses.dataclass(frozen=True)
class Ledger:
    """State of this node's own account entries.

    ``open`` maps exchanges to entries under way. ``uncopied`` waits for the
    next copy batch, ``copying`` for the answer to the last one; both hold
    entries, and ``copying_exchanges`` the answers that wait for it.
    """

    origin: str
    last_number: int = 0
    open: immutables.Map = immutables.Map()
    ended: tuple = ()
    batch_total: int = 0
    batches: tuple = ()
    appending: bool = False
    buddy: str = ""
    copy_batch: int = 0
    uncopied: tuple = ()
    waiting: tuple = ()
    copying: tuple = ()
    copying_waiting: tuple = ()
    copy_sent_s: float = 0.0
    logged: int = 0
    logged_beyond: frozenset = frozenset()
    uncopied_total: int = 0
    closed: bool = False


def begin(ledger, begun, now):
    """Number an entry and copy it."""
    number = ledger.last_number + 1
    entry = replace(begun.entry, origin=ledger.origin, number=number)
    ledger = replace(
        ledger,
        last_number=number,
        open=ledger.open.set(begun.exchange, entry),
        uncopied=(ledger.uncopied + (entry,))[-MAX_BATCH_ENTRIES:],
        waiting=ledger.waiting + (begun.exchange,),
    )
    return send_copies(ledger, now)


def end(ledger, ended, now):
    """Keep the outcome for the next batches."""
    entry = ledger.open.get(ended.exchange)
    if entry is None:
        return end_pipe(ledger, None)
    entry = replace(
        entry, outcome=ended.outcome, status=ended.status, ended_ms=ended.ended_ms
    )
    ledger = replace(
        ledger,
        open=ledger.open.delete(ended.exchange),
        ended=ledger.ended + (entry,),
        uncopied=(ledger.uncopied + (entry,))[-MAX_BATCH_ENTRIES:],
    )
    if len(ledger.ended) >= MAX_BATCH_ENTRIES:
        return flush(ledger)
    return end_pipe(ledger, None)


# Copies ------------------------------------------------------------------------


def send_copies(ledger, now):
    """Send the next copy batch unless one is under way."""
    if ledger.copying or not ledger.waiting:
        return end_pipe(ledger, None)
    if not ledger.buddy:
        return _release(ledger, ledger.waiting, copied=False)
    return _send_batch(ledger, now)


def _send_batch(ledger, now):
    sent = ledger.uncopied[:MAX_COPY_ENTRIES]
    batch = ledger.copy_batch + 1
    asked = ReplicationRequest(
        ledger.origin, batch, ledger.logged, tuple(encode_entry(e) for e in sent)
    )
    ledger = replace(
        ledger,
        copy_batch=batch,
        copying=sent,
        copying_waiting=ledger.waiting,
        uncopied=ledger.uncopied[len(sent) :],
        waiting=(),
        copy_sent_s=now,
    )
    return end_pipe(ledger, None, Envelope("peers", ToNode(ledger.buddy, asked)))


def take_stored(ledger, stored, now):
    """Release the answers whose entries another node holds."""
    if not ledger.copying or stored.batch_number != ledger.copy_batch:
        return end_pipe(ledger, None)
    step = _release(ledger, ledger.copying_waiting, copied=True)
    ledger = replace(step.state, copying=(), copying_waiting=())
    following = send_copies(ledger, now)
    return end_pipe(following.state, None, *step.messages, *following.messages)


def time_out_copy(ledger, now):
    """Release answers whose copy takes too long, and send it again.

    The metric counts them. What is in the log by now needs no copy.
    """
    if not ledger.copying or now - ledger.copy_sent_s < COPY_TIMEOUT_S:
        return end_pipe(ledger, None)
    step = give_up_copy(ledger, now)
    if step.state.copying or not step.state.uncopied or not step.state.buddy:
        return step
    following = _send_batch(step.state, now)
    return end_pipe(following.state, None, *step.messages, *following.messages)


def give_up_copy(ledger, now):
    """Go on without the copy that is under way."""
    step = _release(ledger, ledger.copying_waiting, copied=False)
    ledger = step.state
    held = ledger.copying + ledger.uncopied
    unlogged = tuple(entry for entry in held if not _is_logged(ledger, entry))
    uncopied = unlogged[-MAX_BATCH_ENTRIES:]
    ledger = replace(ledger, uncopied=uncopied, copying=(), copying_waiting=())
    following = send_copies(ledger, now)
    return end_pipe(following.state, None, *step.messages, *following.messages)


def _is_logged(ledger, entry):
    return entry.number <= ledger.logged or entry.number in ledger.logged_beyond


def change_buddy(ledger, buddy, now):
    """Copy to another node from now on, everything not in the log again."""
    if buddy == ledger.buddy:
        return end_pipe(ledger, None)
    step = give_up_copy(ledger, now)
    kept = tuple(step.state.open.values()) + step.state.ended
    ledger = replace(step.state, buddy=buddy, uncopied=kept)
    return end_pipe(ledger, None, *step.messages)


def _release(ledger, exchanges, copied):
    messages = tuple(
        Envelope(ENTRY, CopyConfirmed(exchange, copied)) for exchange in exchanges
    )
    lost = 0 if copied else len(exchanges)
    ledger = replace(
        ledger,
        uncopied_total=ledger.uncopied_total + lost,
        waiting=() if exchanges is ledger.waiting else ledger.waiting,
    )
    return end_pipe(ledger, None, *messages)


# Log -----------------------------------------------------------------------------


def flush(ledger):
    """Make a batch of what has ended, and append the oldest batch."""
    if ledger.ended:
        numbers = tuple(entry.number for entry in ledger.ended)
        text = encode_account(ledger.origin, ledger.origin, ledger.ended)
        ledger = _add_batch(replace(ledger, ended=()), numbers, text)
    return append_next(ledger)


def _add_batch(ledger, numbers, text):
    total = ledger.batch_total + 1
    batch = Batch(f"{ledger.origin}/{total}", numbers, text)
    return replace(ledger, batches=ledger.batches + (batch,), batch_total=total)


def close(ledger):
    """Append the rest and the last number of this origin."""
    step = flush(ledger)
    ledger = step.state
    if ledger.closed:
        return step
    text = encode_account(ledger.origin, ledger.origin, (), ledger.last_number)
    ledger = replace(_add_batch(ledger, (), text), closed=True)
    following = append_next(ledger)
    return end_pipe(following.state, None, *step.messages, *following.messages)


def append_next(ledger):
    """Append the oldest batch unless an append is under way."""
    if ledger.appending or not ledger.batches:
        return end_pipe(ledger, None)
    first = ledger.batches[0]
    append = Append(
        CHANNEL, ledger.origin, Topic.ACCOUNTS, first.key, first.text.encode()
    )
    ledger = replace(ledger, appending=True)
    return end_pipe(ledger, None, Envelope("platform", append))


def take_appended(ledger):
    """Forget the batch that is in the log, and append the next."""
    numbers = ledger.batches[0].numbers
    beyond = ledger.logged_beyond | set(numbers)
    logged = ledger.logged
    while logged + 1 in beyond:
        logged += 1
    ledger = replace(
        ledger,
        appending=False,
        batches=ledger.batches[1:],
        logged=logged,
        logged_beyond=frozenset(n for n in beyond if n > logged),
    )
    return append_next(ledger)


def take_append_failure(ledger):
    """Keep the batch; the next flush appends it again."""
    return end_pipe(replace(ledger, appending=False), None)


def pending_entries(ledger):
    """Return how many ended entries are not in the log yet."""
    batched = sum(len(batch.numbers) for batch in ledger.batches)
    return batched + len(ledger.ended)


def new_ledger(origin):
    """Return the ledger of a node incarnation."""
    return Ledger(origin=origin)
