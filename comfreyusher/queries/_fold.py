"""Folds of a topic into the answer of a query.

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
    decode_account_record,
    find_gaps,
    list_entries,
)
from comfreyusher.declarations import RecordError, decode_record
from comfreyusher.events import log_warning
from comfreyusher.platform import Topic

PART = "queries"


class QueryKind(str, enum.Enum):
    """Kinds of queries."""

    ACCOUNT = "account"
    HISTORY = "history"


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A query of one topic: of its newest records, or of all that are kept."""

    topic: Topic
    newest_only: bool
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


def new_query(kind, subject, live):
    """Return the query of a kind; ``live`` are the running origins."""
    if kind is QueryKind.ACCOUNT:
        return _account_query(subject, live)
    return _history_query(subject)


def _account_query(customer, live):
    def fold(account, record):
        try:
            return add_record(account, decode_account_record(record.value))
        except AccountRecordError as error:
            log_warning(
                PART, "account record skipped", key=record.key, reason=str(error)
            )
            return account

    def finish(account):
        entries = tuple(list_entries(account))
        gaps = tuple(find_gaps(account, live))
        return QueryResult(entries + gaps, not gaps)

    return Query(Topic.ACCOUNTS, True, Account(customer), fold, finish)


def _history_query(key):
    def fold(items, record):
        if record.key != key:
            return items
        try:
            return items + (_item(record.offset, decode_record(record.value)),)
        except RecordError as error:
            log_warning(PART, "record skipped", key=record.key, reason=str(error))
            return items

    return Query(Topic.DECLARATIONS, False, (), fold, QueryResult)


def _item(offset, record):
    return HistoryItem(
        offset,
        record.time_ms,
        record.revision,
        record.publish_id,
        record.author,
        "in force",
        record.body,
    )
