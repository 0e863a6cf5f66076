"""Outcomes that are reported to callers, and the classes of work."""

import enum


class Outcome(str, enum.Enum):
    """What is known about a request's execution."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class WorkClass(str, enum.Enum):
    """Class of work; short and long work are queued separately."""

    SHORT = "short"
    LONG = "long"
