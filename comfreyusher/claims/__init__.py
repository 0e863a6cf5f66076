"""Claims of callers' keys in the log: the first offset wins."""

from comfreyusher.claims._decide import (
    ClaimBook,
    ask,
    expire,
    take_append_failure,
    take_appended,
    take_page,
)
from comfreyusher.claims._task import ClaimTask

__all__ = [
    "ClaimBook",
    "ClaimTask",
    "ask",
    "expire",
    "take_append_failure",
    "take_appended",
    "take_page",
]
