"""Decisions on replicas of other nodes' entries.

When an origin has died, its replica node appends the entries that the log may
lack. Entries without an outcome are appended with the outcome unknown.
"""

import dataclasses

import immutables
import msgspec

from comfreyusher.accounts._entry import decode_entry
from comfreyusher.accounts._record import encode_account_record
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.messages import Outcome, ReplicationAck, ToNode
from comfreyusher.platform import Append, Topic

MISSING_ORIGIN_TIMEOUT_S = 5.0
CHANNEL = "accounts"


@dataclasses.dataclass(frozen=True, slots=True)
class OriginReplicas:
    """Replicas of one origin's entries by number.

    Entries up to the number ``last_logged`` are in the log. ``missing_since_s``
    is when the origin was first missing from the live nodes, or 0.
    """

    entries: immutables.Map = immutables.Map()
    last_logged: int = 0
    missing_since_s: float = 0.0
    appending: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Replicas:
    """All replicas on this node; ``origins`` maps origins to ``OriginReplicas``."""

    node: str
    origins: immutables.Map = immutables.Map()


def store_replicas(replicas, request):
    """Store a replication batch and acknowledge it."""
    origin_replicas = replicas.origins.get(request.origin, OriginReplicas())
    entries = origin_replicas.entries
    try:
        received = [decode_entry(data) for data in request.entries]
    except msgspec.MsgspecError:
        return end_pipe(replicas, None)
    for entry in received:
        known = entries.get(entry.number)
        if known is None or entry.outcome:
            entries = entries.set(entry.number, entry)
    for number in range(origin_replicas.last_logged + 1, request.last_logged + 1):
        if number in entries:
            entries = entries.delete(number)
    last_logged = max(origin_replicas.last_logged, request.last_logged)
    origin_replicas = replace(
        origin_replicas, entries=entries, last_logged=last_logged, missing_since_s=0.0
    )
    replicas = replace(
        replicas, origins=replicas.origins.set(request.origin, origin_replicas)
    )
    ack = ReplicationAck(replicas.node, request.batch_number)
    return end_pipe(replicas, None, Envelope("peers", ToNode(request.origin, ack)))


def build_logged_record(before, after, origin):
    """Return the key and the text of a record of the replicas that were just dropped.

    ``before`` and ``after`` are the replicas before and after the origin told that
    these are in the log. Both are empty if there are none.
    """
    known = before.origins.get(origin, OriginReplicas())
    current = after.origins.get(origin, OriginReplicas())
    if current.last_logged <= known.last_logged:
        return "", ""
    numbers = range(known.last_logged + 1, current.last_logged + 1)
    logged = [known.entries[number] for number in numbers if number in known.entries]
    if not logged:
        return "", ""
    text = encode_account_record(
        origin, after.node, [_complete_outcome(entry) for entry in logged]
    )
    return f"{origin}/{current.last_logged} kept by {after.node}", text


def append_missing_origins(replicas, live_nodes, now):
    """Append the entries of origins that have been missing for the timeout."""
    messages = ()
    for origin, origin_replicas in replicas.origins.items():
        step = _append_if_missing(replicas, origin, origin_replicas, live_nodes, now)
        replicas = step.state
        messages += step.messages
    return end_pipe(replicas, None, *messages)


def _append_if_missing(replicas, origin, origin_replicas, live_nodes, now):
    if origin in live_nodes:
        origin_replicas = replace(origin_replicas, missing_since_s=0.0)
        return end_pipe(_set_origin(replicas, origin, origin_replicas), None)
    if not origin_replicas.missing_since_s:
        origin_replicas = replace(origin_replicas, missing_since_s=now)
        return end_pipe(_set_origin(replicas, origin, origin_replicas), None)
    if (
        origin_replicas.appending
        or now - origin_replicas.missing_since_s < MISSING_ORIGIN_TIMEOUT_S
    ):
        return end_pipe(replicas, None)
    if not origin_replicas.entries:
        origins = replicas.origins.delete(origin)
        return end_pipe(replace(replicas, origins=origins), None)
    entries = [_complete_outcome(entry) for entry in origin_replicas.entries.values()]
    entries.sort(key=lambda entry: entry.number)
    text = encode_account_record(origin, replicas.node, entries)
    origin_replicas = replace(origin_replicas, appending=True)
    key = f"{origin}/adopted by {replicas.node}"
    token = ReplicaToken(origin, key, text)
    append = Append(CHANNEL, token, Topic.ACCOUNTS, key, text.encode())
    return end_pipe(
        _set_origin(replicas, origin, origin_replicas),
        None,
        Envelope("platform", append),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaToken:
    """Token of an append of a missing origin's entries: the record with this text."""

    origin: str
    key: str = ""
    text: str = ""


def drop_appended_origin(replicas, token):
    """Drop the replicas of an origin, which are in the log now."""
    if token.origin not in replicas.origins:
        return end_pipe(replicas, None)
    origins = replicas.origins.delete(token.origin)
    return end_pipe(replace(replicas, origins=origins), None)


def record_append_failure(replicas, token):
    """Let a later tick append the entries again."""
    origin_replicas = replicas.origins.get(token.origin)
    if origin_replicas is None:
        return end_pipe(replicas, None)
    origin_replicas = replace(origin_replicas, appending=False)
    return end_pipe(_set_origin(replicas, token.origin, origin_replicas), None)


def _complete_outcome(entry):
    if entry.outcome:
        return entry
    return replace(entry, outcome=Outcome.UNKNOWN.value)


def _set_origin(replicas, origin, origin_replicas):
    return replace(replicas, origins=replicas.origins.set(origin, origin_replicas))
