"""The task that reads streams for queries, one page at a time."""

import dataclasses

from comfreyusher.flow import Subscribe, Task, Tick
from comfreyusher.platform import Read, ReadFailed, RecordsRead
from comfreyusher.queries._fold import QueryKind, QueryResult, new_query

CHANNEL = "queries"
RETRY_PERIOD_S = 0.5
PAGE_RECORDS = 200
MAX_FAILURES = 20


@dataclasses.dataclass(frozen=True, slots=True)
class StartQuery:
    """Start a query; its answer goes to the operators' task."""

    query_id: str
    kind: QueryKind
    subject: str
    live: frozenset


@dataclasses.dataclass(frozen=True, slots=True)
class QueryProgress:
    """How far a query has read."""

    query_id: str
    offset: int
    last: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueryEnded:
    """A query has its answer, or ``error`` says why not."""

    query_id: str
    result: QueryResult | None
    error: str = ""


class Running:
    """State of the query under way."""

    def __init__(self, start):
        self.start = start
        self.query = new_query(start.kind, start.subject, start.live)
        self.state = self.query.start
        self.after = 0
        self.failures = 0
        self.reading = False


class QueryTask(Task):
    """Runs queries one after the other."""

    def __init__(self, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.waiting = []
        self.active = None
        self.routes = {
            StartQuery: self.start_query,
            RecordsRead: self.take_page,
            ReadFailed: self.take_failure,
            Tick: self.on_tick,
        }

    def prepare(self):
        """Subscribe to the retries."""
        self.tell("timers", Subscribe(CHANNEL, "retry", RETRY_PERIOD_S))

    def start_query(self, start):
        """Queue a query."""
        self.waiting.append(start)
        self._start_next()

    def _start_next(self):
        if self.active is None and self.waiting:
            self.active = Running(self.waiting.pop(0))
            self._read()

    def _read(self):
        running = self.active
        if running.reading:
            return
        running.reading = True
        read = Read(CHANNEL, running.query.stream, running.after, 0, PAGE_RECORDS)
        self.tell("platform", read)

    def take_page(self, read):
        """Fold a page, and end at the last record."""
        running = self.active
        running.reading = False
        for record in read.page.records:
            running.state = running.query.fold(running.state, record)
            running.after = record.offset
        query_id = running.start.query_id
        if running.after >= read.page.last or not read.page.records:
            self._end(QueryEnded(query_id, running.query.finish(running.state)))
            return
        progress = QueryProgress(query_id, running.after, read.page.last)
        self.tell("operators", progress)
        self._read()

    def take_failure(self, failure):
        """Give up after many failures in a row."""
        running = self.active
        running.reading = False
        running.failures += 1
        if running.failures > MAX_FAILURES:
            error = f"the log does not answer: {failure.reason}"
            self._end(QueryEnded(running.start.query_id, None, error))

    def _end(self, ended):
        self.active = None
        self.tell("operators", ended)
        self._start_next()

    def on_tick(self, tick):
        """Read again after a failure."""
        if self.active is not None:
            self._read()
