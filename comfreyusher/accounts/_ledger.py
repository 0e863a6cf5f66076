"""Decisions on this node's own entries: numbering, replication and batches.

A response is held back until another node, the replica node, has a replica of
its entry. One replication batch is sent at a time; entries added meanwhile form
the next batch. Ended entries are appended to the log in batches. An append that
fails or times out is repeated, and the export ignores duplicate entries.
"""

import dataclasses

import immutables

from comfreyusher.accounts._entry import encode_entry
from comfreyusher.accounts._messages import ReplicationFinished
from comfreyusher.accounts._record import encode_account_record
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.messages import ReplicationRequest, ToNode
from comfreyusher.platform import Append, Topic

CHANNEL = "accounts"
ENTRY_CHANNEL = "entry"
REPLICATION_TIMEOUT_S = 0.25
MAX_BATCH_ENTRIES = 2000
MAX_REPLICATION_ENTRIES = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """A batch that is being appended to the log, or waits to be (again).

    It is appended under a unique key. ``text`` is an encoded account record, with
    compressed entries; ``numbers`` are the numbers of these entries.
    """

    key: str
    numbers: tuple
    text: str


@dataclasses.dataclass(frozen=True)
class Ledger:
    """State of this node's own account entries.

    ``open_entries`` maps exchanges to entries of requests in flight.
    ``unreplicated`` holds the entries for later replication batches,
    ``replicating`` those of the batch that waits for its acknowledgement.
    ``waiting_exchanges`` and ``replicating_exchanges`` are the exchanges whose
    responses are held back until the next or the current batch is acknowledged.

    All entries up to the number ``last_logged`` are in the log;
    ``logged_out_of_order`` are later numbers that are in it too.
    ``unreplicated_total`` counts responses released without a replica.
    """

    origin: str
    last_number: int = 0
    open_entries: immutables.Map = immutables.Map()
    ended_entries: tuple = ()
    batch_total: int = 0
    batches: tuple = ()
    appending: bool = False
    replica_node: str = ""
    replication_batch_number: int = 0
    unreplicated: tuple = ()
    waiting_exchanges: tuple = ()
    replicating: tuple = ()
    replicating_exchanges: tuple = ()
    replication_sent_s: float = 0.0
    last_logged: int = 0
    logged_out_of_order: frozenset = frozenset()
    unreplicated_total: int = 0
    closed: bool = False


def add_entry(ledger, accepted, now):
    """Number the entry of an accepted request and replicate it."""
    number = ledger.last_number + 1
    entry = replace(accepted.entry, origin=ledger.origin, number=number)
    ledger = replace(
        ledger,
        last_number=number,
        open_entries=ledger.open_entries.set(accepted.exchange, entry),
        unreplicated=(ledger.unreplicated + (entry,))[-MAX_BATCH_ENTRIES:],
        waiting_exchanges=ledger.waiting_exchanges + (accepted.exchange,),
    )
    return replicate_next(ledger, now)


def end_entry(ledger, request, now):
    """Record the outcome in the entry of a request that ended."""
    entry = ledger.open_entries.get(request.exchange)
    if entry is None:
        return end_pipe(ledger, None)
    entry = replace(
        entry, outcome=request.outcome, status=request.status, ended_ms=request.ended_ms
    )
    ledger = replace(
        ledger,
        open_entries=ledger.open_entries.delete(request.exchange),
        ended_entries=ledger.ended_entries + (entry,),
        unreplicated=(ledger.unreplicated + (entry,))[-MAX_BATCH_ENTRIES:],
    )
    if len(ledger.ended_entries) >= MAX_BATCH_ENTRIES:
        return flush(ledger)
    return end_pipe(ledger, None)


# Replication -------------------------------------------------------------------


def replicate_next(ledger, now):
    """Send the next replication batch unless one waits for its acknowledgement.

    Without a replica node, the responses are released at once.
    """
    if ledger.replicating or not ledger.waiting_exchanges:
        return end_pipe(ledger, None)
    if not ledger.replica_node:
        return _release_responses(ledger, ledger.waiting_exchanges, replicated=False)
    return _send_replication_batch(ledger, now)


def _send_replication_batch(ledger, now):
    batch_entries = ledger.unreplicated[:MAX_REPLICATION_ENTRIES]
    batch = ledger.replication_batch_number + 1
    request = ReplicationRequest(
        ledger.origin,
        batch,
        ledger.last_logged,
        tuple(encode_entry(e) for e in batch_entries),
    )
    ledger = replace(
        ledger,
        replication_batch_number=batch,
        replicating=batch_entries,
        replicating_exchanges=ledger.waiting_exchanges,
        unreplicated=ledger.unreplicated[len(batch_entries) :],
        waiting_exchanges=(),
        replication_sent_s=now,
    )
    return end_pipe(
        ledger, None, Envelope("peers", ToNode(ledger.replica_node, request))
    )


def confirm_replication(ledger, ack, now):
    """Release the responses whose entries the replica node has acknowledged."""
    if not ledger.replicating or ack.batch_number != ledger.replication_batch_number:
        return end_pipe(ledger, None)
    step = _release_responses(ledger, ledger.replicating_exchanges, replicated=True)
    ledger = replace(step.state, replicating=(), replicating_exchanges=())
    following = replicate_next(ledger, now)
    return end_pipe(following.state, None, *step.messages, *following.messages)


