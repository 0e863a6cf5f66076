"""Composition of filters into a pipe.

A filter is a plain function ``(state, item) -> Step``. A pipe calls its
filters in order until one of them ends the pipe. State and item are frozen
data classes; a filter returns new ones instead of changing them.
"""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Result of one filter: the new state and item, and messages to send.

    ``messages`` holds an ``Envelope`` for each message to a task. ``ended``
    tells the pipe to skip the remaining filters.
    """

    state: Any
    item: Any
    messages: tuple = ()
    ended: bool = False


def continue_pipe(state, item, *messages):
    """Return a step that passes the item to the next filter."""
    return Step(state, item, messages)


def end_pipe(state, item, *messages):
    """Return a step that skips the remaining filters for this item."""
    return Step(state, item, messages, ended=True)


def pipe(*filters):
    """Return a function ``(state, item) -> Step`` that runs the filters in order."""

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
