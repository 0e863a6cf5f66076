"""Queries that read a whole topic of the store: accounts and histories."""

from comfreyusher.queries._fold import (
    HistoryItem,
    QueryKind,
    QueryResult,
    new_query,
)
from comfreyusher.queries._task import QueryEnded, QueryProgress, QueryTask, StartQuery

__all__ = [
    "HistoryItem",
    "QueryEnded",
    "QueryKind",
    "QueryProgress",
    "QueryResult",
    "QueryTask",
    "StartQuery",
    "new_query",
]
