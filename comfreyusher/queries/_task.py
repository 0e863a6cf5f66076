"""The task that reads topics for queries, one page at a time."""

import dataclasses

from comfreyusher.flow import Subscribe, Task, Tick, Unsubscribe
from comfreyusher.platform import (
    NewestRead,
    ReadFailed,
    ReadNewest,
    ReadRecords,
    RecordsRead,
)
from comfreyusher.queries._fold import QueryKind, QueryResult, new_query

CHANNEL = "queries"
RETRY_PERIOD_S = 0.5
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
    """How many records a query has read; ``last`` is 0 while unknown."""

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
    """State of the query under way; ``place`` is a key or an offset."""

    def __init__(self, start):
        self.start = start
        self.query = new_query(start.kind, start.subject, start.live)
        self.state = self.query.start
        self.place = "" if self.query.newest_only else 0
        self.count = 0
        self.failures = 0
        self.reading = False


class QueryTask(Task):
    """Runs queries one after the other."""

    def __init__(self, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.waiting = []
        self.active = None
        self.message_handlers = {
            StartQuery: self.start_query,
            NewestRead: self.take_newest,
            RecordsRead: self.take_records,
            ReadFailed: self.take_failure,
            Tick: self.on_tick,
        }

    def start_query(self, start):
        """Queue a query."""
        self.waiting.append(start)
        self._start_next()

    def _start_next(self):
        if self.active is None and self.waiting:
            self.active = Running(self.waiting.pop(0))
            self.send_message("timers", Subscribe(CHANNEL, "retry", RETRY_PERIOD_S))
            self._read()

    def _read(self):
        running = self.active
        if running.reading:
            return
        running.reading = True
        topic = running.query.topic
        if running.query.newest_only:
            read = ReadNewest(CHANNEL, topic, False, running.place)
        else:
            read = ReadRecords(CHANNEL, topic, running.place)
        self.send_message("platform", read)

    def take_newest(self, read):
        """Fold a page of newest records."""
        self._fold(read.records)
        if not read.after_key:
            self._finish()
            return
        self.active.place = read.after_key
        self._go_on()

    def take_records(self, read):
        """Fold records of the log, and end at the last one."""
        self._fold(read.records)
        if read.next_offset >= read.end_offset:
            self._finish()
            return
        self.active.place = read.next_offset
        self._go_on()

    def _fold(self, records):
        running = self.active
        running.reading = False
        running.count += len(records)
        for record in records:
            if record.value:
                running.state = running.query.fold(running.state, record)

    def _go_on(self):
        running = self.active
        progress = QueryProgress(running.start.query_id, running.count, 0)
        self.send_message("operators", progress)
        self._read()

    def take_failure(self, failure):
        """Go on behind what expired; give up after many failures in a row."""
        running = self.active
        running.reading = False
        if failure.expired:
            running.place = failure.first_offset
            self._read()
            return
        running.failures += 1
        if running.failures > MAX_FAILURES:
            error = f"the store does not answer: {failure.reason}"
            self._end(QueryEnded(running.start.query_id, None, error))

    def _finish(self):
        running = self.active
        result = running.query.finish(running.state)
        self._end(QueryEnded(running.start.query_id, result))

    def _end(self, ended):
        self.active = None
        self.send_message("timers", Unsubscribe(CHANNEL, "retry"))
        self.send_message("operators", ended)
        self._start_next()

    def on_tick(self, tick):
        """Read again after a failure."""
        if self.active is not None:
            self._read()
