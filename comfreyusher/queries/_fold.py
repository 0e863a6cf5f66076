"""Folds of a stream into the answer of a query.

A query is a pair of closures: one folds a record into a state, the other
turns the last state into lines.
"""

import dataclasses
import enum
import typing

from comfreyusher.accounts import (
    Account,
    AccountRecordError,
    add_record,
    decode_account,
    find_gaps,
    list_entries,
)
from comfreyusher.declarations import Catalogue, apply_record


class QueryKind(str, enum.Enum):
    """Kinds of queries."""

    ACCOUNT = "account"
    HISTORY = "history"


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A query of one stream."""

    stream: str
    start: typing.Any
    fold: typing.Callable
    finish: typing.Callable


@dataclasses.dataclass(frozen=True, slots=True)
class QueryResult:
    """Lines of a query: plain data classes, ready to be encoded."""

    lines: tuple
    complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryItem:
    """One publication in the history of a name."""

    offset: int
    time_ms: int
    revision: int
    publish_id: str
    author: str
    outcome: str
    body: dict


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryState:
    """Catalogue and items while a history is folded."""

    catalogue: Catalogue = Catalogue()
    items: tuple = ()


def new_query(kind, subject, live):
    """Return the query of a kind; ``live`` are the running origins."""
    if kind is QueryKind.ACCOUNT:
        return _account_query(subject, live)
    return _history_query(subject)


def _account_query(customer, live):
    def fold(account, record):
        try:
            return add_record(account, decode_account(record.value))
        except AccountRecordError:
            return account

    def finish(account):
        entries = tuple(list_entries(account))
        gaps = tuple(find_gaps(account, live))
        return QueryResult(entries + gaps, not gaps)

    return Query("accounts", Account(customer), fold, finish)


def _history_query(key):
    def fold(state, record):
        before = state.catalogue
        after = apply_record(before, record.offset, record.value, record.time_ms)
        item = _find_item(key, before, after, record)
        items = state.items + ((item,) if item else ())
        return HistoryState(after, items)

    def finish(state):
        return QueryResult(state.items)

    return Query("configuration", HistoryState(), fold, finish)


def _find_item(key, before, after, record):
    old, new = before.entries.get(key), after.entries.get(key)
    if new is not None and (old is None or new.record is not old.record):
        return _item(record, new.record, "in force")
    for publish_id, conflict in after.conflicts.items():
        if publish_id not in before.conflicts and conflict.reason.startswith(key):
            return HistoryItem(
                record.offset, record.time_ms, 0, publish_id, "", conflict.reason, {}
            )
    return None


def _item(log_record, record, outcome):
    return HistoryItem(
        log_record.offset,
        log_record.time_ms,
        record.revision,
        record.publish_id,
        record.author,
        outcome,
        record.body,
    )
