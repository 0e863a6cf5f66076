"""Log lines of one JSON object each, written through absl's logger.

The rate of lines is limited; the next line tells how many were left out. When
the output pipe is full, a line is dropped instead of blocking the process.
"""

import logging as std_logging
import os
import sys
import time

import msgspec
from absl import flags, logging

LINES_PER_S = 60.0
BURST_LINES = 200.0
STDOUT = 1


class TokenBucket:
    """A token bucket that limits log lines and counts those left out.

    ``clock`` returns monotonic seconds.
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.tokens = BURST_LINES
        self.refilled_s = clock()
        self.left_out = 0

    def take(self):
        """Take a token; tell whether a line may be written now."""
        now = self.clock()
        refill = (now - self.refilled_s) * LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens + refill)
        self.refilled_s = now
        if self.tokens < 1:
            self.left_out += 1
            return False
        self.tokens -= 1
        return True

    def pop_left_out(self):
        """Return and reset the number of lines left out since the last line."""
        left_out, self.left_out = self.left_out, 0
        return left_out


class JsonFormatter(std_logging.Formatter):
    """Formats a log record as one JSON object."""

    def __init__(self, bucket):
        super().__init__()
        self.bucket = bucket

    def format(self, record):
        line = {"time": round(record.created, 3), "level": record.levelname.lower()}
        fields = getattr(record, "fields", None)
        if fields is None:
            line["message"] = record.getMessage()
        else:
            line.update(fields)
        left_out = self.bucket.pop_left_out()
        if left_out:
            line["left_out"] = left_out
        return msgspec.json.encode(line, enc_hook=str).decode()


class RateFilter(std_logging.Filter):
    """Drops records when the token bucket is empty, but never errors."""

    def __init__(self, bucket):
        super().__init__()
        self.bucket = bucket

    def filter(self, record):
        return record.levelno >= std_logging.ERROR or self.bucket.take()


class LineHandler(std_logging.Handler):
    """Writes whole lines to a file descriptor without blocking."""

    def __init__(self, bucket, fd=STDOUT):
        super().__init__()
        self.bucket = bucket
        self.fd = fd
        os.set_blocking(fd, False)

    def emit(self, record):
        data = self.format(record).encode() + b"\n"
        try:
            os.write(self.fd, data)
        except OSError:
            self.bucket.left_out += 1


def start_logging():
    """Send log lines to standard output, and nowhere else."""
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    sys.stdout.flush()
    bucket = TokenBucket()
    handler = LineHandler(bucket)
    handler.setFormatter(JsonFormatter(bucket))
    handler.addFilter(RateFilter(bucket))
    root = std_logging.getLogger()
    for old_handler in list(root.handlers):
        root.removeHandler(old_handler)
    root.addHandler(handler)


def log_info(part, event, **fields):
    """Log a decision or a change of state."""
    logging.info("", extra={"fields": {"part": part, "event": event, **fields}})


def log_warning(part, event, **fields):
    """Log an event that needs an operator's attention."""
    logging.warning("", extra={"fields": {"part": part, "event": event, **fields}})
