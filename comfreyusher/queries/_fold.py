"""Folds of a topic's records into the result of a query.

A query has two closures: one folds a record into a state, the other turns the
last state into the lines of the result.
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
    """What a query returns: a customer's account or a declaration's history."""

    ACCOUNT = "account"
    HISTORY = "history"


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A query of one topic.

    With ``newest_only`` it reads the newest record of every key, else all records
    that the topic still holds. ``fold`` is called with a state, at first
    ``initial_state``, and a record, and returns the next state. ``finish`` turns
    the last state into a ``QueryResult``.
    """

    topic: Topic
    newest_only: bool
    initial_state: typing.Any
    fold: typing.Callable
    finish: typing.Callable


@dataclasses.dataclass(frozen=True, slots=True)
class QueryResult:
    """Lines of a query's result: data classes that are ready for encoding.

    ``complete`` is false when account entries are missing.
    """

    lines: tuple
    complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryItem:
    """One publication in the history of a declaration."""

    offset: int
    time_ms: int
    revision: int
    publish_id: str
    author: str
    outcome: str
    body: dict


def new_query(kind, subject, live_origins):
    """Return a query for a customer's account or for a declaration's history.

    ``subject`` is the customer's name or the declaration's ``kind/name``.
    ``live_origins`` are the node incarnations that still run.
    """
    if kind is QueryKind.ACCOUNT:
        return _new_account_query(subject, live_origins)
    return _new_history_query(subject)


def _new_account_query(customer, live_origins):
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
        gaps = tuple(find_gaps(account, live_origins))
        return QueryResult(entries + gaps, not gaps)

    return Query(Topic.ACCOUNTS, True, Account(customer), fold, finish)


def _new_history_query(key):
    def fold(items, record):
        if record.key != key:
            return items
        try:
            return items + (
                _build_history_item(record.offset, decode_record(record.value)),
            )
        except RecordError as error:
            log_warning(
                PART, "declaration record skipped", key=record.key, reason=str(error)
            )
            return items

    return Query(Topic.DECLARATIONS, False, (), fold, QueryResult)


def _build_history_item(offset, record):
    return HistoryItem(
        offset,
        record.time_ms,
        record.revision,
        record.publish_id,
        record.author,
        "in force",
        record.body,
    )
