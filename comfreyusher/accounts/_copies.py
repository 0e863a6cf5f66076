"""Decisions on copies of other nodes' entries.

When an origin has died, the node with its copies appends what the log may
lack. Entries without an outcome are appended as unknown.
"""

import dataclasses

import immutables
import msgspec

from comfreyusher.accounts._entry import decode_entry
from comfreyusher.accounts._record import encode_account
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.messages import Outcome, ReplicationAck, ToNode
from comfreyusher.platform import Append, Topic

ADOPT_AFTER_S = 5.0
CHANNEL = "accounts"


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Copies of one origin by number.

    Entries up to ``logged`` are in the log; ``gone_s`` is when it vanished.
    """

    entries: immutables.Map = immutables.Map()
    logged: int = 0
    gone_s: float = 0.0
    appending: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Copies:
    """All copies that this node keeps, by origin."""

    node: str
    held: immutables.Map = immutables.Map()


def store(copies, asked):
    """Keep a batch and confirm it."""
    held = copies.held.get(asked.origin, Held())
    entries = held.entries
    try:
        received = [decode_entry(data) for data in asked.entries]
    except msgspec.MsgspecError:
        return end_pipe(copies, None)
    for entry in received:
        known = entries.get(entry.number)
        if known is None or entry.outcome:
            entries = entries.set(entry.number, entry)
    for number in range(held.logged + 1, asked.last_logged + 1):
        if number in entries:
            entries = entries.delete(number)
    logged = max(held.logged, asked.last_logged)
    held = replace(held, entries=entries, logged=logged, gone_s=0.0)
    copies = replace(copies, held=copies.held.set(asked.origin, held))
    stored = ReplicationAck(copies.node, asked.batch_number)
    return end_pipe(copies, None, Envelope("peers", ToNode(asked.origin, stored)))


def adopt(copies, live, now):
    """Append the copies of origins that have been gone for a while."""
    messages = ()
    for origin, held in copies.held.items():
        step = _adopt_one(copies, origin, held, live, now)
        copies = step.state
        messages += step.messages
    return end_pipe(copies, None, *messages)


def _adopt_one(copies, origin, held, live, now):
    if origin in live:
        held = replace(held, gone_s=0.0)
        return end_pipe(_put(copies, origin, held), None)
    if not held.gone_s:
        held = replace(held, gone_s=now)
        return end_pipe(_put(copies, origin, held), None)
    if held.appending or now - held.gone_s < ADOPT_AFTER_S:
        return end_pipe(copies, None)
    if not held.entries:
        held_map = copies.held.delete(origin)
        return end_pipe(replace(copies, held=held_map), None)
    entries = [_as_unknown(entry) for entry in held.entries.values()]
    entries.sort(key=lambda entry: entry.number)
    text = encode_account(origin, copies.node, entries)
    held = replace(held, appending=True)
    key = f"{origin}/adopted by {copies.node}"
    append = Append(CHANNEL, AdoptToken(origin), Topic.ACCOUNTS, key, text.encode())
    return end_pipe(_put(copies, origin, held), None, Envelope("platform", append))


@dataclasses.dataclass(frozen=True, slots=True)
class AdoptToken:
    """Marks the append of an adopted origin."""

    origin: str


def take_adopted(copies, token):
    """Forget copies that are in the log."""
    if token.origin not in copies.held:
        return end_pipe(copies, None)
    held = copies.held.delete(token.origin)
    return end_pipe(replace(copies, held=held), None)


def take_adopt_failure(copies, token):
    """Try again at a later tick."""
    held = copies.held.get(token.origin)
    if held is None:
        return end_pipe(copies, None)
    held = replace(held, appending=False)
    return end_pipe(_put(copies, token.origin, held), None)


def _as_unknown(entry):
    if entry.outcome:
        return entry
    return replace(entry, outcome=Outcome.UNKNOWN.value)


def _put(copies, origin, held):
    return replace(copies, held=copies.held.set(origin, held))
