"""Outcomes that are reported to callers, and the work classes of requests."""

import enum


class Outcome(str, enum.Enum):
    """What is known about a request's execution."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class WorkClass(str, enum.Enum):
    """Class of a request by its duration.

    Some slots are reserved for short requests, so that they do not wait for long
    ones.
    """

    SHORT = "short"
    LONG = "long"
