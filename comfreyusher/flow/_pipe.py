"""Composition of filters into a pipe.

A filter is a plain function ``(state, item) -> Step``. A pipe calls its
filters in order until one of them stops the item. State and item are frozen
data classes; a filter returns new ones instead of changing them.
"""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Result of one filter.

    ``messages`` are addressed messages for other tasks. ``ended`` tells the
    pipe to skip the remaining filters.
    """

    state: Any
    item: Any
    messages: tuple = ()
    ended: bool = False


def passed(state, item, *messages):
    """Hand the item to the next filter."""
    return Step(state, item, messages)


def stopped(state, item, *messages):
    """End the pipe for this item."""
    return Step(state, item, messages, ended=True)


def pipe(*filters):
    """Return a function ``(state, item) -> Step`` that runs all filters."""

    def run(state, item):
        messages = ()
        for apply_filter in filters:
            step = apply_filter(state, item)
            messages += step.messages
            state, item = step.state, step.item
            if step.ended:
                return Step(state, item, messages, ended=True)
        return Step(state, item, messages)

    return run
