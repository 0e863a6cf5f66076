"""Tasks: circuits components that own sockets and state and talk by messages."""

import dataclasses
import time
from typing import Any

from circuits import BaseComponent, Event, handler


class message(Event):
    """Carry one frozen message to the task on a channel."""


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """A message and the channel of the task it is for."""

    channel: str
    body: Any


def read_clock():
    """Return the monotonic time in seconds."""
    return time.monotonic()


class Task(BaseComponent):
    """A component that maps each message class to one method.

    Subclasses fill ``self.routes`` with ``{MessageClass: method}``. ``clock``
    returns monotonic seconds and is replaced in tests. ``BaseComponent`` is
    used because ``Component`` turns every public method into a handler.
    """

    def __init__(self, channel, clock=read_clock):
        super().__init__(channel=channel)
        self.clock = clock
        self.routes = {}

    def prepare(self):
        """Subscribe to ticks; called once when the process starts."""

    @handler("started", channel="*")
    def on_started(self, *_):
        """Prepare once the whole tree of components runs."""
        self.prepare()

    @handler("message")
    def on_message(self, event, body):
        """Call the method registered for the class of the message.

        A circuits event and its value refer to each other, so an event lives
        until the next garbage collection; its message must not.
        """
        method = self.routes.get(type(body))
        if method is not None:
            method(body)
        event.args.clear()

    def tell(self, channel, body):
        """Send a message to another task."""
        self.fire(message(body), channel)

    def tell_all(self, addressed):
        """Send every addressed message of a decision."""
        for item in addressed:
            self.fire(message(item.body), item.channel)