def time_out_replication(ledger, now):
    """Release the responses of a batch that timed out, and send its entries again.

    ``unreplicated_total`` counts these responses. Entries that are in the log by
    now aren't sent again.
    """
    if (
        not ledger.replicating
        or now - ledger.replication_sent_s < REPLICATION_TIMEOUT_S
    ):
        return end_pipe(ledger, None)
    step = cancel_replication(ledger, now)
    if (
        step.state.replicating
        or not step.state.unreplicated
        or not step.state.replica_node
    ):
        return step
    following = _send_replication_batch(step.state, now)
    return end_pipe(following.state, None, *step.messages, *following.messages)


def cancel_replication(ledger, now):
    """Release the responses of the current batch and queue its entries again."""
    step = _release_responses(ledger, ledger.replicating_exchanges, replicated=False)
    ledger = step.state
    pending = ledger.replicating + ledger.unreplicated
    unlogged = tuple(entry for entry in pending if not _is_logged(ledger, entry))
    unreplicated = unlogged[-MAX_BATCH_ENTRIES:]
    ledger = replace(
        ledger, unreplicated=unreplicated, replicating=(), replicating_exchanges=()
    )
    following = replicate_next(ledger, now)
    return end_pipe(following.state, None, *step.messages, *following.messages)


def _is_logged(ledger, entry):
    return (
        entry.number <= ledger.last_logged or entry.number in ledger.logged_out_of_order
    )


def change_replica_node(ledger, replica_node, now):
    """Replicate to another node from now on.

    The new node gets all entries that are not in a batch for the log yet.
    """
    if replica_node == ledger.replica_node:
        return end_pipe(ledger, None)
    step = cancel_replication(ledger, now)
    entries = tuple(step.state.open_entries.values()) + step.state.ended_entries
    ledger = replace(step.state, replica_node=replica_node, unreplicated=entries)
    return end_pipe(ledger, None, *step.messages)


def _release_responses(ledger, exchanges, replicated):
    messages = tuple(
        Envelope(ENTRY_CHANNEL, ReplicationFinished(exchange, replicated))
        for exchange in exchanges
    )
    count = 0 if replicated else len(exchanges)
    ledger = replace(
        ledger,
        unreplicated_total=ledger.unreplicated_total + count,
        waiting_exchanges=()
        if exchanges is ledger.waiting_exchanges
        else ledger.waiting_exchanges,
    )
    return end_pipe(ledger, None, *messages)


# Log -----------------------------------------------------------------------------


def flush(ledger):
    """Make a batch of the ended entries, and append the oldest batch."""
    if ledger.ended_entries:
        numbers = tuple(entry.number for entry in ledger.ended_entries)
        text = encode_account_record(ledger.origin, ledger.origin, ledger.ended_entries)
        ledger = _add_batch(replace(ledger, ended_entries=()), numbers, text)
    return append_next(ledger)


def _add_batch(ledger, numbers, text):
    total = ledger.batch_total + 1
    batch = Batch(f"{ledger.origin}/{total}", numbers, text)
    return replace(ledger, batches=ledger.batches + (batch,), batch_total=total)


def close(ledger):
    """Append the remaining ended entries and a record that closes this origin.

    The closing record holds the last number of the origin, so that an export
    can tell whether entries are missing at its end.
    """
    step = flush(ledger)
    ledger = step.state
    if ledger.closed:
        return step
    text = encode_account_record(ledger.origin, ledger.origin, (), ledger.last_number)
    ledger = replace(_add_batch(ledger, (), text), closed=True)
    following = append_next(ledger)
    return end_pipe(following.state, None, *step.messages, *following.messages)


def append_next(ledger):
    """Append the oldest batch unless an append is pending."""
    if ledger.appending or not ledger.batches:
        return end_pipe(ledger, None)
    batch = ledger.batches[0]
    append = Append(
        CHANNEL, ledger.origin, Topic.ACCOUNTS, batch.key, batch.text.encode()
    )
    ledger = replace(ledger, appending=True)
    return end_pipe(ledger, None, Envelope("platform", append))


def drop_appended_batch(ledger):
    """Drop the oldest batch, which is in the log now, and append the next."""
    numbers = ledger.batches[0].numbers
    logged = ledger.logged_out_of_order | set(numbers)
    last_logged = ledger.last_logged
    while last_logged + 1 in logged:
        last_logged += 1
    ledger = replace(
        ledger,
        appending=False,
        batches=ledger.batches[1:],
        last_logged=last_logged,
        logged_out_of_order=frozenset(n for n in logged if n > last_logged),
    )
    return append_next(ledger)


def record_append_failure(ledger):
    """Keep the batch, which the next flush appends again."""
    return end_pipe(replace(ledger, appending=False), None)


def count_pending_entries(ledger):
    """Return the number of ended entries that are not in the log yet."""
    batched = sum(len(batch.numbers) for batch in ledger.batches)
    return batched + len(ledger.ended_entries)


def new_ledger(origin):
    """Return the ledger of a node incarnation."""
    return Ledger(origin=origin)
