"""The task that runs operators' queries, reading a topic page by page."""

import dataclasses

from comfreyusher.flow import Subscribe, Task, Tick, Unsubscribe
from comfreyusher.platform import (
    EraChanged,
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
    """Start a query, whose result goes to the operators' task.

    ``live_origins`` are the node incarnations that still run.
    """

    query_id: str
    kind: QueryKind
    subject: str
    live_origins: frozenset


@dataclasses.dataclass(frozen=True, slots=True)
class QueryProgress:
    """A query has read ``offset`` records so far; ``last`` is 0 while unknown."""

    query_id: str
    offset: int
    last: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueryEnded:
    """A query ended with a result, or failed for the reason ``error``."""

    query_id: str
    result: QueryResult | None
    error: str = ""


class RunningQuery:
    """State of the query that runs now.

    ``position`` is where the next read starts: the key to read on after for
    newest records, else an offset. Both belong to an ``era`` of the store.
    """

    def __init__(self, start):
        self.start = start
        self.query = new_query(start.kind, start.subject, start.live_origins)
        self.failures = 0
        self.reading = False
        self.begin_era(0)

    def begin_era(self, era):
        """Forget what was read: a restored store may have other records there."""
        self.era = era
        self.state = self.query.initial_state
        self.position = "" if self.query.newest_only else 0
        self.records_read = 0


class QueryTask(Task):
    """Runs queries one after the other, in the order of their start."""

    def __init__(self, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.waiting = []
        self.active = None
        self.store_era = 0
        self.message_handlers = {
            EraChanged: self.handle_era_changed,
            StartQuery: self.handle_start_query,
            NewestRead: self.handle_newest_read,
            RecordsRead: self.handle_records_read,
            ReadFailed: self.handle_read_failed,
            Tick: self.handle_tick,
        }

    def handle_start_query(self, start):
        """Queue a query, and run it if no other query runs."""
        self.waiting.append(start)
        self._start_next()

    def _start_next(self):
        if self.active is None and self.waiting:
            self.active = RunningQuery(self.waiting.pop(0))
            self.active.begin_era(self.store_era)
            self.send_message("timers", Subscribe(CHANNEL, "retry", RETRY_PERIOD_S))
            self._read()

    def _read(self):
        running = self.active
        if running.reading:
            return
        running.reading = True
        topic = running.query.topic
        if running.query.newest_only:
            read = ReadNewest(CHANNEL, topic, False, running.position)
        else:
            read = ReadRecords(CHANNEL, topic, running.position, era=running.era)
        self.send_message("platform", read)

    def handle_era_changed(self, changed):
        """Start the active query anew once the store has a newer era."""
        if changed.era > self.store_era:
            self.store_era = changed.era
            if self.active is not None:
                self.active.begin_era(changed.era)

    def _is_from_query(self, read):
        """Return whether a page is of the query's era; else read the first page."""
        running = self.active
        if read.era == running.era:
            return True
        self.handle_era_changed(EraChanged(read.era))
        running.reading = False
        running.begin_era(self.store_era)
        self._read()
        return False

    def handle_newest_read(self, read):
        """Fold a page of newest records, and read the next page or finish."""
        if not self._is_from_query(read):
            return
        self._fold_records(read.records)
        if not read.after_key:
            self._finish_query()
            return
        self.active.position = read.after_key
        self._read_next_page()

    def handle_records_read(self, read):
        """Fold a page of all records, and read the next page or finish."""
        if not self._is_from_query(read):
            return
        self._fold_records(read.records)
        if read.next_offset >= read.end_offset:
            self._finish_query()
            return
        self.active.position = read.next_offset
        self._read_next_page()

    def _fold_records(self, records):
        running = self.active
        running.reading = False
        running.records_read += len(records)
        for record in records:
            if record.value:
                running.state = running.query.fold(running.state, record)

    def _read_next_page(self):
        running = self.active
        progress = QueryProgress(running.start.query_id, running.records_read, 0)
        self.send_message("operators", progress)
        self._read()

    def handle_read_failed(self, failure):
        """Skip records that expired, or count a failure that a later tick retries.

        After more than ``MAX_FAILURES`` failures the query fails.
        """
        running = self.active
        running.reading = False
        if failure.era > running.era:
            self._is_from_query(failure)
            return
        if failure.expired:
            running.position = failure.first_offset
            self._read()
            return
        running.failures += 1
        if running.failures > MAX_FAILURES:
            error = f"the store does not answer: {failure.reason}"
            self._end_query(QueryEnded(running.start.query_id, None, error))

    def _finish_query(self):
        running = self.active
        result = running.query.finish(running.state)
        self._end_query(QueryEnded(running.start.query_id, result))

    def _end_query(self, ended):
        self.active = None
        self.send_message("timers", Unsubscribe(CHANNEL, "retry"))
        self.send_message("operators", ended)
        self._start_next()

    def handle_tick(self, tick):
        """Read again if a read failed."""
        if self.active is not None:
            self._read()
